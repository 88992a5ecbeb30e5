// When a request that cannot meet its target is still taken. The line of a worker decides by it, and the placement
// foresees its decision.
#pragma once

namespace pistachioquay {

inline constexpr double lateWaitRuns = 0.5; // wait, in its own runs, up to which a late request is taken
inline constexpr double returnRuns = 1.5; // runs of the line that a return must span to find it shorter
inline constexpr double returnShare = 1.0 / 3.0; // of its time that a refused caller stays away at most

// isFinalAttempt tells whether a refusal would end a request that can still meet its target: its caller has too little
// time to come back to a shorter line. Calls of workers are like that: if one fails, all that its caller's worker has
// done is lost. Thread safe.
constexpr bool isFinalAttempt(double targetLeftMs, double timeLeftMs, double meanActiveRunMs)
{
    return targetLeftMs > 0 && timeLeftMs * returnShare < returnRuns * meanActiveRunMs;
}

} // namespace pistachioquay
