// Deadlines and depth of a request on its way through the mesh. Time is passed on as time left, because clocks differ.
//
//   const time_point deadline = deadlineAfter(now, headerMillis, policyDeadline);
//   if (checkHop(deadline, depth, now) != hop_refusal::None) return refuseNotRun();
//   setHeader("X-Pq-Deadline-Ms", timeForNextHop(deadline, now));
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds hopMargin{2}; // kept back for the way of the response
inline constexpr milliseconds leastTimeLeft{5}; // with less, a hop is not worth its cost
inline constexpr std::uint32_t maxDepth = 16;

enum class hop_refusal : std::uint8_t
{
    None,
    TooLittleTime,
    TooDeep,
};

// deadlineAfter returns the deadline of a request: the smaller of the policy's and the caller's time left. Thread safe.
time_point deadlineAfter(time_point now, std::optional<milliseconds> callerTimeLeft, milliseconds policyDeadline);

// timeLeft returns the time until `deadline`, 0 if it has passed. Thread safe.
milliseconds timeLeft(time_point deadline, time_point now);

// timeForNextHop returns the time left that the next hop is given: less the margin, at least 0. Thread safe.
milliseconds timeForNextHop(time_point deadline, time_point now);

// checkHop tells whether a request that arrived with `depth` may be sent on. Thread safe.
hop_refusal checkHop(time_point deadline, std::uint32_t depth, time_point now);

} // namespace pistachioquay
