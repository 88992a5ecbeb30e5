#include "request/routing/estimate.h"

#include <algorithm>
#include <cmath>

namespace pistachioquay {

namespace internal {

namespace {

constexpr std::uint32_t samplesPerMedian = 8; // new samples of a class after which its median is recomputed
constexpr std::size_t maxMedianWorkers = 256; // workers that enter a median; bounds its cost
constexpr milliseconds outlierHalfLife{1000}; // decay of the effect of a single slow call on the score
constexpr double minOutlierExcess = 0.1; // of the median; less is ignored, so that the worker is chosen again
constexpr float longOpenMarginMs = 2; // added to `longOpenFactor` medians, against noise on sub-millisecond calls
constexpr double longOpenFactor = 2; // of the median; calls that are open for longer worsen the score
constexpr double utilizationWeight = 0.5; // a full worker without a queue scores 1.5 times an idle one

std::size_t classIndex(work_class workClass)
{
    return static_cast<std::size_t>(workClass);
}

float toMs(duration value)
{
    return std::chrono::duration<float, std::milli>(value).count();
}

// Exponential decay: 1 at age 0, 0.5 at age `halfLife`.
double halfLifeDecay(duration age, milliseconds halfLife)
{
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

float medianOf(std::span<float> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

bool hasRecentSamples(const latency_window &window, time_point now)
{
    return window.count > 0 && now - window.lastAt <= maxLatencyAge;
}

float windowMedian(const latency_window &window)
{
    std::array<float, latencySamples> values = window.ms;
    return medianOf(std::span(values).first(window.count));
}

float windowMean(const latency_window &window)
{
    float sum = 0;
    for (const float value : std::span(window.ms).first(window.count)) {
        sum += value;
    }
    return sum / static_cast<float>(window.count);
}

// Median of the medians of the local workers, without `except` unless it is null; 0 if there are no recent samples.
float medianOfWorkers(const routing_state &state, work_class workClass, const tracked_worker *except, time_point now)
{
    std::array<float, maxMedianWorkers> values{};
    std::size_t count = 0;
    for (const tracked_worker &tracked : state.local) {
        const latency_window &window = tracked.latency.at(classIndex(workClass));
        if (&tracked != except && count < values.size() && hasRecentSamples(window, now)) {
            values.at(count++) = windowMedian(window);
        }
    }
    return count == 0 ? 0 : medianOf(std::span(values).first(count));
}

// Latency above which a call counts as slow.
float slowThreshold(float medianMs)
{
    return static_cast<float>(ejectFactor) * medianMs + static_cast<float>(ejectMargin.count());
}

// Whether an open call has already lasted longer than a slow one. Never true for uploads: their duration depends on how
// fast the caller sends.
bool isOverdue(const routing_state &state, const open_call &open, time_point now)
{
    const float median = state.medianMs.at(classIndex(open.workClass));
    return open.workClass != work_class::Upload && median > 0 && toMs(now - open.startedAt) > slowThreshold(median);
}

// Latency of the worker relative to the median of the class, 1 if unknown. The median latency counts by its square
// root; the excess of the mean over the median, caused by single slow calls, decays with time.
double latencyRatio(const routing_state &state, const tracked_worker &tracked, work_class workClass, time_point now)
{
    const float median = state.medianMs.at(classIndex(workClass));
    const latency_window &window = tracked.latency.at(classIndex(workClass));
    if (median <= 0 || !hasRecentSamples(window, now)) {
        return 1;
    }
    const double typical = windowMedian(window);
    const double excess =
        std::max(0.0, windowMean(window) - typical) * halfLifeDecay(now - window.lastAt, outlierHalfLife);
    const double ratio = std::sqrt(typical / median);
    return excess > minOutlierExcess * median ? ratio + excess / median : ratio;
}

// Age of the longest open call relative to the median of its class, or 0 up to `longOpenFactor`. It shows that a worker
// is slow before its first slow response arrives. Uploads are left out as in `isOverdue`.
double openCallRatio(const routing_state &state, const tracked_worker &tracked, time_point now)
{
    double ratio = 0;
    for (const open_call &open : tracked.open) {
        const float median = state.medianMs.at(classIndex(open.workClass));
        if (open.workClass != work_class::Upload && median > 0) {
            ratio = std::max<double>(ratio, (toMs(now - open.startedAt) - longOpenMarginMs) / median);
        }
    }
    return ratio > longOpenFactor ? ratio : 0;
}

double slotCount(const tracked_worker &tracked)
{
    return std::max<std::uint32_t>(tracked.info->slots, 1);
}

double heavySlotCount(const tracked_worker &tracked)
{
    return std::max(1.0, std::floor(slotCount(tracked) / heavySlotDivisor));
}

// Outstanding calls of this node that run or delay short requests. Heavy calls beyond their share of the slots do not
// count, because they wait in queues of their own.
double ownLoad(const tracked_worker &tracked)
{
    const double heavy = std::min<double>(tracked.outstandingHeavy, heavySlotCount(tracked));
    return tracked.outstanding - tracked.outstandingHeavy + heavy;
}

double totalLoad(const tracked_worker &tracked, time_point now)
{
    const double own = ownLoad(tracked);
    if (tracked.otherNodesLoad <= 0) {
        return own;
    }
    return own + tracked.otherNodesLoad * halfLifeDecay(now - tracked.reportedAt, reportHalfLife);
}

// Used slots in relation to all slots if the worker got one more call of the class. Above 1, calls queue.
double utilization(const tracked_worker &tracked, work_class workClass, time_point now)
{
    const double used = (totalLoad(tracked, now) + 1) / slotCount(tracked);
    return isHeavy(workClass) ? std::max(used, (tracked.outstandingHeavy + 1) / heavySlotCount(tracked)) : used;
}

} // namespace

double score(const routing_state &state, const tracked_worker &tracked, work_class workClass, time_point now)
{
    const double used = utilization(tracked, workClass, now);
    const double wait = utilizationWeight * std::min(used, 1.0) + std::max(0.0, used - 1);
    return std::max(latencyRatio(state, tracked, workClass, now), openCallRatio(state, tracked, now)) * (1 + wait);
}

bool isHeavy(work_class workClass)
{
    return workClass == work_class::Upload || workClass == work_class::Background;
}

bool hasSpareSlot(const tracked_worker &tracked, work_class workClass, time_point now)
{
    const double own = ownLoad(tracked);
    const bool hasHeavySlot = !isHeavy(workClass) || tracked.outstandingHeavy < heavySlotCount(tracked);
    if (own >= slotCount(tracked) || !hasHeavySlot) {
        return false;
    }
    return own + tracked.otherNodesLoad < slotCount(tracked) || totalLoad(tracked, now) < slotCount(tracked);
}

void recordLoad(tracked_worker &tracked, const std::optional<load_report> &load, time_point now)
{
    if (load) {
        const float total = static_cast<float>(load->running) + static_cast<float>(load->waiting);
        tracked.otherNodesLoad = std::max(0.0F, total - static_cast<float>(ownLoad(tracked)));
        tracked.reportedAt = now;
    }
}

void updateBackoff(tracked_worker &tracked, call_outcome end, time_point now)
{
    constexpr unsigned maxDoublings = 10;
    switch (end) {
    case call_outcome::Refused:
        tracked.backoffUntil = now + refusalBackoff;
        break;
    case call_outcome::Draining:
        tracked.backoffUntil = now + drainBackoff;
        break;
    case call_outcome::NoConnection:
    case call_outcome::NoValidResponse: {
        const milliseconds delay = firstReconnectDelay * (1U << std::min(tracked.failedConnections, maxDoublings));
        tracked.backoffUntil = now + std::min(delay, maxReconnectDelay);
        ++tracked.failedConnections;
        break;
    }
    case call_outcome::Completed:
    case call_outcome::Failed:
        tracked.failedConnections = 0;
        break;
    case call_outcome::Cancelled:
        break;
    }
}

void recordLatency(
    routing_state &state, tracked_worker &tracked, work_class workClass, duration latency, time_point now)
{
    const std::size_t index = classIndex(workClass);
    latency_window &window = tracked.latency.at(index);
    if (!hasRecentSamples(window, now)) {
        window = {};
    }
    window.ms.at(window.next) = toMs(latency);
    window.next = static_cast<std::uint8_t>((window.next + 1) % latencySamples);
    window.count = static_cast<std::uint8_t>(std::min<std::size_t>(window.count + 1U, latencySamples));
    window.lastAt = now;
    if (++state.samplesSinceMedian.at(index) >= samplesPerMedian || state.medianMs.at(index) <= 0) {
        state.medianMs.at(index) = medianOfWorkers(state, workClass, nullptr, now);
        state.samplesSinceMedian.at(index) = 0;
    }
}

void ejectIfSlow(routing_state &state, std::size_t index, work_class workClass, time_point now)
{
    tracked_worker &tracked = state.local[index];
    const bool isShareExceeded = (state.ejected + 1) * ejectedShareDivisor > state.local.size();
    if (tracked.isEjected || isShareExceeded) {
        return;
    }
    const latency_window &window = tracked.latency.at(classIndex(workClass));
    const auto countSlow = [&](float threshold) {
        const auto values = std::span(window.ms).first(hasRecentSamples(window, now) ? window.count : 0U);
        return static_cast<std::size_t>(std::ranges::count_if(values, [&](float value) {
            return value > threshold;
        }));
    };
    const auto overdue = static_cast<std::size_t>(std::ranges::count_if(tracked.open, [&](const open_call &open) {
        return open.workClass == workClass && isOverdue(state, open, now);
    }));
    const float classMedian = state.medianMs.at(classIndex(workClass));
    if (classMedian <= 0 || countSlow(slowThreshold(classMedian) / 2) + overdue < slowSamplesToEject) {
        return; // cheap check with a margin of half the threshold, as the class median may include this worker
    }
    const float othersMedian = medianOfWorkers(state, workClass, &tracked, now);
    if (othersMedian > 0 && countSlow(slowThreshold(othersMedian)) + overdue >= slowSamplesToEject) {
        tracked.isEjected = true;
        tracked.isProbing = false;
        tracked.healthyProbes = 0;
        tracked.probeInterval = firstProbeDelay;
        tracked.nextProbeAt = now + firstProbeDelay;
        ++state.ejected;
    }
}

void readmit(routing_state &state, tracked_worker &tracked)
{
    tracked.isEjected = false;
    tracked.isProbing = false;
    tracked.latency = {};
    --state.ejected;
}

void recordProbeEnd(
    routing_state &state, tracked_worker &tracked, work_class workClass, const call_result &result, time_point now)
{
    if (!tracked.isEjected) {
        return;
    }
    tracked.isProbing = false;
    const float median = medianOfWorkers(state, workClass, &tracked, now);
    const float healthyLimit = static_cast<float>(readmitFactor) * median + static_cast<float>(ejectMargin.count());
    const bool isHealthy =
        result.end == call_outcome::Completed && (median <= 0 || toMs(result.latency) <= healthyLimit);
    if (!isHealthy) {
        tracked.healthyProbes = 0;
        tracked.probeInterval = std::min(tracked.probeInterval * 2, maxProbeInterval);
        tracked.nextProbeAt = now + tracked.probeInterval;
    } else if (++tracked.healthyProbes >= healthyProbesToReadmit) {
        readmit(state, tracked);
    } else {
        tracked.nextProbeAt = now;
    }
}

spill_target *findSpillTarget(routing_state &state, std::string_view dataCentre)
{
    const auto found = std::ranges::find(state.spill, dataCentre, &spill_target::dataCentre);
    return found == state.spill.end() ? nullptr : &*found;
}

void recordSpillEnd(routing_state &state, const call_choice &choice, call_outcome end, time_point now)
{
    spill_target *target = findSpillTarget(state, choice.target->dataCentre);
    if (target == nullptr) {
        return;
    }
    target->outstanding -= std::min<std::uint32_t>(target->outstanding, 1);
    if (end != call_outcome::Completed && end != call_outcome::Failed && end != call_outcome::Cancelled) {
        target->backoffUntil = now + spillBackoff;
    }
}

std::size_t findTracked(const std::vector<tracked_worker> &workers, const call_choice &choice)
{
    const auto isChosen = [&](const tracked_worker &tracked) {
        return tracked.info == choice.target
            || (tracked.info->incarnation == choice.target->incarnation
                && tracked.info->nodeId == choice.target->nodeId);
    };
    if (choice.index < workers.size() && isChosen(workers[choice.index])) {
        return choice.index;
    }
    return static_cast<std::size_t>(std::ranges::find_if(workers, isChosen) - workers.begin());
}

} // namespace internal

namespace {

using internal::tracked_worker;

// Returns the workers of `next` with the state that `known` holds for the same incarnation. A view contains each node
// id at most once.
std::vector<tracked_worker> carryOverState(std::vector<tracked_worker> &known, const std::vector<worker> &next)
{
    std::map<std::string_view, tracked_worker *> byId;
    for (tracked_worker &tracked : known) {
        byId.emplace(tracked.info->nodeId, &tracked);
    }
    std::vector<tracked_worker> kept;
    kept.reserve(next.size());
    for (const worker &each : next) {
        const auto found = byId.find(each.nodeId);
        const bool isKnown = found != byId.end() && found->second->info->incarnation == each.incarnation;
        kept.push_back(isKnown ? *found->second : tracked_worker{});
        if (!isKnown || *kept.back().info != each) {
            kept.back().info = std::make_shared<const worker>(each);
        }
    }
    return kept;
}

} // namespace

void updateWorkers(routing_state &state, const service_workers &workers, time_point now)
{
    state.local = carryOverState(state.local, workers.local);
    state.remote = carryOverState(state.remote, workers.remote);
    state.ejected = static_cast<std::size_t>(std::ranges::count_if(state.local, &tracked_worker::isEjected));
    for (tracked_worker &tracked : state.local) {
        if (tracked.isEjected && state.ejected * ejectedShareDivisor > state.local.size()) {
            internal::readmit(state, tracked);
        }
    }
    std::vector<internal::spill_target> spill;
    spill.reserve(workers.remoteSpareSlots.size());
    for (const auto &[dataCentre, spareSlots] : workers.remoteSpareSlots) {
        const internal::spill_target *known = internal::findSpillTarget(state, dataCentre);
        spill.push_back({dataCentre,
                         spareSlots,
                         known != nullptr ? known->outstanding : 0,
                         known != nullptr ? known->backoffUntil : now});
    }
    state.spill = std::move(spill);
}

} // namespace pistachioquay
