#include "connection/loop/beast_message.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>

namespace pistachioquay {

namespace http = boost::beast::http;

namespace {

bool isFramingHeader(std::string_view name)
{
    return isSameHeaderName(name, "Content-Length") || isSameHeaderName(name, "Transfer-Encoding")
        || isSameHeaderName(name, "Connection") || isSameHeaderName(name, "Keep-Alive");
}

template<class Fields>
void addHeaders(Fields &fields, const header_list &headers)
{
    for (const header_field &field : headers) {
        if (!isFramingHeader(field.name)) {
            fields.insert(field.name, field.value);
        }
    }
}

template<class Fields>
header_list headersOf(const Fields &fields)
{
    header_list headers;
    for (const auto &field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

} // namespace

http::response<http::string_body> toBeast(whole_response response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(version);
    message.result(response.status);
    addHeaders(message, response.headers);
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    if (!isBodiless("GET", response.status)) {
        message.content_length(message.body().size());
    }
    return message;
}

http::request<http::string_body> toBeast(const whole_request &request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    addHeaders(message, request.headers);
    message.body() = request.body;
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        message.content_length(request.body.size());
    }
    return message;
}

whole_request fromBeast(http::request<http::string_body> message)
{
    whole_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = headersOf(message);
    request.body = std::move(message.body());
    return request;
}

whole_response fromBeast(http::response<http::string_body> message)
{
    whole_response response;
    response.status = message.result_int();
    response.headers = headersOf(message);
    response.body = std::move(message.body());
    return response;
}

} // namespace pistachioquay
