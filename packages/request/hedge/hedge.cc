#include "request/hedge/hedge.h"

#include <algorithm>

namespace pistachioquay {

std::optional<milliseconds> hedgeDelay(const hedge_candidate &request)
{
    if (!request.isRetryable || request.workersTried + 1 > request.maxWorkers) {
        return std::nullopt;
    }
    // A worker that is known to be slow gets no more time than the others usually take.
    const double expectedMs = request.expectedWaitMs + std::min(request.expectedRunMs, request.typicalRunMs);
    const double minDelay = expectedMs * minHedgeRuns;
    const double usualDelay = expectedMs * hedgeRuns;
    const double latestOnTime = request.targetLeftMs - request.typicalRunMs * hedgeRunMargin;
    const double delay = latestOnTime >= minDelay ? std::min(usualDelay, latestOnTime) : usualDelay;
    if (delay + request.typicalRunMs * hedgeRunMargin > request.timeLeftMs) {
        return std::nullopt;
    }
    return milliseconds(static_cast<std::int64_t>(delay) + 1);
}

bool maySendHedge(const hedge_target &target)
{
    return target.expectedWaitMs <= target.expectedRunMs * maxHedgeWaitRuns
        && target.expectedWaitMs + target.expectedRunMs * hedgeRunMargin <= target.timeLeftMs;
}

} // namespace pistachioquay
