#include "connection/log_client/log_client.h"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <mutex>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "connection/log_client/log_response.h"

namespace pistachioquay {

namespace {

constexpr long statusOk = 200;
constexpr long statusTooMany = 429;
constexpr long statusDown = 503;
constexpr std::uint32_t maxRecordsPerRead = 1000;
constexpr std::string_view waitRemedy = "wait for the platform log and try again";
constexpr std::string_view searchRemedy = "look for the record in the log before appending it again";

struct request_deleter
{
    void operator()(_u_request *request) const
    {
        ulfius_clean_request_full(request);
    }
};

struct response_deleter
{
    void operator()(_u_response *response) const
    {
        ulfius_clean_response_full(response);
    }
};

using request_holder = std::unique_ptr<_u_request, request_deleter>;
using response_holder = std::unique_ptr<_u_response, response_deleter>;

struct http_reply
{
    long status = 0;
    std::string body;
};

void initialiseOnce()
{
    static std::once_flag once;
    std::call_once(once, ulfius_global_init);
}

result<void> checkStream(std::string_view stream)
{
    const auto isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' || letter == '_';
    };
    if (stream.empty() || !std::ranges::all_of(stream, isAllowed)) {
        return fail(error_kind::InvalidArgument,
                    "`" + std::string(stream) + "` is not a stream name",
                    "use lower-case letters, digits, `-` and `_`");
    }
    return {};
}

// Whether a connection to `address` can be made within `timeout`.
bool isReachable(const endpoint &address, milliseconds timeout)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    const bool isStarted =
        connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0 || errno == EINPROGRESS;
    pollfd waiting{handle, POLLOUT, 0};
    int status = -1;
    socklen_t size = sizeof(status);
    const bool isDecided = isStarted && poll(&waiting, 1, static_cast<int>(timeout.count())) == 1;
    const bool isConnected = isDecided && getsockopt(handle, SOL_SOCKET, SO_ERROR, &status, &size) == 0 && status == 0;
    close(handle);
    return isConnected;
}

// ulfius's client reports a refused connection and a lost response by the same code. Only the first excludes that the
// log saw the request, so a connection is tried before anything is sent.
result<void> checkReachable(const log_target &target)
{
    if (!isReachable(target.address, target.timeout)) {
        return fail(error_kind::Unavailable, "no connection to the log at " + toText(target.address), waitRemedy);
    }
    return {};
}

request_holder makeRequest(const char *method, const std::string &url, milliseconds timeout)
{
    request_holder request(static_cast<_u_request *>(o_malloc(sizeof(_u_request))));
    ulfius_init_request(request.get());
    const auto wholeSeconds = static_cast<unsigned long>(std::chrono::ceil<seconds>(timeout).count());
    ulfius_set_request_properties(request.get(),
                                  U_OPT_HTTP_VERB,
                                  method,
                                  U_OPT_HTTP_URL,
                                  url.c_str(),
                                  U_OPT_TIMEOUT,
                                  std::max(wholeSeconds, 1UL),
                                  U_OPT_NONE);
    return request;
}

std::string recordsUrl(const log_target &target, std::string_view stream)
{
    return "http://" + toText(target.address) + "/v1/streams/" + std::string(stream) + "/records";
}

result<http_reply> send(const request_holder &request, const endpoint &address)
{
    constexpr milliseconds timerRounding(2); // libcurl 7.88 ends a timeout up to 1 ms early
    response_holder response(static_cast<_u_response *>(o_malloc(sizeof(_u_response))));
    ulfius_init_response(response.get());
    const time_point sentAt = steadyNow();
    const int status = ulfius_send_http_request(request.get(), response.get());
    if (status != U_OK && steadyNow() - sentAt >= seconds(request->timeout) - timerRounding) {
        return fail(error_kind::Timeout, "the log at " + toText(address) + " did not respond in time", searchRemedy);
    }
    if (status != U_OK) {
        return fail(error_kind::Io, "the connection to the log at " + toText(address) + " was lost ", searchRemedy);
    }
    const auto *body = static_cast<const char *>(response->binary_body);
    return http_reply{response->status, body == nullptr ? "" : std::string(body, response->binary_body_length)};
}

result<void> checkStatus(long status)
{
    constexpr long firstRefusal = 400;
    constexpr long firstServerError = 500;
    const std::string message = "the log responded with status " + std::to_string(status);
    if (status == statusOk) {
        return {};
    }
    if (status == statusDown || status == statusTooMany) {
        return fail(error_kind::Unavailable, message, waitRemedy);
    }
    if (status >= firstRefusal && status < firstServerError) {
        return fail(error_kind::InvalidArgument, message, "check the stream name and the rights on the platform log");
    }
    return fail(error_kind::Io, message, searchRemedy);
}

result<log_batch>
readFrom(const log_target &target, const std::string &url, const internal::read_request &wanted, milliseconds wait)
{
    initialiseOnce();
    BOOST_LEAF_CHECK(checkReachable(target));
    const request_holder request = makeRequest("GET", url, target.timeout + wait);
    BOOST_LEAF_AUTO(reply, send(request, target.address));
    BOOST_LEAF_CHECK(checkStatus(reply.status));
    return internal::decodeBatch(reply.body, wanted);
}

} // namespace

bool isCertainlyNotAppended(const error &failure)
{
    return failure.kind == error_kind::Unavailable || failure.kind == error_kind::InvalidArgument;
}

result<std::uint64_t> appendRecord(const log_target &target, std::string_view stream, std::string_view data)
{
    initialiseOnce();
    BOOST_LEAF_CHECK(checkStream(stream));
    if (data.size() > maxRecordBytes) {
        return fail(error_kind::InvalidArgument,
                    "a record of " + std::to_string(data.size()) + " bytes is larger than the log accepts",
                    "split it into records of at most " + std::to_string(maxRecordBytes) + " bytes");
    }
    BOOST_LEAF_CHECK(checkReachable(target));
    const request_holder request = makeRequest("POST", recordsUrl(target, stream), target.timeout);
    ulfius_set_binary_body_request(request.get(), data.data(), data.size());
    BOOST_LEAF_AUTO(reply, send(request, target.address));
    BOOST_LEAF_CHECK(checkStatus(reply.status));
    return internal::decodeOffset(reply.body);
}

result<log_batch>
readRecords(const log_target &target, std::string_view stream, std::uint64_t from, std::uint32_t max, milliseconds wait)
{
    BOOST_LEAF_CHECK(checkStream(stream));
    if (from == 0 || max == 0) {
        return fail(error_kind::InvalidArgument, "offset or count is 0", "offsets and counts begin at 1");
    }
    const std::uint32_t count = std::min(max, maxRecordsPerRead);
    const std::string url = recordsUrl(target, stream) + "?from=" + std::to_string(from)
        + "&max=" + std::to_string(count) + "&wait_ms=" + std::to_string(wait.count());
    return readFrom(target, url, {from, count}, wait);
}

result<log_batch> readLastRecord(const log_target &target, std::string_view stream)
{
    BOOST_LEAF_CHECK(checkStream(stream));
    const std::string url = recordsUrl(target, stream) + "?from=-1&max=1&wait_ms=0";
    return readFrom(target, url, {std::nullopt, 1}, milliseconds(0));
}

} // namespace pistachioquay
