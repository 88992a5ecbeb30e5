#include "testing/harness/http.h"

#include <algorithm>
#include <cctype>
#include <memory>

#include <curl/curl.h>

#include "testing/harness/head_watch.h"
#include "testing/harness/process.h"

namespace pistachioquay {

namespace {

struct curl_deleter
{
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

// What a call has received so far.
struct reception
{
    http_answer answer;
    head_watch head;
};

std::size_t onBody(char *data, std::size_t, std::size_t size, void *target)
{
    static_cast<reception *>(target)->answer.body.append(data, size);
    return size;
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *target)
{
    auto &received = *static_cast<reception *>(target);
    const std::string_view line(data, size);
    addHeadLine(received.head, line);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return size;
    }
    std::string name(line.substr(0, colon));
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    const std::size_t start = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    const std::size_t end = line.find_last_not_of("\r\n \t");
    received.answer.headers[name] = end < start ? "" : line.substr(start, end + 1 - start);
    return size;
}

void setMethod(CURL *handle, const test_call &call)
{
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (call.method != "GET" || !call.body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    }
}

} // namespace

http_answer httpCall(const test_call &call)
{
    reception received;
    http_answer &answer = received.answer;
    const std::unique_ptr<CURL, curl_deleter> handle(curl_easy_init());
    curl_slist *list = nullptr;
    for (const auto &[name, value] : call.headers) {
        std::string line = name;
        line.append(": ").append(value);
        list = curl_slist_append(list, line.c_str());
    }
    const std::unique_ptr<curl_slist, curl_deleter> headers(list);
    const std::string url = "http://" + toText(call.address) + call.path;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &received);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &received);
    setMethod(handle.get(), call);
    const time_point sentAt = steadyNow();
    const CURLcode code = curl_easy_perform(handle.get());
    answer.time = milliseconds(millisBetween(sentAt, steadyNow()));
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    answer.isWhole = code == CURLE_OK && isWholeHead(received.head, answer.status);
    answer.failure = answer.isWhole ? "" : code == CURLE_OK ? "the head ends early" : curl_easy_strerror(code);
    return std::move(received.answer);
}

http_answer httpGet(const endpoint &address, std::string_view path, const http_headers &headers)
{
    test_call call;
    call.address = address;
    call.path = path;
    call.headers = headers;
    return httpCall(call);
}

http_answer httpPost(const endpoint &address, std::string_view path, std::string_view body, const http_headers &headers)
{
    test_call call;
    call.method = "POST";
    call.address = address;
    call.path = path;
    call.headers = headers;
    call.body = body;
    return httpCall(call);
}

std::string headerOf(const http_answer &answer, const std::string &name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? "" : found->second;
}

bool waitForHttp(const endpoint &address, std::string_view path, long status, milliseconds atMost)
{
    constexpr milliseconds callTimeout(1000);
    test_call call;
    call.address = address;
    call.path = path;
    call.timeout = std::min(atMost, callTimeout);
    return waitUntil(
        [&] {
            return httpCall(call).status == status;
        },
        atMost);
}

} // namespace pistachioquay
