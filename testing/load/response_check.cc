#include "testing/load/response_check.h"

#include "testing/harness/json.h"

namespace pistachioquay {

request_outcome classify(const received_response &received, const expected_response &expected)
{
    constexpr long firstSuccess = 200;
    constexpr long firstOther = 300;
    if (received.outcomeHeader == "not-run") {
        return request_outcome::NotRun;
    }
    if (received.outcomeHeader == "unknown") {
        return request_outcome::Unknown;
    }
    if (received.status < firstSuccess || received.status >= firstOther) {
        return request_outcome::Error;
    }
    const json_holder body = parseJson(received.body);
    if (!body || received.body.size() < expected.responseBytes) {
        return request_outcome::Truncated;
    }
    if (textIn(body.get(), "request_id", "") != expected.id) {
        return request_outcome::Crossed;
    }
    const bool isUploadWhole = integerIn(body.get(), "bytes", -1) == static_cast<std::int64_t>(expected.requestBytes);
    return isUploadWhole ? request_outcome::Whole : request_outcome::Truncated;
}

} // namespace pistachioquay
