// Decides when a hedge, a second attempt of a slow request, is sent to another worker of the mesh.
// (`request/retry/hedge.h` does so by the operator's policy, for the request path of `--settings`.)
//
//   if (const auto delay = hedgeDelay(request)) {
//       if (!co_await replied(sentAt + *delay) && maySendHedge(target)) sendHedge();
//   }
//
// Load pattern: some workers slow down for seconds, hang, or fail while their health checks pass, and nodes only notice
// when responses are late. A retryable request is then also sent to a second worker while its target can still be met
// there; the first response is used and the other attempt is cancelled. Hedges must not increase an overload: they are
// only sent to workers with a free slot, and count against the retry budget.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr double hedgeRuns = 2.0; // expected times after which a hedge is sent
inline constexpr double minHedgeRuns = 1.4; // the same, at the earliest, if the target would be missed otherwise
inline constexpr double hedgeRunMargin = 1.2; // multiple of a hedge's expected run time that must fit in the time left
inline constexpr double maxHedgeWaitRuns = 0.1; // longest expected wait of a hedge, in its run times

// A request that was sent to a first worker and has no response yet.
struct hedge_candidate
{
    bool isRetryable = false;
    std::uint32_t workersTried = 0; // including the one that has the request now
    std::uint32_t maxWorkers = 1;
    double expectedWaitMs = 0; // at the first worker
    double expectedRunMs = 0;
    double typicalRunMs = 0; // at the other workers
    double targetLeftMs = 0; // time left until the target; negative if it has passed
    double timeLeftMs = 0; // time left until the deadline

    friend auto operator<=>(const hedge_candidate &, const hedge_candidate &) = default;
};

// hedgeDelay returns how long to wait for the first worker before a hedge is sent; empty if none may be sent. Thread
// safe.
std::optional<milliseconds> hedgeDelay(const hedge_candidate &request);

// The worker that would get the hedge.
struct hedge_target
{
    double expectedWaitMs = 0;
    double expectedRunMs = 0;
    double timeLeftMs = 0;

    friend auto operator<=>(const hedge_target &, const hedge_target &) = default;
};

// maySendHedge returns whether a hedge may be sent to the worker. Thread safe.
bool maySendHedge(const hedge_target &target);

} // namespace pistachioquay
