// How long ago the caller of a request sent its first attempt. Targets count from that attempt, but requests only state
// how long their caller still waits.
//
//   const milliseconds spent = timeSinceFirstAttempt(ages, route, statedLeft);
//   const time_point targetAt = arrivedAt + targetLatency - spent;
//
// Load pattern: callers of one route differ in how long they wait, by up to `patienceSpread`, and in a swing those that
// were refused come back with less time left. A request whose stated time lies within the spread is taken for a first
// attempt: taking it for a late one would turn it away although its whole target lies ahead. Below the spread it must
// be a repeat, and the mean patience tells its age.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

// Share by which callers of one route differ in their patience. On both users' sites the stated times of first attempts
// lie between 0.85 and 1 of the longest.
inline constexpr double patienceSpread = 0.16;

struct caller_timeouts
{
    std::unordered_map<std::string, milliseconds> longestWait; // stated on each route
};

// timeSinceFirstAttempt returns the time since the caller's first attempt, and learns from `statedLeft`. Not thread
// safe.
milliseconds timeSinceFirstAttempt(caller_timeouts &ages, const std::string &route, milliseconds statedLeft);

} // namespace pistachioquay
