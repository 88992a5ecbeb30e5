// The part of `outbound_handler` that sends hedges, second attempts of slow requests.
#include "process/mesh/outbound.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds replySlack{150}; // wait after the deadline for the reply of the worker's node

} // namespace

awaitable<outbound_handler::shared_attempt>
outbound_handler::sendHedged(request_context &request, const shared_attempt &first, const placement_choice &choice)
{
    hedge_candidate candidate;
    candidate.isRetryable = request.route->repeat == retry_policy::Retryable;
    candidate.workersTried = request.workersTried + 1;
    candidate.maxWorkers = request.route->maxWorkers;
    candidate.expectedWaitMs = choice.expectedWaitMs;
    candidate.expectedRunMs = choice.expectedRunMs;
    candidate.typicalRunMs = choice.typicalRunMs;
    candidate.targetLeftMs = request.placement.targetLeftMs;
    candidate.timeLeftMs = request.placement.timeLeftMs;
    // A second copy of a suspect could crash a second worker before the first one tells.
    const auto delay = crashSuspicion(request) == suspicion::None ? hedgeDelay(candidate) : std::nullopt;
    request.cancellation->onCancel([first] {
        first->cancellation->cancel();
    });
    if (request.cancellation->isCancelled()) {
        first->cancellation->cancel();
    }
    if (!delay) {
        first->reply = co_await sendAttempt(*first);
        request.cancellation->onCancel(nullptr);
        co_return first;
    }
    const auto changed = std::make_shared<async_event>(m_context.executor);
    startAttempt(first, changed);
    co_await changed->waitUntil(first->sentAt + *delay);
    const bool isSlow = !first->reply && !request.cancellation->isCancelled();
    const shared_attempt second = isSlow ? makeHedge(request, *first) : nullptr;
    if (second) {
        startAttempt(second, changed);
    }
    co_return co_await waitForFirstFinalReply(request, first, second, changed);
}

// Waits for the first reply that can be returned to the caller, or for the end of both attempts. `second` may be null.
awaitable<outbound_handler::shared_attempt>
outbound_handler::waitForFirstFinalReply(request_context &request,
                                         const shared_attempt &first,
                                         const shared_attempt &second,
                                         const std::shared_ptr<async_event> &changed)
{
    std::vector<shared_attempt> attempts{first};
    if (second) {
        attempts.push_back(second);
    }
    request.cancellation->onCancel([attempts] {
        for (const shared_attempt &attempt : attempts) {
            attempt->cancellation->cancel();
        }
    });
    const auto isEnded = [](const shared_attempt &attempt) {
        return attempt->reply.has_value();
    };
    const auto isWinner = [](const shared_attempt &attempt) {
        return attempt->reply && isFinal(*attempt->reply);
    };
    while (std::ranges::none_of(attempts, isWinner) && !std::ranges::all_of(attempts, isEnded)) {
        changed->reset();
        co_await changed->waitUntil(request.requestDeadline + replySlack * 2);
    }
    request.cancellation->onCancel(nullptr);
    const auto winner = std::ranges::find_if(attempts, isWinner);
    const shared_attempt chosen = winner != attempts.end() ? *winner : first;
    for (const shared_attempt &attempt : attempts) {
        if (attempt != chosen) {
            cancelSlower(request, attempt);
        }
    }
    co_return chosen;
}

// Creates a second attempt at another worker; null if none has a free slot or the retry budget is used up.
outbound_handler::shared_attempt outbound_handler::makeHedge(request_context &request, const request_attempt &first)
{
    const std::set<std::string> excluded = request.placement.excluded;
    request.placement.excluded.insert(first.nodeId);
    const placement_choice choice = choosePlacement(request);
    request.placement.excluded = excluded;
    if (!choice.nodeId || !maySendHedge({choice.expectedWaitMs, choice.expectedRunMs, request.placement.timeLeftMs})
        || !tryAcquireServiceHedge(m_context.retryBudgets, request.service, retryLimits(m_context), steadyNow())) {
        return nullptr;
    }
    m_context.metrics.count("hedges_total");
    m_context.log(log_line("outbound", "copy-sent")
                      .add("id", request.id)
                      .add("route", request.route->name)
                      .add("first", first.nodeId)
                      .add("second", *choice.nodeId)
                      .add("after_ms", msBetween(first.sentAt, steadyNow()))
                      .add("expected_wait_ms", choice.expectedWaitMs)
                      .add("expected_run_ms", choice.expectedRunMs));
    shared_attempt hedge = makeAttempt(request, choice);
    hedge->message.repeatShare = 1.0;
    return hedge;
}

void outbound_handler::startAttempt(const shared_attempt &attempt, const std::shared_ptr<async_event> &changed)
{
    net::co_spawn(
        m_context.executor,
        [this, attempt, changed]() -> awaitable<void> {
            attempt->reply = co_await sendAttempt(*attempt);
            changed->notify();
        },
        net::detached);
}

// Cancels an attempt after another one got the final reply, and records how slow its worker was.
void outbound_handler::cancelSlower(request_context &request, const shared_attempt &attempt)
{
    if (attempt->reply) {
        recordAttemptEnd(request, *attempt);
        request.workersTried += attempt->reply->kind == reply_kind::NotRun ? 0 : 1;
        return;
    }
    const time_point now = steadyNow();
    attempt->cancellation->cancel();
    request.mayHaveRun = true;
    recordRunTimeLowerBound(m_context.placement,
                            request.service,
                            attempt->nodeId,
                            request.route->name,
                            msBetween(attempt->sentAt, now),
                            now);
    ++request.workersTried;
    request.attemptHistory += (request.attemptHistory.empty() ? "" : ",") + attempt->nodeId + ":slower";
}

} // namespace pistachioquay::internal
