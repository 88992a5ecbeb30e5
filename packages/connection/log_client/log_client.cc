#include "connection/log_client/log_client.h"

#include <algorithm>
#include <limits>

#include "connection/http/client.h"
#include "connection/log_client/log_response.h"

namespace pistachioquay {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusDown = 503;
constexpr std::uint32_t maxRecordsPerRead = 1000;
constexpr std::string_view waitRemedy = "wait for the platform log and try again";
constexpr std::string_view searchRemedy = "look for the record in the log before appending it again";

struct http_reply
{
    unsigned status = 0;
    std::string body;
};

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

std::string recordsPath(std::string_view stream)
{
    return "/v1/streams/" + std::string(stream) + "/records";
}

boost::leaf::error_id callFailure(const http_call &call, const endpoint &address)
{
    const std::string log = "the log at " + toText(address);
    if (call.progress() == call_progress::NoConnection) {
        return fail(error_kind::Unavailable, "no connection to " + log, waitRemedy);
    }
    if (call.failure() == call_failure::DeadlinePassed) {
        return fail(error_kind::Timeout, log + " did not respond in time", searchRemedy);
    }
    return fail(error_kind::Io,
                "no whole response from " + log + ": " + std::string(failureName(call.failure())),
                searchRemedy);
}

// Sends one request on a connection of its own and waits until the response has arrived completely.
result<http_reply>
send(const log_target &target, request_head head, std::string_view record, milliseconds wait = milliseconds(0))
{
    client_pool pool({.keepsConnections = false});
    client_request request{.target = target.address,
                           .head = std::move(head),
                           .deadline = steadyNow() + target.timeout + wait,
                           .connectTimeout = target.timeout};
    request.head.headers.push_back({"Host", toText(target.address)});
    request.head.bodyLength = record.size();
    request.acceptsUndelimited = record.empty();
    const caller_watch noWatch;
    http_call call(pool, std::move(request), noWatch);
    call.provideLast(record);
    const response_head *const responseHead = call.awaitHead();
    if (responseHead == nullptr) {
        return callFailure(call, target.address);
    }
    auto body = readBody(call, std::numeric_limits<std::size_t>::max());
    if (!body) {
        return callFailure(call, target.address);
    }
    return http_reply{responseHead->status, std::move(*body)};
}

result<void> checkStatus(unsigned status)
{
    constexpr unsigned firstRefusal = 400;
    constexpr unsigned firstServerError = 500;
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
readFrom(const log_target &target, std::string path, const internal::read_request &wanted, milliseconds wait)
{
    BOOST_LEAF_AUTO(reply, send(target, {.method = "GET", .target = std::move(path)}, {}, wait));
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
    BOOST_LEAF_CHECK(checkStream(stream));
    if (data.size() > maxRecordBytes) {
        return fail(error_kind::InvalidArgument,
                    "a record of " + std::to_string(data.size()) + " bytes is larger than the log accepts",
                    "split it into records of at most " + std::to_string(maxRecordBytes) + " bytes");
    }
    BOOST_LEAF_AUTO(reply, send(target, {.method = "POST", .target = recordsPath(stream)}, data));
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
    std::string path = recordsPath(stream) + "?from=" + std::to_string(from) + "&max=" + std::to_string(count)
        + "&wait_ms=" + std::to_string(wait.count());
    return readFrom(target, std::move(path), {from, count}, wait);
}

result<log_batch> readLastRecord(const log_target &target, std::string_view stream)
{
    BOOST_LEAF_CHECK(checkStream(stream));
    return readFrom(target, recordsPath(stream) + "?from=-1&max=1&wait_ms=0", {std::nullopt, 1}, milliseconds(0));
}

} // namespace pistachioquay
