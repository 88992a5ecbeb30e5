#include "request/attempt_age/attempt_age.h"

#include <algorithm>

namespace pistachioquay {

milliseconds timeSinceFirstAttempt(caller_timeouts &ages, const std::string &route, milliseconds statedLeft)
{
    milliseconds &longest = ages.longestWait[route];
    longest = std::max(longest, statedLeft);
    const auto least = static_cast<double>(longest.count()) * (1.0 - patienceSpread);
    const auto stated = static_cast<double>(statedLeft.count());
    if (stated >= least) {
        return milliseconds{0};
    }
    const double mean = static_cast<double>(longest.count()) * (1.0 - patienceSpread / 2.0);
    return milliseconds(static_cast<std::int64_t>(mean - stated));
}

} // namespace pistachioquay
