// Deadline and hop count checks for a request that passes through the mesh. The time left is passed from hop to hop,
// not the deadline, because the clocks of nodes differ.
//
//   const time_point deadline = deadlineAfter(now, headerMillis, policyDeadline);
//   if (checkHop(deadline, depth, now) != hop_refusal::None) return refuseNotRun();
//   setHeader("X-Pq-Deadline-Ms", timeForNextHop(deadline, now));
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds hopMargin{2}; // time reserved for the response to travel back
inline constexpr milliseconds minTimeForHop{5}; // with less time left, forwarding is not worth its cost
inline constexpr std::uint32_t maxDepth = 16;

enum class hop_refusal : std::uint8_t
{
    None,
    TooLittleTime,
    TooDeep,
};

// deadlineAfter returns `now` plus the smaller of the policy's deadline and the time that the caller has left. Thread
// safe.
time_point deadlineAfter(time_point now, std::optional<milliseconds> callerTimeLeft, milliseconds policyDeadline);

// timeLeft returns the time until `deadline`, or 0 if it has passed. Thread safe.
milliseconds timeLeft(time_point deadline, time_point now);

// timeForNextHop returns the time that the next hop may use: the time left minus `hopMargin`, at least 0. Thread
// safe.
milliseconds timeForNextHop(time_point deadline, time_point now);

// checkHop returns whether a request that arrived with `depth` may be forwarded, or why not. Thread safe.
hop_refusal checkHop(time_point deadline, std::uint32_t depth, time_point now);

} // namespace pistachioquay
