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
    return now + fromMs(request.expectedRunMs) <= request.targetAt;
}

// Smaller runs earlier. A request that was taken although it is late keeps its place by its arrival.
auto rankOf(const queued_request &request)
{
    const time_point due =
        request.isTakenLate ? request.arrivedAt + fromMs(2 * request.expectedRunMs) : request.targetAt;
    return std::tuple(!request.isFinalAttempt, request.priority, due, request.ticket);
}

double remainingMs(const running_request &running, time_point now)
{
    const double elapsed = msBetween(running.startedAt, now);
    return std::max(running.expectedRunMs - elapsed, std::max(running.expectedRunMs, elapsed) * overdueShare);
}

// Wait of a request behind the waiting ones for which `isAhead` holds, when each slot takes the next request as soon as
// it is free.
template<class IsAhead>
double waitBehind(const request_queue &line, time_point now, IsAhead isAhead)
{
    if (line.running.size() < line.slots) {
        return 0;
    }
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (const running_request &running : line.running) {
        freeAt.push(remainingMs(running, now));
    }
    for (std::size_t over = line.running.size(); over > line.slots; --over) {
        freeAt.pop();
    }
    for (const queued_request &other : line.waiting) {
        if (isAhead(other)) {
            const double start = freeAt.top();
            freeAt.pop();
            freeAt.push(start + other.expectedRunMs);
        }
    }
    return freeAt.top();
}

refused_request refuse(const request_queue &line,
                       const queued_request &request,
                       queue_refusal reason,
                       time_point now,
                       random_generator &generator)
{
    const double wait = expectedWaitMs(line, request.priority, now);
    return {request.ticket, reason, returnDelay(request, wait, now, generator)};
}

// Whether anything waits beside the request that could use its slot better.
bool isCrowded(const request_queue &line, const queued_request &request, time_point now)
{
    const double wait = waitBehind(line, now, [&](const queued_request &other) {
        return other.ticket != request.ticket;
    });
    return wait > lateWaitRuns * request.expectedRunMs;
}

bool isHopeless(const request_queue &line, const queued_request &request, time_point now)
{
    if (now > latestStart(request)) {
        return true;
    }
    return !request.isFinalAttempt && !request.isTakenLate && !canMeetTarget(request, now)
        && isCrowded(line, request, now);
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
    case queue_refusal::Crowded:
        return "crowded";
    case queue_refusal::QueueFull:
        return "queue-full";
    }
    return "unknown";
}

double meanActiveRunMs(const request_queue &line)
{
    const double sum = std::accumulate(line.running.begin(),
                                       line.running.end(),
                                       0.0,
                                       [](double total, const running_request &running) {
                                           return total + running.expectedRunMs;
                                       });
    return line.running.empty() ? 0.0 : sum / static_cast<double>(line.running.size());
}

time_point latestStart(const queued_request &request)
{
    return request.requestDeadline - fromMs(request.expectedRunMs * runMargin);
}

milliseconds
returnDelay(const queued_request &request, double expectedWaitMs, time_point now, random_generator &generator)
{
    const double third = msBetween(now, request.requestDeadline) / 3.0;
    const double targetLeft = msBetween(now, request.targetAt) - request.expectedRunMs;
    std::uniform_real_distribution<double> spread(1.0 - returnSpread, 1.0);
    const double untilRoom = expectedWaitMs - targetLeft;
    const double wished = targetLeft > 0 ? std::min(untilRoom * (1.0 + returnSpread), targetLeft) : third;
    const double delay = std::max<double>(wished * spread(generator), minRetryAfter.count());
    return milliseconds(static_cast<std::int64_t>(std::max(0.0, std::min(delay, third))));
}

double expectedWaitMs(const request_queue &line, std::uint32_t priority, time_point now)
{
    return waitBehind(line, now, [&](const queued_request &other) {
        return other.isFinalAttempt || other.priority <= priority;
    });
}

enqueue_result enqueue(request_queue &line, const queued_request &request, time_point now, random_generator &generator)
{
    enqueue_result verdict;
    if (line.closedReason != queue_refusal::None) {
        verdict.reason = line.closedReason;
        return verdict;
    }
    queued_request offered = request;
    offered.isTakenLate = false;
    offered.isFinalAttempt = isFinalAttempt(msBetween(now, request.targetAt),
                                            msBetween(now, request.requestDeadline),
                                            meanActiveRunMs(line));
    const auto rank = rankOf(offered);
    verdict.expectedWaitMs = waitBehind(line, now, [&](const queued_request &other) {
        return rankOf(other) < rank;
    });
    const time_point startsAt = now + fromMs(verdict.expectedWaitMs);
    if (startsAt > latestStart(offered)) {
        verdict.reason = queue_refusal::NoTime;
    } else if (!offered.isFinalAttempt && !canMeetTarget(offered, startsAt)) {
        offered.isTakenLate = true;
        verdict.reason = isCrowded(line, offered, now) ? queue_refusal::Crowded : queue_refusal::None;
    }
    if (verdict.reason == queue_refusal::None && line.waiting.size() >= maxWaiting) {
        verdict.reason = queue_refusal::QueueFull;
    }
    if (verdict.reason != queue_refusal::None) {
        verdict.retryAfter = refuse(line, offered, verdict.reason, now, generator).retryAfter;
        return verdict;
    }
    if (line.running.size() < line.slots && line.waiting.empty()) {
        line.running.push_back({offered.ticket, now, offered.expectedRunMs});
        verdict.kind = enqueue_outcome::Run;
        return verdict;
    }
    line.waiting.push_back(offered);
    verdict.kind = enqueue_outcome::Wait;
    return verdict;
}

std::optional<std::uint64_t> startNext(request_queue &line, time_point now)
{
    if (line.waiting.empty() || line.running.size() >= line.slots) {
        return std::nullopt;
    }
    const auto best = std::ranges::min_element(line.waiting, {}, rankOf);
    const std::uint64_t ticket = best->ticket;
    line.running.push_back({ticket, now, best->expectedRunMs});
    line.waiting.erase(best);
    return ticket;
}

std::vector<refused_request> removeUnservable(request_queue &line, time_point now, random_generator &generator)
{
    std::vector<refused_request> refused;
    for (std::size_t index = 0; index < line.waiting.size();) {
        const queued_request request = line.waiting[index];
        if (!isHopeless(line, request, now)) {
            ++index;
            continue;
        }
        line.waiting.erase(line.waiting.begin() + static_cast<std::ptrdiff_t>(index));
        const bool isTooLate = now > latestStart(request);
        refused.push_back(
            refuse(line, request, isTooLate ? queue_refusal::NoTime : queue_refusal::Crowded, now, generator));
    }
    return refused;
}

std::vector<refused_request> removeAllQueued(request_queue &line, queue_refusal reason)
{
    std::vector<refused_request> refused;
    std::ranges::transform(line.waiting, std::back_inserter(refused), [&](const queued_request &request) {
        return refused_request{request.ticket, reason, milliseconds{0}};
    });
    line.waiting.clear();
    return refused;
}

void finish(request_queue &line, std::uint64_t ticket)
{
    std::erase_if(line.running, [&](const running_request &running) {
        return running.ticket == ticket;
    });
    std::erase_if(line.waiting, [&](const queued_request &waiting) {
        return waiting.ticket == ticket;
    });
}

std::optional<time_point> nextUnservableCheck(const request_queue &line)
{
    if (line.waiting.empty()) {
        return std::nullopt;
    }
    const auto dueAt = [](const queued_request &request) {
        const time_point lastOnTime = request.targetAt - fromMs(request.expectedRunMs);
        const bool isExempt = request.isFinalAttempt || request.isTakenLate;
        return isExempt ? latestStart(request) : std::min(latestStart(request), lastOnTime);
    };
    return dueAt(*std::ranges::min_element(line.waiting, {}, dueAt));
}

} // namespace pistachioquay
