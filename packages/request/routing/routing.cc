#include "request/routing/routing.h"

#include <algorithm>
#include <cmath>

#include "request/routing/estimate.h"

namespace pistachioquay {

using internal::tracked_worker;

namespace {

constexpr unsigned maxSampleDraws = 12; // random draws before all workers are scanned
constexpr std::size_t maxScored = 8; // workers that a scan scores; bounds its cost while all workers are full
constexpr std::size_t noWorker = SIZE_MAX;

std::size_t randomIndex(std::size_t count, random_generator &generator)
{
    return static_cast<std::size_t>(((generator() >> 32U) * count) >> 32U);
}

bool wasTried(const tracked_worker &tracked, const call_request &request)
{
    return std::ranges::find(request.tried, tracked.info->nodeId) != request.tried.end();
}

bool isUsable(const tracked_worker &tracked, const call_request &request, time_point now)
{
    return !tracked.isEjected && tracked.backoffUntil <= now && !wasTried(tracked, request);
}

// Accepts a drawn worker that is warming up with a probability that rises from `newWorkerInitialShare` to 1.
bool passesWarmUp(const tracked_worker &tracked, time_point now, random_generator &generator)
{
    const duration age = now - tracked.info->readySince;
    if (age >= newWorkerWarmUp) {
        return true;
    }
    const double share = std::max(newWorkerInitialShare, std::chrono::duration<double>(age) / newWorkerWarmUp);
    return std::uniform_real_distribution<double>(0, 1)(generator) < share;
}

struct best_candidate
{
    std::size_t index = noWorker;
    double score = 0;

    void consider(std::size_t candidate, double candidateScore)
    {
        if (index == noWorker || candidateScore < score) {
            index = candidate;
            score = candidateScore;
        }
    }
};

// Returns the best of two random usable workers, or of three while any worker is ejected.
best_candidate
sampleBest(const routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    best_candidate best;
    std::array<std::size_t, 3> drawn{noWorker, noWorker, noWorker};
    const std::size_t wanted = std::min<std::size_t>(state.ejected > 0 ? 3 : 2, state.local.size());
    std::size_t found = 0;
    for (unsigned draw = 0; draw < maxSampleDraws && found < wanted; ++draw) {
        const std::size_t index = randomIndex(state.local.size(), generator);
        const tracked_worker &tracked = state.local[index];
        if (std::ranges::find(drawn, index) != drawn.end() || !isUsable(tracked, request, now)
            || !passesWarmUp(tracked, now, generator)) {
            continue;
        }
        drawn.at(found++) = index;
        best.consider(index, internal::score(state, tracked, request.workClass, now));
    }
    return best;
}

// Returns the best of the first `maxScored` workers that `isCandidate` accepts. The scan starts at a random worker, so
// that equal candidates get equal numbers of calls.
template<class IsCandidate>
best_candidate scanBest(const routing_state &state,
                        const std::vector<tracked_worker> &workers,
                        const call_request &request,
                        time_point now,
                        random_generator &generator,
                        IsCandidate &&isCandidate)
{
    best_candidate best;
    std::size_t scored = 0;
    const std::size_t start = workers.empty() ? 0 : randomIndex(workers.size(), generator);
    for (std::size_t offset = 0; offset < workers.size() && scored < maxScored; ++offset) {
        const std::size_t index = (start + offset) % workers.size();
        if (isCandidate(workers[index])) {
            best.consider(index, internal::score(state, workers[index], request.workClass, now));
            ++scored;
        }
    }
    return best;
}

// Returns an ejected worker that is due for a probe. Only the first attempt of a request may be a probe. A probe waits
// up to `preferredProbeWait` for a lookup or background call, for which a slow response costs least.
std::size_t dueProbe(const routing_state &state, const call_request &request, time_point now)
{
    if (state.ejected == 0 || !request.tried.empty()) {
        return noWorker;
    }
    const bool isPreferred = request.workClass == work_class::Lookup || request.workClass == work_class::Background;
    const time_point due = isPreferred ? now : now - preferredProbeWait;
    const auto isDue = [&](const tracked_worker &tracked) {
        return tracked.isEjected && !tracked.isProbing && tracked.nextProbeAt <= due && tracked.backoffUntil <= now;
    };
    const auto found = std::ranges::find_if(state.local, isDue);
    return found == state.local.end() ? noWorker : static_cast<std::size_t>(found - state.local.begin());
}

// Number of further calls that this node may send to another data centre.
std::uint32_t spillAllowance(const internal::spill_target &target, time_point now)
{
    if (target.spareSlots == 0 || target.backoffUntil > now) {
        return 0;
    }
    const std::uint32_t share = std::max<std::uint32_t>(1, target.spareSlots / spillShareDivisor);
    return share > target.outstanding ? share - target.outstanding : 0;
}

// Returns the best worker of the data centre with the largest allowance.
best_candidate
bestSpillWorker(const routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    const auto byAllowance = [&](const internal::spill_target &left, const internal::spill_target &right) {
        return spillAllowance(left, now) < spillAllowance(right, now);
    };
    const auto target = std::ranges::max_element(state.spill, byAllowance);
    if (target == state.spill.end() || spillAllowance(*target, now) == 0) {
        return {};
    }
    return scanBest(state, state.remote, request, now, generator, [&](const tracked_worker &tracked) {
        return tracked.info->dataCentre == target->dataCentre && isUsable(tracked, request, now);
    });
}

// Counts the call as outstanding for the worker at `index`, and marks it as a probe if one is due there.
call_choice assignCall(routing_state &state, std::size_t index, bool isSpill, work_class workClass, time_point now)
{
    tracked_worker &tracked = (isSpill ? state.remote : state.local)[index];
    const bool isProbe = tracked.isEjected && !tracked.isProbing && tracked.nextProbeAt <= now;
    tracked.isProbing = tracked.isProbing || isProbe;
    ++tracked.outstanding;
    tracked.outstandingHeavy += internal::isHeavy(workClass) ? 1U : 0U;
    const std::uint64_t call = ++state.lastCall;
    if (tracked.open.size() < maxOpenCalls) {
        tracked.open.push_back({call, now, workClass});
    }
    if (isSpill) {
        ++internal::findSpillTarget(state, tracked.info->dataCentre)->outstanding;
    }
    return {tracked.info, call, index, workClass, now, isProbe, isSpill};
}

// Returns the untried worker whose backoff ends first; the last resort when every worker is in backoff.
std::size_t shortestBackoff(const routing_state &state, const call_request &request)
{
    std::size_t best = noWorker;
    for (std::size_t index = 0; index < state.local.size(); ++index) {
        const tracked_worker &tracked = state.local[index];
        if (!wasTried(tracked, request)
            && (best == noWorker || tracked.backoffUntil < state.local[best].backoffUntil)) {
            best = index;
        }
    }
    return best;
}

// Chooses a worker when the sampled one is full: a local worker with a free slot, then one in another data centre, then
// the local worker with the best score, which may be an ejected one.
call_choice
beginCallWhenFull(routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    const auto spare = scanBest(state, state.local, request, now, generator, [&](const tracked_worker &tracked) {
        return isUsable(tracked, request, now) && internal::hasSpareSlot(tracked, request.workClass, now);
    });
    if (spare.index != noWorker) {
        return assignCall(state, spare.index, false, request.workClass, now);
    }
    const best_candidate remote = bestSpillWorker(state, request, now, generator);
    if (remote.index != noWorker) {
        return assignCall(state, remote.index, true, request.workClass, now);
    }
    const auto busy = scanBest(state, state.local, request, now, generator, [&](const tracked_worker &tracked) {
        return tracked.backoffUntil <= now && !wasTried(tracked, request);
    });
    const std::size_t index = busy.index != noWorker ? busy.index : shortestBackoff(state, request);
    return index == noWorker ? call_choice{} : assignCall(state, index, false, request.workClass, now);
}

} // namespace

call_choice beginCall(routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    const std::size_t probe = dueProbe(state, request, now);
    if (probe != noWorker) {
        return assignCall(state, probe, false, request.workClass, now);
    }
    const best_candidate best = state.local.empty() ? best_candidate{} : sampleBest(state, request, now, generator);
    if (best.index != noWorker && internal::hasSpareSlot(state.local[best.index], request.workClass, now)) {
        internal::ejectIfSlow(state, best.index, request.workClass, now);
        return assignCall(state, best.index, false, request.workClass, now);
    }
    return beginCallWhenFull(state, request, now, generator);
}

void endCall(routing_state &state, const call_choice &choice, const call_result &result, time_point now)
{
    if (!choice.target) {
        return;
    }
    if (choice.isSpill) {
        internal::recordSpillEnd(state, choice, result.end, now);
    }
    auto &workers = choice.isSpill ? state.remote : state.local;
    const std::size_t index = internal::findTracked(workers, choice);
    if (index == workers.size()) {
        return;
    }
    tracked_worker &tracked = workers[index];
    internal::recordLoad(tracked, result.load, now);
    tracked.outstanding -= std::min<std::uint32_t>(tracked.outstanding, 1);
    if (internal::isHeavy(choice.workClass)) {
        tracked.outstandingHeavy -= std::min<std::uint32_t>(tracked.outstandingHeavy, 1);
    }
    std::erase_if(tracked.open, [&](const internal::open_call &open) {
        return open.call == choice.call;
    });
    internal::updateBackoff(tracked, result.end, now);
    if (result.end == call_outcome::Completed) {
        internal::recordLatency(state, tracked, choice.workClass, result.latency, now);
    }
    if (choice.isProbe) {
        internal::recordProbeEnd(state, tracked, choice.workClass, result, now);
    } else if (!choice.isSpill && result.end == call_outcome::Completed) {
        internal::ejectIfSlow(state, index, choice.workClass, now);
    }
}

bool isSaturated(const routing_state &state, time_point now)
{
    return std::ranges::none_of(state.local, [&](const tracked_worker &tracked) {
        return !tracked.isEjected && tracked.backoffUntil <= now
            && internal::hasSpareSlot(tracked, work_class::Interactive, now);
    });
}

bool isWorkerEjected(const routing_state &state, std::string_view nodeId)
{
    return std::ranges::any_of(state.local, [&](const tracked_worker &tracked) {
        return tracked.isEjected && tracked.info->nodeId == nodeId;
    });
}

} // namespace pistachioquay
