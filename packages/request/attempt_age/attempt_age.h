// Estimates how long ago the caller of a request sent its first attempt. The target latency counts from that attempt,
// but a request only states how much time its caller has left.
//
//   const milliseconds elapsed = timeSinceFirstAttempt(timeouts, route, statedTimeLeft);
//   const time_point targetAt = arrivedAt + targetLatency - elapsed;
//
// Load pattern: the timeouts of the callers of one route differ by up to `timeoutSpread`, and under overload callers
// that were refused retry with less time left. A request whose stated time lies within the spread counts as a first
// attempt: treating it as a retry would refuse it although its whole target lies ahead. Below the spread it must be a
// retry, and its age is the difference to the mean timeout.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

// Share by which the timeouts of the callers of one route differ. In both known deployments the stated times of first
// attempts lie between 0.85 and 1 of the longest.
inline constexpr double timeoutSpread = 0.16;

// One caller with a far longer timeout than the others must not make their requests look like retries for long: after
// `maxFarBelow` requests in a row that state less than `farBelowShare` of the longest time, that time is forgotten.
inline constexpr double farBelowShare = 0.25; // retries are refused or sent well before so little time is left
inline constexpr unsigned maxFarBelow = 50;

// The longest time left that requests of a route have stated, as an estimate of the timeout of its callers.
struct stated_timeout
{
    milliseconds longest{0};
    unsigned farBelow = 0; // requests in a row that stated far less
    milliseconds longestFarBelow{0}; // the longest time that these stated

    friend auto operator<=>(const stated_timeout &, const stated_timeout &) = default;
};

struct caller_timeouts
{
    std::unordered_map<std::string, stated_timeout> byRoute;
};

// timeSinceFirstAttempt returns the estimated time since the caller's first attempt, and updates the timeout of the
// route with `statedTimeLeft`. Not thread safe.
milliseconds timeSinceFirstAttempt(caller_timeouts &timeouts, const std::string &route, milliseconds statedTimeLeft);

} // namespace pistachioquay
