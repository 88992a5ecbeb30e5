#include "request/waiting/waiting.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <ranges>
#include <tuple>

namespace pistachioquay {

namespace {

duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

double msBetween(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

bool canMeetTarget(const waiting_request &request, time_point now)
{
    return now + fromMs(request.expectedRunMs) <= request.targetAt;
}

// Smaller runs earlier.
auto rankOf(const waiting_request &request, time_point now)
{
    return std::tuple(!canMeetTarget(request, now), request.priority, request.targetAt, request.ticket);
}

double remainingMs(const running_request &running, time_point now)
{
    const double left = running.expectedRunMs - msBetween(running.startedAt, now);
    return std::max(left, running.expectedRunMs * overdueShare);
}

// Wait of a request behind the waiting ones for which `isAhead` holds, when each slot takes the next request as soon as
// it is free.
template<class IsAhead>
double waitBehind(const waiting_line &line, time_point now, IsAhead isAhead)
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
    for (const waiting_request &other : line.waiting) {
        if (isAhead(other)) {
            const double start = freeAt.top();
            freeAt.pop();
            freeAt.push(start + other.expectedRunMs);
        }
    }
    return freeAt.top();
}

refused_ticket refuse(const waiting_line &line,
                      const waiting_request &request,
                      wait_refusal reason,
                      time_point now,
                      random_generator &generator)
{
    const double wait = expectedWaitMs(line, request.priority, now);
    return {request.ticket, reason, returnDelay(wait, request.endsBy - now, generator)};
}

} // namespace

std::string_view refusalName(wait_refusal reason)
{
    switch (reason) {
    case wait_refusal::None:
        return "none";
    case wait_refusal::Draining:
        return "draining";
    case wait_refusal::WorkerDown:
        return "worker-down";
    case wait_refusal::NoTime:
        return "no-time";
    case wait_refusal::QueueFull:
        return "queue-full";
    }
    return "unknown";
}

time_point latestStart(const waiting_request &request)
{
    return request.endsBy - fromMs(request.expectedRunMs * runMargin);
}

milliseconds returnDelay(double expectedWaitMs, duration timeLeft, random_generator &generator)
{
    std::uniform_real_distribution<double> spread(1.0 - returnSpread, 1.0 + returnSpread);
    const double third = std::chrono::duration<double, std::milli>(timeLeft).count() / 3.0;
    const double wished = std::max<double>(expectedWaitMs * spread(generator), minRetryAfter.count());
    return milliseconds(static_cast<std::int64_t>(std::max(0.0, std::min(wished, third))));
}

double expectedWaitMs(const waiting_line &line, std::uint32_t priority, time_point now)
{
    return waitBehind(line, now, [&](const waiting_request &other) {
        return other.priority <= priority && canMeetTarget(other, now);
    });
}

offer_verdict offer(waiting_line &line, const waiting_request &request, time_point now, random_generator &generator)
{
    offer_verdict verdict;
    if (line.closedFor != wait_refusal::None) {
        verdict.reason = line.closedFor;
        return verdict;
    }
    const auto rank = rankOf(request, now);
    verdict.expectedWaitMs = waitBehind(line, now, [&](const waiting_request &other) {
        return rankOf(other, now) < rank;
    });
    if (now + fromMs(verdict.expectedWaitMs) > latestStart(request)) {
        verdict.reason = wait_refusal::NoTime;
    } else if (line.waiting.size() >= maxWaiting) {
        verdict.reason = wait_refusal::QueueFull;
    }
    if (verdict.reason != wait_refusal::None) {
        verdict.retryAfter = refuse(line, request, verdict.reason, now, generator).retryAfter;
        return verdict;
    }
    if (line.running.size() < line.slots && line.waiting.empty()) {
        line.running.push_back({request.ticket, now, request.expectedRunMs});
        verdict.kind = offer_kind::Run;
        return verdict;
    }
    line.waiting.push_back(request);
    verdict.kind = offer_kind::Wait;
    return verdict;
}

std::optional<std::uint64_t> startNext(waiting_line &line, time_point now)
{
    if (line.waiting.empty() || line.running.size() >= line.slots) {
        return std::nullopt;
    }
    const auto best = std::ranges::min_element(line.waiting, {}, [&](const waiting_request &request) {
        return rankOf(request, now);
    });
    const std::uint64_t ticket = best->ticket;
    line.running.push_back({ticket, now, best->expectedRunMs});
    line.waiting.erase(best);
    return ticket;
}

std::vector<refused_ticket> takeHopeless(waiting_line &line, time_point now, random_generator &generator)
{
    std::vector<refused_ticket> refused;
    const auto isHopeless = [&](const waiting_request &request) {
        return now > latestStart(request);
    };
    const auto kept = std::ranges::stable_partition(line.waiting, std::not_fn(isHopeless));
    const std::vector<waiting_request> taken(kept.begin(), kept.end());
    line.waiting.erase(kept.begin(), kept.end());
    for (const waiting_request &request : taken) {
        refused.push_back(refuse(line, request, wait_refusal::NoTime, now, generator));
    }
    return refused;
}

std::vector<refused_ticket> takeAll(waiting_line &line, wait_refusal reason)
{
    std::vector<refused_ticket> refused;
    std::ranges::transform(line.waiting, std::back_inserter(refused), [&](const waiting_request &request) {
        return refused_ticket{request.ticket, reason, milliseconds{0}};
    });
    line.waiting.clear();
    return refused;
}

void finish(waiting_line &line, std::uint64_t ticket)
{
    std::erase_if(line.running, [&](const running_request &running) {
        return running.ticket == ticket;
    });
    std::erase_if(line.waiting, [&](const waiting_request &waiting) {
        return waiting.ticket == ticket;
    });
}

std::optional<time_point> nextCheck(const waiting_line &line)
{
    if (line.waiting.empty()) {
        return std::nullopt;
    }
    return std::ranges::min(line.waiting | std::views::transform(latestStart));
}

} // namespace pistachioquay
