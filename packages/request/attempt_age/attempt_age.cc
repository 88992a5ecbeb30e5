#include "request/attempt_age/attempt_age.h"

#include <algorithm>

namespace pistachioquay {

namespace {

void recordStated(stated_timeout &timeout, milliseconds stated)
{
    const bool isFarBelow = stated < timeout.longest * farBelowShare;
    timeout.farBelow = isFarBelow ? timeout.farBelow + 1 : 0;
    timeout.longestFarBelow = isFarBelow ? std::max(timeout.longestFarBelow, stated) : milliseconds{0};
    if (timeout.farBelow >= maxFarBelow) {
        timeout = {timeout.longestFarBelow};
    }
    timeout.longest = std::max(timeout.longest, stated);
}

} // namespace

milliseconds timeSinceFirstAttempt(caller_timeouts &timeouts, const std::string &route, milliseconds statedTimeLeft)
{
    stated_timeout &timeout = timeouts.byRoute[route];
    recordStated(timeout, statedTimeLeft);
    const auto longestMs = static_cast<double>(timeout.longest.count());
    const auto statedMs = static_cast<double>(statedTimeLeft.count());
    if (statedMs >= longestMs * (1.0 - timeoutSpread)) {
        return milliseconds{0};
    }
    const double meanTimeout = longestMs * (1.0 - timeoutSpread / 2.0);
    return milliseconds(static_cast<std::int64_t>(meanTimeout - statedMs));
}

} // namespace pistachioquay
