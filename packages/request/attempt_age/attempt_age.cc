#include "request/attempt_age/attempt_age.h"

#include <algorithm>

namespace pistachioquay {

milliseconds timeSinceFirstAttempt(caller_timeouts &timeouts, const std::string &route, milliseconds statedTimeLeft)
{
    milliseconds &longest = timeouts.longestByRoute[route];
    longest = std::max(longest, statedTimeLeft);
    const auto minFirstAttempt = static_cast<double>(longest.count()) * (1.0 - timeoutSpread);
    const auto statedMs = static_cast<double>(statedTimeLeft.count());
    if (statedMs >= minFirstAttempt) {
        return milliseconds{0};
    }
    const double meanTimeout = static_cast<double>(longest.count()) * (1.0 - timeoutSpread / 2.0);
    return milliseconds(static_cast<std::int64_t>(meanTimeout - statedMs));
}

} // namespace pistachioquay
