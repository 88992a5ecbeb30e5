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

bool wasNotRun(attempt_progress progress)
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

// Reasons that hold whatever the budget says.
give_up_reason ruledOut(const retry_context &facts, const attempt_history &history, time_point now)
{
    if (history.last == attempt_progress::WorkerResponse) {
        return give_up_reason::IsResponse;
    }
    if (facts.isResponseStarted) {
        return give_up_reason::ResponseStarted;
    }
    if (!facts.isBodyReplayable) {
        return give_up_reason::BodyGone;
    }
    if (history.mayHaveRun && !facts.isIdempotent) {
        return give_up_reason::NotIdempotent;
    }
    return timeLeft(facts.deadline, now) < leastTimeForRetry ? give_up_reason::TooLittleTime : give_up_reason::None;
}

// Reasons for a try whose last failure may have cost a worker some work.
give_up_reason ruledOutAfterRun(const retry_context &facts, const attempt_history &history)
{
    if (facts.inheritedAttempts > 0) {
        return give_up_reason::RetriedAbove;
    }
    return history.budgetedRetries >= facts.retries ? give_up_reason::RetriesUsed : give_up_reason::None;
}

retry_decision giveUp(give_up_reason reason)
{
    return {retry_verdict::GiveUp, reason, milliseconds(0)};
}

milliseconds
retryDelay(const retry_context &facts, const attempt_history &history, time_point now, random_generator &generator)
{
    constexpr int shareOfTimeLeft = 4;
    const milliseconds cap = std::min(retryDelayCap, timeLeft(facts.deadline, now) / shareOfTimeLeft);
    return fullJitter(retryDelayBase, cap, history.tries - 1, generator);
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

bool takeRetry(retry_budget &budget, time_point now)
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
    ++history.tries;
    history.last = progress;
    history.mayHaveRun = history.mayHaveRun || !wasNotRun(progress);
}

std::uint32_t attemptHeader(const retry_context &facts, const attempt_history &history)
{
    return facts.inheritedAttempts + history.budgetedRetries;
}

retry_decision decideRetry(const retry_context &facts,
                           attempt_history &history,
                           retry_budget &budget,
                           time_point now,
                           random_generator &generator)
{
    const give_up_reason always = ruledOut(facts, history, now);
    if (always != give_up_reason::None) {
        return giveUp(always);
    }
    if (wasNotRun(history.last)) {
        const std::uint32_t allowed = facts.isSaturated ? maxUnrunTriesSaturated : maxUnrunTries;
        const bool isFirst = history.tries == 1;
        if (history.tries >= allowed) {
            return giveUp(give_up_reason::RetriesUsed);
        }
        return {retry_verdict::Retry,
                give_up_reason::None,
                isFirst ? milliseconds(0) : retryDelay(facts, history, now, generator)};
    }
    const give_up_reason afterRun = ruledOutAfterRun(facts, history);
    if (afterRun != give_up_reason::None) {
        return giveUp(afterRun);
    }
    if (!takeRetry(budget, now)) {
        return giveUp(give_up_reason::NoBudget);
    }
    ++history.budgetedRetries;
    return {retry_verdict::Retry, give_up_reason::None, retryDelay(facts, history, now, generator)};
}

} // namespace pistachioquay
