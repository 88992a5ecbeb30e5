#include "request/routing/estimate.h"

#include <algorithm>
#include <cmath>

namespace pistachioquay {

namespace internal {

namespace {

constexpr std::uint32_t samplesPerMedian = 8;
constexpr std::size_t maxMedianWorkers = 256; // bounds the cost of a median
constexpr milliseconds outlierHalfLife{1000}; // decay of the influence of a single slow call on the score
constexpr double outlierFloor = 0.1; // a smaller influence is dropped, so that an avoided worker is tried again
constexpr float avoidFloorMs = 2; // added to the threshold, for noise on sub-millisecond calls
constexpr double avoidFactor = 2; // a worker with a call open for longer than this multiple of the median is avoided
constexpr double crowdingWeight = 0.5; // cost of a full worker without a queue, relative to an idle one

std::size_t slot(work_class workClass)
{
    return static_cast<std::size_t>(workClass);
}

float toMs(duration value)
{
    return std::chrono::duration<float, std::milli>(value).count();
}

double halved(duration age, milliseconds halfLife)
{
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

float medianOf(std::span<float> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

bool isFresh(const latency_window &window, time_point now)
{
    return window.count > 0 && now - window.lastAt <= latencyMemory;
}

float windowMedian(const latency_window &window)
{
    std::array<float, latencySamples> copy = window.ms;
    return medianOf(std::span(copy).first(window.count));
}

float windowMean(const latency_window &window)
{
    float sum = 0;
    for (const float value : std::span(window.ms).first(window.count)) {
        sum += value;
    }
    return sum / static_cast<float>(window.count);
}

// Median of the workers' medians, without `except`; 0 if nothing is known.
float peerMedian(const routing_state &state, work_class workClass, const tracked_worker *except, time_point now)
{
    std::array<float, maxMedianWorkers> values{};
    std::size_t count = 0;
    for (const tracked_worker &tracked : state.local) {
        const latency_window &window = tracked.latency.at(slot(workClass));
        if (&tracked != except && count < values.size() && isFresh(window, now)) {
            values.at(count++) = windowMedian(window);
        }
    }
    return count == 0 ? 0 : medianOf(std::span(values).first(count));
}

float slowThreshold(float medianMs)
{
    return static_cast<float>(ejectFactor) * medianMs + static_cast<float>(ejectFloor.count());
}

// Uploads are paced by their callers, so an open upload is never overdue.
bool isOverdue(const routing_state &state, const open_call &open, time_point now)
{
    const float median = state.medianMs.at(slot(open.workClass));
    return open.workClass != work_class::Upload && median > 0 && toMs(now - open.startedAt) > slowThreshold(median);
}

double latencyRatio(const routing_state &state, const tracked_worker &tracked, work_class workClass, time_point now)
{
    const float median = state.medianMs.at(slot(workClass));
    const latency_window &window = tracked.latency.at(slot(workClass));
    if (median <= 0 || !isFresh(window, now)) {
        return 1;
    }
    const double typical = windowMedian(window);
    const double excess = std::max(0.0, windowMean(window) - typical) * halved(now - window.lastAt, outlierHalfLife);
    const double ratio = std::sqrt(typical / median);
    return excess > outlierFloor * median ? ratio + excess / median : ratio;
}

// The oldest open calls tell of a slow worker before its first slow response arrives. Uploads are left out as above.
double overdueRatio(const routing_state &state, const tracked_worker &tracked, time_point now)
{
    double ratio = 0;
    for (const open_call &open : tracked.open) {
        const float median = state.medianMs.at(slot(open.workClass));
        if (open.workClass != work_class::Upload && median > 0) {
            ratio = std::max<double>(ratio, (toMs(now - open.startedAt) - avoidFloorMs) / median);
        }
    }
    return ratio > avoidFactor ? ratio : 0;
}

double slotCount(const tracked_worker &tracked)
{
    return std::max<std::uint32_t>(tracked.self->slots, 1);
}

double heavySlotCount(const tracked_worker &tracked)
{
    return std::max(1.0, std::floor(slotCount(tracked) / heavySlotDivisor));
}

// Own calls that run or delay short work; heavy calls beyond their share wait in a queue of their own.
double ownLoad(const tracked_worker &tracked)
{
    const double heavy = std::min<double>(tracked.outstandingHeavy, heavySlotCount(tracked));
    return tracked.outstanding - tracked.outstandingHeavy + heavy;
}

double load(const tracked_worker &tracked, time_point now)
{
    const double own = ownLoad(tracked);
    if (tracked.othersLoad <= 0) {
        return own;
    }
    return own + tracked.othersLoad * halved(now - tracked.reportedAt, reportHalfLife);
}

// Share of the slots in use that a call of the class would find, itself included.
double useOf(const tracked_worker &tracked, work_class workClass, time_point now)
{
    const double use = (load(tracked, now) + 1) / slotCount(tracked);
    return isHeavy(workClass) ? std::max(use, (tracked.outstandingHeavy + 1) / heavySlotCount(tracked)) : use;
}

} // namespace

double score(const routing_state &state, const tracked_worker &tracked, work_class workClass, time_point now)
{
    const double use = useOf(tracked, workClass, now);
    const double wait = crowdingWeight * std::min(use, 1.0) + std::max(0.0, use - 1);
    return std::max(latencyRatio(state, tracked, workClass, now), overdueRatio(state, tracked, now)) * (1 + wait);
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
    return own + tracked.othersLoad < slotCount(tracked) || load(tracked, now) < slotCount(tracked);
}

void noteLoad(tracked_worker &tracked, const std::optional<load_report> &load, time_point now)
{
    if (load) {
        const float total = static_cast<float>(load->running) + static_cast<float>(load->waiting);
        tracked.othersLoad = std::max(0.0F, total - static_cast<float>(ownLoad(tracked)));
        tracked.reportedAt = now;
    }
}

void notePause(tracked_worker &tracked, call_outcome end, time_point now)
{
    constexpr unsigned maxDoublings = 10;
    switch (end) {
    case call_outcome::Refused:
        tracked.pausedUntil = now + refusalPause;
        break;
    case call_outcome::Draining:
        tracked.pausedUntil = now + drainPause;
        break;
    case call_outcome::NoConnection:
    case call_outcome::NoValidResponse: {
        const milliseconds delay = firstReconnectDelay * (1U << std::min(tracked.failedConnections, maxDoublings));
        tracked.pausedUntil = now + std::min(delay, maxReconnectDelay);
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

void noteLatency(routing_state &state, tracked_worker &tracked, work_class workClass, duration latency, time_point now)
{
    const std::size_t index = slot(workClass);
    latency_window &window = tracked.latency.at(index);
    if (!isFresh(window, now)) {
        window = {};
    }
    window.ms.at(window.next) = toMs(latency);
    window.next = static_cast<std::uint8_t>((window.next + 1) % latencySamples);
    window.count = static_cast<std::uint8_t>(std::min<std::size_t>(window.count + 1U, latencySamples));
    window.lastAt = now;
    if (++state.medianAge.at(index) >= samplesPerMedian || state.medianMs.at(index) <= 0) {
        state.medianMs.at(index) = peerMedian(state, workClass, nullptr, now);
        state.medianAge.at(index) = 0;
    }
}

void ejectIfSlow(routing_state &state, std::size_t index, work_class workClass, time_point now)
{
    tracked_worker &tracked = state.local[index];
    const bool isFull = (state.ejected + 1) * ejectedShareDivisor > state.local.size();
    if (tracked.isEjected || isFull) {
        return;
    }
    const latency_window &window = tracked.latency.at(slot(workClass));
    const auto slowSamples = [&](float threshold) {
        const auto values = std::span(window.ms).first(isFresh(window, now) ? window.count : 0U);
        return static_cast<std::size_t>(std::ranges::count_if(values, [&](float value) {
            return value > threshold;
        }));
    };
    const auto overdue = static_cast<std::size_t>(std::ranges::count_if(tracked.open, [&](const open_call &open) {
        return open.workClass == workClass && isOverdue(state, open, now);
    }));
    const float known = state.medianMs.at(slot(workClass));
    if (known <= 0 || slowSamples(slowThreshold(known) / 2) + overdue < slowSamplesToEject) {
        return; // the known median may include this worker, hence the half; the exact check follows
    }
    const float peers = peerMedian(state, workClass, &tracked, now);
    if (peers > 0 && slowSamples(slowThreshold(peers)) + overdue >= slowSamplesToEject) {
        tracked.isEjected = true;
        tracked.isProbing = false;
        tracked.goodProbes = 0;
        tracked.probeInterval = firstProbeAfter;
        tracked.nextProbeAt = now + firstProbeAfter;
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

void endProbe(
    routing_state &state, tracked_worker &tracked, work_class workClass, const call_result &seen, time_point now)
{
    if (!tracked.isEjected) {
        return;
    }
    tracked.isProbing = false;
    const float median = peerMedian(state, workClass, &tracked, now);
    const float healthy = static_cast<float>(readmitFactor) * median + static_cast<float>(ejectFloor.count());
    const bool isGood = seen.end == call_outcome::Completed && (median <= 0 || toMs(seen.latency) <= healthy);
    if (!isGood) {
        tracked.goodProbes = 0;
        tracked.probeInterval = std::min(tracked.probeInterval * 2, maxProbeInterval);
        tracked.nextProbeAt = now + tracked.probeInterval;
    } else if (++tracked.goodProbes >= goodProbesToReadmit) {
        readmit(state, tracked);
    } else {
        tracked.nextProbeAt = now;
    }
}

spill_target *spillOf(routing_state &state, std::string_view dataCentre)
{
    const auto found = std::ranges::find(state.spill, dataCentre, &spill_target::dataCentre);
    return found == state.spill.end() ? nullptr : &*found;
}

void endSpill(routing_state &state, const call_choice &choice, call_outcome end, time_point now)
{
    spill_target *target = spillOf(state, choice.target->dataCentre);
    if (target == nullptr) {
        return;
    }
    target->outstanding -= std::min<std::uint32_t>(target->outstanding, 1);
    if (end != call_outcome::Completed && end != call_outcome::Failed && end != call_outcome::Cancelled) {
        target->pausedUntil = now + spillPause;
    }
}

std::size_t findTracked(const std::vector<tracked_worker> &workers, const call_choice &choice)
{
    const auto isChosen = [&](const tracked_worker &tracked) {
        return tracked.self == choice.target
            || (tracked.self->incarnation == choice.target->incarnation
                && tracked.self->nodeId == choice.target->nodeId);
    };
    if (choice.index < workers.size() && isChosen(workers[choice.index])) {
        return choice.index;
    }
    return static_cast<std::size_t>(std::ranges::find_if(workers, isChosen) - workers.begin());
}

} // namespace internal

namespace {

using internal::tracked_worker;

// Keeps what is known of the workers in `next`; a view holds each node id at most once.
std::vector<tracked_worker> takeOver(std::vector<tracked_worker> &known, const std::vector<worker> &next)
{
    std::map<std::string_view, tracked_worker *> byId;
    for (tracked_worker &tracked : known) {
        byId.emplace(tracked.self->nodeId, &tracked);
    }
    std::vector<tracked_worker> kept;
    kept.reserve(next.size());
    for (const worker &each : next) {
        const auto found = byId.find(each.nodeId);
        const bool isKnown = found != byId.end() && found->second->self->incarnation == each.incarnation;
        kept.push_back(isKnown ? *found->second : tracked_worker{});
        if (!isKnown || *kept.back().self != each) {
            kept.back().self = std::make_shared<const worker>(each);
        }
    }
    return kept;
}

} // namespace

void updateWorkers(routing_state &state, const service_workers &workers, time_point now)
{
    state.local = takeOver(state.local, workers.local);
    state.remote = takeOver(state.remote, workers.remote);
    state.ejected = static_cast<std::size_t>(std::ranges::count_if(state.local, &tracked_worker::isEjected));
    for (tracked_worker &tracked : state.local) {
        if (tracked.isEjected && state.ejected * ejectedShareDivisor > state.local.size()) {
            internal::readmit(state, tracked);
        }
    }
    std::vector<internal::spill_target> spill;
    spill.reserve(workers.remoteSpareSlots.size());
    for (const auto &[dataCentre, spareSlots] : workers.remoteSpareSlots) {
        const internal::spill_target *known = internal::spillOf(state, dataCentre);
        spill.push_back({dataCentre,
                         spareSlots,
                         known != nullptr ? known->outstanding : 0,
                         known != nullptr ? known->pausedUntil : now});
    }
    state.spill = std::move(spill);
}

} // namespace pistachioquay
