#include "request/hedge/hedge.h"

#include <algorithm>

namespace pistachioquay {

std::optional<milliseconds> hedgeDelay(const hedge_candidate &request)
{
    if (!request.isRetryable || request.workersTried + 1 > request.maxWorkers) {
        return std::nullopt;
    }
    // A worker that is known to be slow is given no more time than the others take.
    const double expectedMs = request.expectedWaitMs + std::min(request.expectedRunMs, request.typicalRunMs);
    const double earliest = expectedMs * leastHedgeRuns;
    const double patient = expectedMs * hedgeRuns;
    const double lastOnTime = request.targetLeftMs - request.typicalRunMs * hedgeFit;
    const double delay = lastOnTime >= earliest ? std::min(patient, lastOnTime) : patient;
    if (delay + request.typicalRunMs * hedgeFit > request.timeLeftMs) {
        return std::nullopt;
    }
    return milliseconds(static_cast<std::int64_t>(delay) + 1);
}

bool maySendHedge(const copy_target &target)
{
    return target.expectedWaitMs <= target.expectedRunMs * hedgeWaitRuns
        && target.expectedWaitMs + target.expectedRunMs * hedgeFit <= target.timeLeftMs;
}

} // namespace pistachioquay
