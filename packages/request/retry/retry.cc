#include "request/retry/retry.h"

#include <algorithm>
#include <string_view>

#include "request/retry/deadline.h"

namespace pistachioquay {

namespace {

constexpr std::array<std::string_view, 9> giveUpNames = {
    "none",
    "is-response",
    "response-started",
    "body-gone",
    "not-idempotent",
    "retries-used",
    "retried-above",
    "too-little-time",
    "no-budget",
};

bool wasNotExecuted(attempt_progress progress)
{
    return progress == attempt_progress::NoConnection || progress == attempt_progress::NotRun;
}

std::int64_t secondOf(time_point now)
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

retry_budget::bucket &currentBucket(retry_budget &budget, time_point now)
{
    const std::int64_t second = secondOf(now);
    retry_budget::bucket &bucket = budget.buckets.at(static_cast<std::size_t>(second) % budgetBuckets);
    if (bucket.second != second) {
        bucket = {second, 0, 0};
    }
    return bucket;
}

// Returns the reason not to retry that applies to every failed attempt, whether or not it used the budget.
give_up_reason reasonNotToRetry(const retry_context &context, const attempt_history &history, time_point now)
{
    if (history.last == attempt_progress::WorkerResponse) {
        return give_up_reason::WorkerResponded;
    }
    if (context.isResponseStarted) {
        return give_up_reason::ResponseStarted;
    }
    if (!context.isBodyReplayable) {
        return give_up_reason::BodyDiscarded;
    }
    if (history.mayHaveRun && !context.isIdempotent) {
        return give_up_reason::NotIdempotent;
    }
    return timeLeft(context.deadline, now) < minTimeForRetry ? give_up_reason::TooLittleTime : give_up_reason::None;
}

// Returns the reason not to retry after an attempt that a worker may have executed.
give_up_reason reasonNotToRetryExecuted(const retry_context &context, const attempt_history &history)
{
    if (context.inheritedAttempts > 0) {
        return give_up_reason::RetriedByEarlierNode;
    }
    return history.budgetedRetries >= context.retries ? give_up_reason::RetriesUsed : give_up_reason::None;
}

retry_decision giveUp(give_up_reason reason)
{
    return {retry_verdict::GiveUp, reason, milliseconds(0)};
}

milliseconds
retryDelay(const retry_context &context, const attempt_history &history, time_point now, random_generator &generator)
{
    constexpr int timeLeftDivisor = 4; // a delay takes at most a quarter of the time left
    const milliseconds maxDelay = std::min(retryDelayCap, timeLeft(context.deadline, now) / timeLeftDivisor);
    return fullJitter(retryDelayBase, maxDelay, history.attempts - 1, generator);
}

} // namespace

std::string_view giveUpName(give_up_reason reason)
{
    return giveUpNames.at(static_cast<std::size_t>(reason));
}

void countRequest(retry_budget &budget, time_point now)
{
    ++currentBucket(budget, now).calls;
}

bool tryAcquireRetry(retry_budget &budget, time_point now)
{
    retry_budget::bucket &current = currentBucket(budget, now);
    const std::int64_t oldest = current.second - static_cast<std::int64_t>(budgetBuckets) + 1;
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    for (const retry_budget::bucket &bucket : budget.buckets) {
        if (bucket.second >= oldest) {
            calls += bucket.calls;
            retries += bucket.retries;
        }
    }
    if (retries >= calls * budgetPercent / 100 + budgetFloor) {
        return false;
    }
    ++current.retries;
    return true;
}

void recordAttempt(attempt_history &history, attempt_progress progress)
{
    ++history.attempts;
    history.last = progress;
    history.mayHaveRun = history.mayHaveRun || !wasNotExecuted(progress);
}

std::uint32_t attemptHeader(const retry_context &context, const attempt_history &history)
{
    return context.inheritedAttempts + history.budgetedRetries;
}

retry_decision decideRetry(const retry_context &context,
                           attempt_history &history,
                           retry_budget &budget,
                           time_point now,
                           random_generator &generator)
{
    const give_up_reason reason = reasonNotToRetry(context, history, now);
    if (reason != give_up_reason::None) {
        return giveUp(reason);
    }
    if (wasNotExecuted(history.last)) {
        const std::uint32_t maxAttempts = context.isSaturated ? maxUnexecutedAttemptsSaturated : maxUnexecutedAttempts;
        const bool isFirstRetry = history.attempts == 1;
        if (history.attempts >= maxAttempts) {
            return giveUp(give_up_reason::RetriesUsed);
        }
        return {retry_verdict::Retry,
                give_up_reason::None,
                isFirstRetry ? milliseconds(0) : retryDelay(context, history, now, generator)};
    }
    const give_up_reason executedReason = reasonNotToRetryExecuted(context, history);
    if (executedReason != give_up_reason::None) {
        return giveUp(executedReason);
    }
    if (!tryAcquireRetry(budget, now)) {
        return giveUp(give_up_reason::NoBudget);
    }
    ++history.budgetedRetries;
    return {retry_verdict::Retry, give_up_reason::None, retryDelay(context, history, now, generator)};
}

} // namespace pistachioquay
