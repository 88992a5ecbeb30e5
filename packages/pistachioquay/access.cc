#include "pistachioquay/access.h"

#include <memory>
#include <thread>

#include "connection/http/client.h"

namespace pistachioquay {

namespace {

constexpr milliseconds logTimeout{5000};
constexpr milliseconds statusTimeout{1000}; // bounds the delay of a publish for each node that is cut off
constexpr milliseconds connectTimeout{500};
constexpr std::size_t maxStatusSize = std::size_t{16} * 1024 * 1024;

boost::leaf::error_id unavailable(const endpoint &control, std::string_view what)
{
    return fail(error_kind::Unavailable,
                "node at " + toText(control) + " " + std::string(what),
                "check that the node runs and that `nodes.control` names its control address");
}

result<std::string> fetchPage(client_pool &pool, const endpoint &control, const std::string &path)
{
    constexpr unsigned statusOk = 200;
    client_request request{.target = control,
                           .deadline = steadyNow() + statusTimeout,
                           .connectTimeout = connectTimeout};
    request.head = {"GET", path, {{"Host", toText(control)}}, 0, false};
    const caller_watch noWatch;
    http_call call(pool, std::move(request), noWatch);
    call.provideLast("");
    const response_head *head = call.awaitHead();
    if (head == nullptr || head->status != statusOk) {
        return unavailable(control, head == nullptr ? "did not respond" : "responded with an error");
    }
    auto body = readBody(call, maxStatusSize);
    if (!body) {
        return unavailable(control, "sent a truncated or oversized page");
    }
    return std::move(*body);
}

} // namespace

cli_access makeAccess(const cli_settings &settings)
{
    const log_target target{settings.platformLog, logTimeout};
    const auto pool = std::make_shared<client_pool>(client_options{});
    cli_access access;
    access.log.append = [target](std::string_view stream, std::string_view data) {
        return appendRecord(target, stream, data);
    };
    access.log.read = [target](std::string_view stream, std::uint64_t from, std::uint32_t max, milliseconds wait) {
        return readRecords(target, stream, from, max, wait);
    };
    access.log.readLast = [target](std::string_view stream) {
        return readLastRecord(target, stream);
    };
    access.fetchStatus = [pool](const endpoint &control) {
        return fetchPage(*pool, control, "/v1/status");
    };
    access.fetchReport = [pool](const endpoint &control) {
        return fetchPage(*pool, control, "/v1/report");
    };
    access.nodes = settings.nodes;
    access.author = settings.author;
    access.now = steadyNow;
    access.unixMs = unixNowMs;
    access.sleep = [](milliseconds time) {
        std::this_thread::sleep_for(time);
    };
    access.random = seededFromDevice();
    return access;
}

} // namespace pistachioquay
