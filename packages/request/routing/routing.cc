#include "request/routing/routing.h"

#include <algorithm>
#include <cmath>

#include "request/routing/estimate.h"

namespace pistachioquay {

using internal::tracked_worker;

namespace {

constexpr unsigned maxDraws = 12; // random draws before the candidates are scanned
constexpr std::size_t maxScored = 8; // bounds the cost of a choice while all workers are full
constexpr std::size_t none = SIZE_MAX;

std::size_t drawIndex(std::size_t count, random_generator &generator)
{
    return static_cast<std::size_t>(((generator() >> 32U) * count) >> 32U);
}

bool wasTried(const tracked_worker &tracked, const call_request &request)
{
    return std::ranges::find(request.tried, tracked.self->nodeId) != request.tried.end();
}

bool isUsable(const tracked_worker &tracked, const call_request &request, time_point now)
{
    return !tracked.isEjected && tracked.pausedUntil <= now && !wasTried(tracked, request);
}

// Whether a draw counts for a worker that ramps up.
bool passesRampUp(const tracked_worker &tracked, time_point now, random_generator &generator)
{
    const duration age = now - tracked.self->readySince;
    if (age >= rampUp) {
        return true;
    }
    const double share = std::max(rampUpStart, std::chrono::duration<double>(age) / rampUp);
    return std::uniform_real_distribution<double>(0, 1)(generator) < share;
}

struct best_worker
{
    std::size_t index = none;
    double score = 0;

    void enqueue(std::size_t candidate, double candidateScore)
    {
        if (index == none || candidateScore < score) {
            index = candidate;
            score = candidateScore;
        }
    }
};

best_worker
drawBest(const routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    best_worker best;
    std::array<std::size_t, 3> drawn{none, none, none};
    const std::size_t wanted = std::min<std::size_t>(state.ejected > 0 ? 3 : 2, state.local.size());
    std::size_t found = 0;
    for (unsigned draw = 0; draw < maxDraws && found < wanted; ++draw) {
        const std::size_t index = drawIndex(state.local.size(), generator);
        const tracked_worker &tracked = state.local[index];
        if (std::ranges::find(drawn, index) != drawn.end() || !isUsable(tracked, request, now)
            || !passesRampUp(tracked, now, generator)) {
            continue;
        }
        drawn.at(found++) = index;
        best.enqueue(index, internal::score(state, tracked, request.workClass, now));
    }
    return best;
}

// Scans at most `maxScored` workers from a random start, so that equal candidates share the calls.
template<class Accepts>
best_worker scanBest(const routing_state &state,
                     const std::vector<tracked_worker> &workers,
                     const call_request &request,
                     time_point now,
                     random_generator &generator,
                     Accepts &&accepts)
{
    best_worker best;
    std::size_t scored = 0;
    const std::size_t start = workers.empty() ? 0 : drawIndex(workers.size(), generator);
    for (std::size_t offset = 0; offset < workers.size() && scored < maxScored; ++offset) {
        const std::size_t index = (start + offset) % workers.size();
        if (accepts(workers[index])) {
            best.enqueue(index, internal::score(state, workers[index], request.workClass, now));
            ++scored;
        }
    }
    return best;
}

std::size_t dueProbe(const routing_state &state, const call_request &request, time_point now)
{
    if (state.ejected == 0 || !request.tried.empty()) {
        return none;
    }
    const bool isCheap = request.workClass == work_class::Lookup || request.workClass == work_class::Background;
    const time_point due = isCheap ? now : now - costlyProbeDelay;
    const auto isDue = [&](const tracked_worker &tracked) {
        return tracked.isEjected && !tracked.isProbing && tracked.nextProbeAt <= due && tracked.pausedUntil <= now;
    };
    const auto found = std::ranges::find_if(state.local, isDue);
    return found == state.local.end() ? none : static_cast<std::size_t>(found - state.local.begin());
}

std::uint32_t spillAllowance(const internal::spill_target &target, time_point now)
{
    if (target.spareSlots == 0 || target.pausedUntil > now) {
        return 0;
    }
    const std::uint32_t share = std::max<std::uint32_t>(1, target.spareSlots / spillShareDivisor);
    return share > target.outstanding ? share - target.outstanding : 0;
}

best_worker
spillTo(const routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    const auto byAllowance = [&](const internal::spill_target &left, const internal::spill_target &right) {
        return spillAllowance(left, now) < spillAllowance(right, now);
    };
    const auto target = std::ranges::max_element(state.spill, byAllowance);
    if (target == state.spill.end() || spillAllowance(*target, now) == 0) {
        return {};
    }
    return scanBest(state, state.remote, request, now, generator, [&](const tracked_worker &tracked) {
        return tracked.self->dataCentre == target->dataCentre && isUsable(tracked, request, now);
    });
}

call_choice take(routing_state &state, std::size_t index, bool isSpill, work_class workClass, time_point now)
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
        ++internal::spillOf(state, tracked.self->dataCentre)->outstanding;
    }
    return {tracked.self, call, index, workClass, now, isProbe, isSpill};
}

// Nothing healthy is left: the untried worker that is paused for the shortest time.
std::size_t leastPaused(const routing_state &state, const call_request &request)
{
    std::size_t best = none;
    for (std::size_t index = 0; index < state.local.size(); ++index) {
        const tracked_worker &tracked = state.local[index];
        if (!wasTried(tracked, request) && (best == none || tracked.pausedUntil < state.local[best].pausedUntil)) {
            best = index;
        }
    }
    return best;
}

// All drawn candidates are full: first a local spare slot, then a spare slot elsewhere, then the shortest local wait,
// for which slowed workers count as well.
call_choice beginCrowded(routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    const auto spare = scanBest(state, state.local, request, now, generator, [&](const tracked_worker &tracked) {
        return isUsable(tracked, request, now) && internal::hasSpareSlot(tracked, request.workClass, now);
    });
    if (spare.index != none) {
        return take(state, spare.index, false, request.workClass, now);
    }
    const best_worker away = spillTo(state, request, now, generator);
    if (away.index != none) {
        return take(state, away.index, true, request.workClass, now);
    }
    const auto shortest = scanBest(state, state.local, request, now, generator, [&](const tracked_worker &tracked) {
        return tracked.pausedUntil <= now && !wasTried(tracked, request);
    });
    const std::size_t index = shortest.index != none ? shortest.index : leastPaused(state, request);
    return index == none ? call_choice{} : take(state, index, false, request.workClass, now);
}

} // namespace

call_choice beginCall(routing_state &state, const call_request &request, time_point now, random_generator &generator)
{
    const std::size_t probe = dueProbe(state, request, now);
    if (probe != none) {
        return take(state, probe, false, request.workClass, now);
    }
    const best_worker best = state.local.empty() ? best_worker{} : drawBest(state, request, now, generator);
    if (best.index != none && internal::hasSpareSlot(state.local[best.index], request.workClass, now)) {
        internal::ejectIfSlow(state, best.index, request.workClass, now);
        return take(state, best.index, false, request.workClass, now);
    }
    return beginCrowded(state, request, now, generator);
}

void endCall(routing_state &state, const call_choice &choice, const call_result &seen, time_point now)
{
    if (!choice.target) {
        return;
    }
    if (choice.isSpill) {
        internal::endSpill(state, choice, seen.end, now);
    }
    auto &workers = choice.isSpill ? state.remote : state.local;
    const std::size_t index = internal::findTracked(workers, choice);
    if (index == workers.size()) {
        return;
    }
    tracked_worker &tracked = workers[index];
    internal::noteLoad(tracked, seen.load, now);
    tracked.outstanding -= std::min<std::uint32_t>(tracked.outstanding, 1);
    if (internal::isHeavy(choice.workClass)) {
        tracked.outstandingHeavy -= std::min<std::uint32_t>(tracked.outstandingHeavy, 1);
    }
    std::erase_if(tracked.open, [&](const internal::open_call &open) {
        return open.call == choice.call;
    });
    internal::notePause(tracked, seen.end, now);
    if (seen.end == call_outcome::Completed) {
        internal::noteLatency(state, tracked, choice.workClass, seen.latency, now);
    }
    if (choice.isProbe) {
        internal::endProbe(state, tracked, choice.workClass, seen, now);
    } else if (!choice.isSpill && seen.end == call_outcome::Completed) {
        internal::ejectIfSlow(state, index, choice.workClass, now);
    }
}

bool isSaturated(const routing_state &state, time_point now)
{
    return std::ranges::none_of(state.local, [&](const tracked_worker &tracked) {
        return !tracked.isEjected && tracked.pausedUntil <= now
            && internal::hasSpareSlot(tracked, work_class::Interactive, now);
    });
}

bool isSlow(const routing_state &state, std::string_view nodeId)
{
    return std::ranges::any_of(state.local, [&](const tracked_worker &tracked) {
        return tracked.isEjected && tracked.self->nodeId == nodeId;
    });
}

} // namespace pistachioquay
