// When a second copy of a slow request goes to another worker of the mesh. (`request/retry/hedge.h` decides by the
// operator's policy, for the request path of `--settings`.)
//
//   if (const auto delay = hedgeDelay(request)) {
//       if (!co_await replied(now + *delay) && maySendHedge(spare)) sendCopy();
//   }
//
// Load pattern: some workers slow down for seconds, hang, or fail while their health is good, and nodes learn of it
// only when requests come back late. A request that may be repeated then goes to a second worker while its target can
// still be met there; the first response wins and the other copy is cancelled. Copies must not add to a swing: they
// only go to workers with a free slot, and take their part of the budget of repeats.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr double hedgeRuns = 2.0; // expected times after which a request counts as slow
inline constexpr double leastHedgeRuns = 1.4; // the same when the target would be missed otherwise
inline constexpr double hedgeFit = 1.2; // of a copy's expected run that must fit before the target
inline constexpr double hedgeWaitRuns = 0.1; // expected wait of a copy, in its own runs, up to which it is sent

// A request that a worker has, and what is known of it.
struct hedge_candidate
{
    bool isRetryable = false;
    std::uint32_t workersTried = 0; // with the one that has the request now
    std::uint32_t maxWorkers = 1;
    double expectedWaitMs = 0; // at the first worker
    double expectedRunMs = 0;
    double typicalRunMs = 0; // at other workers
    double targetLeftMs = 0; // until the response loses worth; negative if that has passed
    double timeLeftMs = 0; // until it is of no use

    friend auto operator<=>(const hedge_candidate &, const hedge_candidate &) = default;
};

// hedgeDelay returns how long to wait for the first worker before a copy is sent; empty if none may be sent. Thread
// safe.
std::optional<milliseconds> hedgeDelay(const hedge_candidate &request);

// The worker that would get the copy.
struct copy_target
{
    double expectedWaitMs = 0;
    double expectedRunMs = 0;
    double timeLeftMs = 0;

    friend auto operator<=>(const copy_target &, const copy_target &) = default;
};

// maySendHedge tells whether the copy may go there. Thread safe.
bool maySendHedge(const copy_target &target);

} // namespace pistachioquay
