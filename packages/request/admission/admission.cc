#include "request/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace pistachioquay {

using internal::queued_ticket;
using internal::running_ticket;

namespace {

constexpr std::array<std::string_view, 9> refusalNames = {
    "none",
    "draining",
    "worker-down",
    "queue-full",
    "deadline-too-close",
    "deadline-passed",
    "shed",
    "rate-limit",
    "concurrency-limit",
};

std::size_t classIndex(work_class workClass)
{
    return static_cast<std::size_t>(workClass);
}

bool isHeavy(work_class workClass)
{
    return workClass == work_class::Upload || workClass == work_class::Background;
}

double toMs(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

duration fromMs(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

std::vector<queued_ticket> &queueOf(admission_state &state, work_class workClass)
{
    return state.queues.at(classIndex(workClass));
}

std::uint32_t runningShortRequests(const admission_state &state)
{
    return state.runningByClass.at(classIndex(work_class::Lookup))
        + state.runningByClass.at(classIndex(work_class::Interactive));
}

std::size_t waitingShortRequests(const admission_state &state)
{
    return state.queues.at(classIndex(work_class::Lookup)).size()
        + state.queues.at(classIndex(work_class::Interactive)).size();
}

std::uint32_t runningHeavyRequests(const admission_state &state)
{
    return state.runningByClass.at(classIndex(work_class::Upload))
        + state.runningByClass.at(classIndex(work_class::Background));
}

// Time before the deadline of a request that is reserved for its run, so that a request that starts usually finishes in
// time. It is at most half of `timeBudget`, because requests of a class with long service times would never start
// otherwise.
duration reservedRunTime(const admission_state &state, work_class workClass, duration timeBudget)
{
    const internal::service_time_estimate &estimate = state.serviceTimes.at(classIndex(workClass));
    const duration wanted = fromMs(estimate.meanMs + reservedDeviations * estimate.deviationMs);
    return std::min(wanted, timeBudget / 2);
}

// Number of further heavy requests that may start. One slot, and the recent demand for short requests with headroom,
// are left to short requests; one heavy request may run in any case, so that uploads progress.
std::uint32_t freeHeavySlots(const admission_state &state)
{
    constexpr double demandHeadroom = 1.5;
    const double spare = state.slots - 1 - demandHeadroom * state.shortDemand;
    const double allowed = std::clamp<double>(std::floor(spare), 1, heavySlots(state.slots));
    const auto limit = static_cast<std::uint32_t>(allowed);
    const std::uint32_t used = runningHeavyRequests(state);
    return limit > used ? limit - used : 0;
}

// Whether short requests wait, or recently needed more than all slots.
bool isOverloaded(const admission_state &state)
{
    return waitingShortRequests(state) > 0 || state.shortDemand > state.slots;
}

bool canStart(const admission_state &state, work_class workClass)
{
    const auto used = static_cast<std::uint32_t>(state.running.size());
    if (used >= state.slots) {
        return false;
    }
    if (!isHeavy(workClass)) {
        return true;
    }
    if (workClass == work_class::Background && isOverloaded(state)) {
        return false;
    }
    return freeHeavySlots(state) > 0;
}

// Exponential moving average with `demandTimeConstant`.
void updateShortDemand(admission_state &state, time_point now)
{
    const double elapsed =
        std::max(0.0, std::chrono::duration<double>(now - state.demandUpdatedAt) / demandTimeConstant);
    const double current =
        static_cast<double>(runningShortRequests(state)) + static_cast<double>(waitingShortRequests(state));
    state.shortDemand += (current - state.shortDemand) * (1 - std::exp(-elapsed));
    state.demandUpdatedAt = std::max(state.demandUpdatedAt, now);
}

void startTicket(admission_state &state, const queued_ticket &queued, work_class workClass, time_point now)
{
    state.running.push_back({queued.ticket, now, workClass, queued.limitIndex});
    ++state.runningByClass.at(classIndex(workClass));
}

void refuse(admission_state &state, const queued_ticket &queued, refusal_reason reason, admission_events &events)
{
    releaseLimit(state.limits, queued.limitIndex);
    events.push_back({queued.ticket, reason});
}

// Refuses the queued tickets of a class that are not expected to finish before their deadline.
void refuseUnservable(admission_state &state, work_class workClass, time_point now, admission_events &events)
{
    std::erase_if(queueOf(state, workClass), [&](const queued_ticket &queued) {
        const duration reserve = reservedRunTime(state, workClass, queued.deadline - queued.queuedAt);
        if (queued.deadline - reserve > now) {
            return false;
        }
        refuse(state, queued, refusal_reason::DeadlinePassed, events);
        return true;
    });
}

void refuseQueued(admission_state &state, work_class workClass, refusal_reason reason, admission_events &events)
{
    for (const queued_ticket &queued : queueOf(state, workClass)) {
        refuse(state, queued, reason, events);
    }
    queueOf(state, workClass).clear();
}

// Whether the first queued upload has waited for half of the time to its deadline and no upload runs.
bool isUploadOverdue(const admission_state &state, time_point now)
{
    const auto &queue = state.queues.at(classIndex(work_class::Upload));
    if (queue.empty() || state.slots < 3 || state.runningByClass.at(classIndex(work_class::Upload)) > 0) {
        return false;
    }
    const queued_ticket &first = queue.front();
    return now - first.queuedAt >= (first.deadline - first.queuedAt) / 2;
}

std::optional<work_class> nextClass(const admission_state &state, time_point now)
{
    if (isUploadOverdue(state, now) && canStart(state, work_class::Upload)) {
        return work_class::Upload;
    }
    for (std::size_t index = 0; index < state.queues.size(); ++index) {
        const auto workClass = static_cast<work_class>(index);
        if (!state.queues.at(index).empty() && canStart(state, workClass)) {
            return workClass;
        }
    }
    return std::nullopt;
}

void startQueued(admission_state &state, time_point now, admission_events &events)
{
    if (state.mode != serving_mode::Serving) {
        return;
    }
    while (const auto workClass = nextClass(state, now)) {
        auto &queue = queueOf(state, *workClass);
        startTicket(state, queue.front(), *workClass, now);
        events.push_back({queue.front().ticket, refusal_reason::None});
        queue.erase(queue.begin());
    }
}

// Expected time until a request that is queued now starts: the mean service times of the queued requests that are
// served before it from the same slots, plus one of its own class, divided by the number of these slots.
duration expectedWait(const admission_state &state, work_class workClass)
{
    const std::uint32_t slots = isHeavy(workClass) ? heavySlots(state.slots) : state.slots;
    double workMs = 0;
    for (std::size_t index = 0; index <= classIndex(workClass); ++index) {
        const bool sharesSlots = isHeavy(workClass) == isHeavy(static_cast<work_class>(index));
        const auto waiting = static_cast<double>(state.queues.at(index).size());
        workMs += sharesSlots ? waiting * state.serviceTimes.at(index).meanMs : 0;
    }
    return fromMs((workMs + state.serviceTimes.at(classIndex(workClass)).meanMs) / slots);
}

refusal_reason refusalAtArrival(const admission_state &state, const admission_request &request, time_point now)
{
    if (state.mode != serving_mode::Serving) {
        return state.mode == serving_mode::Draining ? refusal_reason::Draining : refusal_reason::WorkerDown;
    }
    const duration left = request.deadline - now;
    const duration reserve = reservedRunTime(state, request.workClass, left);
    if (left <= duration::zero()) {
        return refusal_reason::DeadlineTooClose;
    }
    const auto &queue = state.queues.at(classIndex(request.workClass));
    if (queue.empty() && canStart(state, request.workClass)) {
        return refusal_reason::None;
    }
    if (request.workClass == work_class::Background && isOverloaded(state)) {
        return refusal_reason::Shed;
    }
    if (queue.size() >= static_cast<std::size_t>(maxQueuedPerSlot.at(classIndex(request.workClass))) * state.slots) {
        return refusal_reason::QueueFull;
    }
    return expectedWait(state, request.workClass) + reserve > left ? refusal_reason::DeadlineTooClose
                                                                   : refusal_reason::None;
}

// Refuses all queued background requests while more short requests wait than there are slots.
void shedBackground(admission_state &state, admission_events &events)
{
    if (waitingShortRequests(state) > state.slots) {
        refuseQueued(state, work_class::Background, refusal_reason::Shed, events);
    }
}

void recordServiceTime(admission_state &state, const running_ticket &ended, time_point now)
{
    internal::service_time_estimate &estimate = state.serviceTimes.at(classIndex(ended.workClass));
    const double sampleMs = toMs(now - ended.startedAt);
    if (estimate.meanMs <= 0) {
        estimate = {sampleMs, sampleMs / 2};
        return;
    }
    estimate.deviationMs += serviceTimeWeight * (std::abs(sampleMs - estimate.meanMs) - estimate.deviationMs);
    estimate.meanMs += serviceTimeWeight * (sampleMs - estimate.meanMs);
}

// Removes a running ticket; returns false if the ticket does not run.
bool endRunning(admission_state &state, std::uint64_t ticket, bool isServiceTimeSample, time_point now)
{
    const auto found = std::ranges::find(state.running, ticket, &running_ticket::ticket);
    if (found == state.running.end()) {
        return false;
    }
    if (isServiceTimeSample) {
        recordServiceTime(state, *found, now);
    }
    --state.runningByClass.at(classIndex(found->workClass));
    releaseLimit(state.limits, found->limitIndex);
    *found = state.running.back();
    state.running.pop_back();
    return true;
}

} // namespace

std::string_view refusalName(refusal_reason reason)
{
    return refusalNames.at(static_cast<std::size_t>(reason));
}

std::uint32_t heavySlots(std::uint32_t slots)
{
    return std::max<std::uint32_t>(1, slots / heavyShareDivisor);
}

admission_state makeAdmission(std::uint32_t slots, std::string_view selfId, time_point now)
{
    admission_state state;
    state.slots = std::max<std::uint32_t>(1, slots);
    state.demandUpdatedAt = now;
    state.running.reserve(state.slots);
    state.limits = makeLimits(selfId, now);
    return state;
}

admission_result admit(admission_state &state, const admission_request &request, time_point now)
{
    updateShortDemand(state, now);
    const refusal_reason reason = refusalAtArrival(state, request, now);
    if (reason != refusal_reason::None) {
        return {admission_kind::Refused, 0, reason};
    }
    queued_ticket queued{0, now, request.deadline, noLimit};
    const limit_verdict verdict =
        tryAcquireLimit(state.limits, request.limitName, request.bound, now, queued.limitIndex);
    if (verdict != limit_verdict::Pass) {
        const bool isRate = verdict == limit_verdict::OverRate;
        return {admission_kind::Refused, 0, isRate ? refusal_reason::RateLimit : refusal_reason::ConcurrencyLimit};
    }
    queued.ticket = ++state.lastTicket;
    if (queueOf(state, request.workClass).empty() && canStart(state, request.workClass)) {
        startTicket(state, queued, request.workClass, now);
        return {admission_kind::Granted, queued.ticket, refusal_reason::None};
    }
    queueOf(state, request.workClass).push_back(queued);
    return {admission_kind::Queued, queued.ticket, refusal_reason::None};
}

void release(
    admission_state &state, std::uint64_t ticket, bool isServiceTimeSample, time_point now, admission_events &events)
{
    updateShortDemand(state, now);
    if (endRunning(state, ticket, isServiceTimeSample, now)) {
        advance(state, now, events);
    }
}

void cancel(admission_state &state, std::uint64_t ticket, time_point now, admission_events &events)
{
    updateShortDemand(state, now);
    for (auto &queue : state.queues) {
        const auto found = std::ranges::find(queue, ticket, &queued_ticket::ticket);
        if (found != queue.end()) {
            releaseLimit(state.limits, found->limitIndex);
            queue.erase(found);
            return;
        }
    }
    release(state, ticket, false, now, events);
}

void advance(admission_state &state, time_point now, admission_events &events)
{
    updateShortDemand(state, now);
    for (std::size_t index = 0; index < state.queues.size(); ++index) {
        refuseUnservable(state, static_cast<work_class>(index), now, events);
    }
    shedBackground(state, events);
    startQueued(state, now, events);
}

void setMode(admission_state &state, serving_mode mode, time_point now, admission_events &events)
{
    state.mode = mode;
    if (mode != serving_mode::Serving) {
        const bool isDraining = mode == serving_mode::Draining;
        for (std::size_t index = 0; index < state.queues.size(); ++index) {
            const auto reason = isDraining ? refusal_reason::Draining : refusal_reason::WorkerDown;
            refuseQueued(state, static_cast<work_class>(index), reason, events);
        }
    }
    advance(state, now, events);
}

std::optional<time_point> nextWakeup(const admission_state &state)
{
    std::optional<time_point> next;
    for (std::size_t index = 0; index < state.queues.size(); ++index) {
        const auto workClass = static_cast<work_class>(index);
        for (const queued_ticket &queued : state.queues.at(index)) {
            const time_point unservableAt =
                queued.deadline - reservedRunTime(state, workClass, queued.deadline - queued.queuedAt);
            next = next ? std::min(*next, unservableAt) : unservableAt;
        }
    }
    const bool hasFreeSlot = state.running.size() < state.slots;
    return next && hasFreeSlot ? std::min(*next, state.demandUpdatedAt + heavyRecheckInterval) : next;
}

std::uint32_t waitingShortCount(const admission_state &state)
{
    return static_cast<std::uint32_t>(waitingShortRequests(state));
}

std::uint32_t waitingCount(const admission_state &state)
{
    std::size_t count = 0;
    for (const auto &queue : state.queues) {
        count += queue.size();
    }
    return static_cast<std::uint32_t>(count);
}

std::uint32_t runningCount(const admission_state &state)
{
    return static_cast<std::uint32_t>(state.running.size());
}

} // namespace pistachioquay
