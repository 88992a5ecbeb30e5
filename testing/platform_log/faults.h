// Faults that a test switches on in the stand-in of the platform log.
//
//   const std::optional<log_faults> wanted = applyFaults(current, R"({"outage": true})");
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/clock.h"

namespace pistachioquay {

// JSON keys of `POST /test/faults` are in the comments; keys that are left out keep their value.
struct log_faults
{
    bool isOutage = false; // `outage`: every call gets 503
    std::int64_t refuseMs = 0; // `refuse_ms`: the port is closed for this time
    std::int64_t delayMs = 0; // `delay_ms`: each call waits before it takes effect
    std::int64_t loseResponses = 0; // `lose_responses`: so many appends take effect and get no response; -1: all
    bool rejectsAppends = false; // `reject_appends`: appends get 403
    bool isReadOnly = false; // `read_only`: appends get 503
    double appendsPerSecond = 0; // `appends_per_s`: appends beyond this rate get 429; 0: no limit
    bool truncatesResponses = false; // `truncate`: reads end in the middle of the JSON text
    bool sendsGarbage = false; // `garbage`: responses are 200 with a text that is no JSON

    friend bool operator==(const log_faults &, const log_faults &) = default;
};

// applyFaults returns `current` with the changes of a JSON object; empty if the text is malformed or names an unknown
// fault. Thread safe.
std::optional<log_faults> applyFaults(const log_faults &current, std::string_view json);

// Token bucket of one second, full at its first use. Not thread safe.
class append_rate
{
public:
    // isAllowed takes one append at `now` from a budget of `perSecond`; 0 allows all.
    bool isAllowed(double perSecond, time_point now);

private:
    double m_tokens = 0;
    std::optional<time_point> m_filledAt; // empty before the first use
};

} // namespace pistachioquay
