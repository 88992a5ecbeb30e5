#include "request/waiting/waiting.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <tuple>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

bool canMeetTarget(const queued_request &request, time_point now)
{
    return now + fromMs(request.expectedRunMs * onTimeRunMargin) <= request.targetAt;
}

// Returns the time by which the queue orders requests of one priority: the target, or the arrival if the target has no
// meaning for a request that is admitted although it would miss it. A request of an underserved flow goes before the
// others: behind their targets it would wait until its deadline.
time_point dueAt(const queued_request &request)
{
    if (request.isUnderserved) {
        return request.arrivedAt;
    }
    return request.isAdmittedLate ? request.arrivedAt + fromMs(2 * request.expectedRunMs) : request.targetAt;
}

// Sort key: the smallest runs first.
auto dispatchOrder(const queued_request &request)
{
    return std::tuple(!request.isFinalAttempt, request.priority, dueAt(request), request.ticket);
}

double remainingMs(const running_request &running, time_point now)
{
    const double elapsed = msBetween(running.startedAt, now);
    return std::max(running.expectedRunMs - elapsed, std::max(running.expectedRunMs, elapsed) * overdueRemainingShare);
}

// Returns the wait of a request behind the queued ones for which `isAhead` holds, if each slot takes the next request
// as soon as it is free.
template<class IsAhead>
double waitBehindMs(const request_queue &queue, time_point now, IsAhead isAhead)
{
    if (queue.running.size() < queue.slots) {
        return 0;
    }
    std::priority_queue<double, std::vector<double>, std::greater<>> slotFreeAt;
    for (const running_request &running : queue.running) {
        slotFreeAt.push(remainingMs(running, now));
    }
    for (std::size_t excess = queue.running.size(); excess > queue.slots; --excess) {
        slotFreeAt.pop();
    }
    for (const queued_request &other : queue.waiting) {
        if (isAhead(other)) {
            const double start = slotFreeAt.top();
            slotFreeAt.pop();
            slotFreeAt.push(start + other.expectedRunMs);
        }
    }
    return slotFreeAt.top();
}

refused_request refusalOf(const request_queue &queue,
                          const queued_request &request,
                          queue_refusal reason,
                          time_point now,
                          random_generator &generator)
{
    const double wait = expectedWaitMs(queue, request.priority, now);
    return {request.ticket, reason, retryAfterDelay(request, wait, now, generator)};
}

// Returns whether a late request would wait longer than `maxLateWaitRuns` behind the running and all other queued
// requests, which then make better use of the slot.
bool hasCompetingWork(const request_queue &queue, const queued_request &request, time_point now)
{
    const double wait = waitBehindMs(queue, now, [&](const queued_request &other) {
        return other.ticket != request.ticket;
    });
    return wait > maxLateWaitRuns * request.expectedRunMs;
}

// Returns whether a new request counts as a call of a worker.
bool isTakenForCall(const request_queue &queue, const queued_request &request, time_point now)
{
    if (request.origin != request_origin::Unknown) {
        return request.origin == request_origin::Worker;
    }
    return isFinalAttempt(msBetween(now, request.targetAt),
                          msBetween(now, request.requestDeadline),
                          retryRunMs(meanActiveRunMs(queue), request.expectedRunMs, request.typicalRunMs));
}

bool isUnservable(const request_queue &queue, const queued_request &request, time_point now)
{
    if (now > latestStart(request)) {
        return true;
    }
    return !request.isFinalAttempt && !request.isUnderserved && !request.isAdmittedLate && !canMeetTarget(request, now)
        && hasCompetingWork(queue, request, now);
}

} // namespace

std::string_view refusalName(queue_refusal reason)
{
    switch (reason) {
    case queue_refusal::None:
        return "none";
    case queue_refusal::Draining:
        return "draining";
    case queue_refusal::WorkerDown:
        return "worker-down";
    case queue_refusal::NoTime:
        return "no-time";
    case queue_refusal::WouldMissTarget:
        return "crowded";
    case queue_refusal::QueueFull:
        return "queue-full";
    }
    return "unknown";
}

double meanActiveRunMs(const request_queue &queue)
{
    const double sum = std::accumulate(queue.running.begin(),
                                       queue.running.end(),
                                       0.0,
                                       [](double total, const running_request &running) {
                                           return total + running.expectedRunMs;
                                       });
    return queue.running.empty() ? 0.0 : sum / static_cast<double>(queue.running.size());
}

time_point latestStart(const queued_request &request)
{
    return request.requestDeadline - fromMs(request.expectedRunMs * runTimeMargin);
}

milliseconds
retryAfterDelay(const queued_request &request, double expectedWaitMs, time_point now, random_generator &generator)
{
    const double maxDelay = msBetween(now, request.requestDeadline) / 3.0;
    const double targetLeft = msBetween(now, request.targetAt) - request.expectedRunMs;
    std::uniform_real_distribution<double> jitter(1.0 - retryAfterJitter, 1.0);
    const double untilOnTime = expectedWaitMs - targetLeft;
    const double wanted = targetLeft > 0 ? std::min(untilOnTime * (1.0 + retryAfterJitter), targetLeft) : maxDelay;
    const double delay = std::max<double>(wanted * jitter(generator), minRetryAfter.count());
    return milliseconds(static_cast<std::int64_t>(std::max(0.0, std::min(delay, maxDelay))));
}

double expectedWaitMs(const request_queue &queue, std::uint32_t priority, time_point now)
{
    return waitBehindMs(queue, now, [&](const queued_request &other) {
        return other.isFinalAttempt || other.priority <= priority;
    });
}

enqueue_result enqueue(request_queue &queue, const queued_request &request, time_point now, random_generator &generator)
{
    enqueue_result result;
    if (queue.closedReason != queue_refusal::None) {
        result.reason = queue.closedReason;
        return result;
    }
    queued_request candidate = request;
    candidate.isAdmittedLate = false;
    candidate.isFinalAttempt = isTakenForCall(queue, request, now);
    const auto rank = dispatchOrder(candidate);
    result.expectedWaitMs = waitBehindMs(queue, now, [&](const queued_request &other) {
        return dispatchOrder(other) < rank;
    });
    const time_point startsAt = now + fromMs(result.expectedWaitMs);
    const bool mayRunAtOnce = queue.running.size() < queue.slots && queue.waiting.empty();
    if (startsAt > latestStart(candidate) && !(candidate.isProbe && mayRunAtOnce)) {
        result.reason = queue_refusal::NoTime;
    } else if (!candidate.isFinalAttempt && !candidate.isUnderserved && !canMeetTarget(candidate, startsAt)) {
        candidate.isAdmittedLate = true;
        result.reason = hasCompetingWork(queue, candidate, now) ? queue_refusal::WouldMissTarget : queue_refusal::None;
    }
    if (result.reason == queue_refusal::None && queue.waiting.size() >= maxQueued) {
        result.reason = queue_refusal::QueueFull;
    }
    if (result.reason != queue_refusal::None) {
        result.retryAfter = refusalOf(queue, candidate, result.reason, now, generator).retryAfter;
        return result;
    }
    if (mayRunAtOnce) {
        queue.running.push_back({candidate.ticket, now, candidate.expectedRunMs});
        result.kind = enqueue_outcome::Run;
        return result;
    }
    queue.waiting.push_back(candidate);
    result.kind = enqueue_outcome::Wait;
    return result;
}

std::optional<std::uint64_t> startNext(request_queue &queue, time_point now)
{
    if (queue.waiting.empty() || queue.running.size() >= queue.slots) {
        return std::nullopt;
    }
    const auto best = std::ranges::min_element(queue.waiting, {}, dispatchOrder);
    const std::uint64_t ticket = best->ticket;
    queue.running.push_back({ticket, now, best->expectedRunMs});
    queue.waiting.erase(best);
    return ticket;
}

std::vector<refused_request> removeUnservable(request_queue &queue, time_point now, random_generator &generator)
{
    std::vector<refused_request> refused;
    for (std::size_t index = 0; index < queue.waiting.size();) {
        const queued_request request = queue.waiting[index];
        if (!isUnservable(queue, request, now)) {
            ++index;
            continue;
        }
        queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(index));
        const bool isPastLatestStart = now > latestStart(request);
        refused.push_back(refusalOf(queue,
                                    request,
                                    isPastLatestStart ? queue_refusal::NoTime : queue_refusal::WouldMissTarget,
                                    now,
                                    generator));
    }
    return refused;
}

std::vector<refused_request> removeAllQueued(request_queue &queue, queue_refusal reason)
{
    std::vector<refused_request> refused;
    std::ranges::transform(queue.waiting, std::back_inserter(refused), [&](const queued_request &request) {
        return refused_request{request.ticket, reason, milliseconds{0}};
    });
    queue.waiting.clear();
    return refused;
}

void finish(request_queue &queue, std::uint64_t ticket)
{
    std::erase_if(queue.running, [&](const running_request &running) {
        return running.ticket == ticket;
    });
    std::erase_if(queue.waiting, [&](const queued_request &waiting) {
        return waiting.ticket == ticket;
    });
}

std::optional<time_point> nextUnservableCheck(const request_queue &queue)
{
    if (queue.waiting.empty()) {
        return std::nullopt;
    }
    const auto checkAt = [](const queued_request &request) {
        const time_point lastOnTime = request.targetAt - fromMs(request.expectedRunMs * onTimeRunMargin);
        const bool isExempt = request.isFinalAttempt || request.isUnderserved || request.isAdmittedLate;
        return isExempt ? latestStart(request) : std::min(latestStart(request), lastOnTime);
    };
    return checkAt(*std::ranges::min_element(queue.waiting, {}, checkAt));
}

} // namespace pistachioquay
