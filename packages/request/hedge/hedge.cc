#include "request/hedge/hedge.h"

#include <algorithm>

namespace pistachioquay {

std::optional<milliseconds> hedgeDelay(const hedge_facts &facts)
{
    if (!facts.isRepeatable || facts.workersTried + 1 > facts.maxWorkers) {
        return std::nullopt;
    }
    // A worker that is known to be slow is given no more time than the others take.
    const double expectedMs = facts.expectedWaitMs + std::min(facts.expectedRunMs, facts.typicalRunMs);
    const double earliest = expectedMs * leastHedgeRuns;
    const double patient = expectedMs * hedgeRuns;
    const double lastOnTime = facts.targetLeftMs - facts.typicalRunMs * hedgeFit;
    const double delay = lastOnTime >= earliest ? std::min(patient, lastOnTime) : patient;
    if (delay + facts.typicalRunMs * hedgeFit > facts.timeLeftMs) {
        return std::nullopt;
    }
    return milliseconds(static_cast<std::int64_t>(delay) + 1);
}

bool mayHedge(const hedge_target &target)
{
    return target.expectedWaitMs <= target.expectedRunMs * hedgeWaitRuns
        && target.expectedWaitMs + target.expectedRunMs * hedgeFit <= target.timeLeftMs;
}

} // namespace pistachioquay
