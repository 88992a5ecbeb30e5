// Guards against non-idempotent requests that are executed twice, requests reported as `not-run` although they may have
// run, and retries that multiply load.
#include <catch2/catch.hpp>

#include <vector>

#include "request/retry/deadline.h"
#include "request/retry/hedge.h"
#include "request/retry/retry.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};

constexpr std::uint32_t progressCount = 7;

bool mayHaveReachedWorker(attempt_progress progress)
{
    return progress != attempt_progress::NoConnection && progress != attempt_progress::NotRun;
}

retry_context decodeContext(std::uint32_t word)
{
    return {(word & 1U) != 0,
            word / 2U % 5U,
            word / 16U % 3U,
            (word & 512U) == 0,
            (word & 1024U) != 0,
            (word & 2048U) != 0,
            start + milliseconds(word / 4096U % 2000U)};
}

retry_context retryableContext()
{
    return {true, 2, 0, true, false, false, start + seconds(1)};
}

retry_verdict verdictAfterAttempts(const retry_context &context, const std::vector<attempt_progress> &attempts)
{
    retry_budget budget;
    attempt_history history;
    random_generator generator(1);
    retry_decision decision;
    for (const attempt_progress progress : attempts) {
        recordAttempt(history, progress);
        decision = decideRetry(context, history, budget, start, generator);
    }
    return decision.verdict;
}

} // namespace

TEST_CASE(
    "retries never execute a non-idempotent request twice, exceed their limits or hide that a request may have run")
{
    CHECK(holds("retries", 5000, [](std::uint32_t word, const std::vector<std::uint32_t> &words) {
        const retry_context context = decodeContext(word);
        retry_budget budget;
        attempt_history history;
        random_generator generator(word);
        bool mayHaveRun = false;
        for (const std::uint32_t each : words) {
            const auto progress = static_cast<attempt_progress>(each % progressCount);
            mayHaveRun = mayHaveRun || mayHaveReachedWorker(progress);
            recordAttempt(history, progress);
            const retry_decision decision = decideRetry(context, history, budget, start, generator);
            RC_ASSERT(history.mayHaveRun == mayHaveRun);
            RC_ASSERT((decision.verdict == retry_verdict::Retry) == (decision.reason == give_up_reason::None));
            if (decision.verdict == retry_verdict::GiveUp) {
                break;
            }
            RC_ASSERT(context.isIdempotent || !mayHaveRun);
            RC_ASSERT(!context.isResponseStarted);
            RC_ASSERT(context.isBodyReplayable);
            RC_ASSERT(context.inheritedAttempts == 0U || !mayHaveReachedWorker(progress));
            RC_ASSERT(history.budgetedRetries <= context.retries);
            RC_ASSERT(history.attempts < maxUnexecutedAttempts + context.retries + 1);
            RC_ASSERT(decision.delay < timeLeft(context.deadline, start));
        }
    }));
}

TEST_CASE("retries and hedges of a service stay within 10% of its recent requests plus the floor")
{
    CHECK(holds("budget", 3000, [](const std::vector<std::uint32_t> &words) {
        retry_budget budget;
        std::vector<time_point> calls;
        std::vector<time_point> retries;
        time_point now = start;
        for (const std::uint32_t word : words) {
            now += milliseconds((word >> 4U) % 700U);
            for (std::uint32_t each = 0; each < word % 16U; ++each) {
                countRequest(budget, now);
                calls.push_back(now);
            }
            const auto recent = [&](const std::vector<time_point> &times, duration window) {
                return std::ranges::count_if(times, [&](time_point each) {
                    return each > now - window;
                });
            };
            while (tryAcquireRetry(budget, now)) {
                retries.push_back(now);
                // A bucket covers a whole second, so the 10 buckets cover between 9 s and 10 s: at least the retries of
                // the last 9 s and at most the requests of the last 10 s.
                RC_ASSERT(recent(retries, seconds(9)) <= recent(calls, seconds(10)) / 10 + budgetFloor);
            }
        }
    }));
}

TEST_CASE("a request that no worker has run is retried even if the policy allows no retries and it is not idempotent")
{
    retry_context context = retryableContext();
    context.isIdempotent = false;
    context.retries = 0;
    context.inheritedAttempts = 1;
    CHECK(verdictAfterAttempts(context, {attempt_progress::NotRun}) == retry_verdict::Retry);
    CHECK(verdictAfterAttempts(context, {attempt_progress::NoConnection}) == retry_verdict::Retry);
    CHECK(verdictAfterAttempts(context, {attempt_progress::SentNoResponse}) == retry_verdict::GiveUp);
    CHECK(verdictAfterAttempts(context, {attempt_progress::Unknown, attempt_progress::NotRun})
          == retry_verdict::GiveUp);
}

TEST_CASE("an idempotent request is retried up to the policy's number of retries, unless a worker responds")
{
    CHECK(verdictAfterAttempts(retryableContext(), {attempt_progress::SentNoResponse}) == retry_verdict::Retry);
    CHECK(verdictAfterAttempts(retryableContext(), {attempt_progress::Unknown, attempt_progress::Unknown})
          == retry_verdict::Retry);
    CHECK(verdictAfterAttempts(retryableContext(),
                               {attempt_progress::Unknown, attempt_progress::Unknown, attempt_progress::Unknown})
          == retry_verdict::GiveUp);
    CHECK(verdictAfterAttempts(retryableContext(), {attempt_progress::WorkerUnavailable}) == retry_verdict::Retry);
    CHECK(verdictAfterAttempts(retryableContext(), {attempt_progress::WorkerResponse}) == retry_verdict::GiveUp);
}

TEST_CASE("each hop gets less time than the one before, and a request too deep or too late is not forwarded")
{
    const time_point deadline = deadlineAfter(start, milliseconds(100), milliseconds(800));
    CHECK(timeLeft(deadline, start) == milliseconds(100));
    CHECK(timeForNextHop(deadline, start + milliseconds(10)) == milliseconds(88));
    CHECK(timeForNextHop(deadline, start + milliseconds(500)) == milliseconds(0));
    CHECK(deadlineAfter(start, std::nullopt, milliseconds(800)) == start + milliseconds(800));
    CHECK(deadlineAfter(start, milliseconds(-5), milliseconds(800)) == start);
    CHECK(checkHop(deadline, 16, start) == hop_refusal::None);
    CHECK(checkHop(deadline, 17, start) == hop_refusal::TooDeep);
    CHECK(checkHop(deadline, 1, start + milliseconds(96)) == hop_refusal::TooLittleTime);
}

TEST_CASE(
    "a request is hedged only with a policy, budget and free slots, if it is idempotent, not retried and not suspect")
{
    const hedge_context hedgeable{milliseconds(50), true, true, false, false, 0, 0, start + seconds(1)};
    CHECK(hedgeAt(hedgeable, start) == start + milliseconds(50));
    const auto mayHedgeAfter = [&](auto change) {
        hedge_context context = hedgeable;
        change(context);
        retry_budget budget;
        return mayHedge(context, budget, start + milliseconds(50));
    };
    CHECK(mayHedgeAfter([](hedge_context &) {}));
    CHECK_FALSE(mayHedgeAfter([](hedge_context &context) {
        context.hedgeAfter = milliseconds(0);
    }));
    CHECK_FALSE(mayHedgeAfter([](hedge_context &context) {
        context.isIdempotent = false;
    }));
    CHECK_FALSE(mayHedgeAfter([](hedge_context &context) {
        context.isSuspect = true;
    }));
    CHECK_FALSE(mayHedgeAfter([](hedge_context &context) {
        context.isSaturated = true;
    }));
    CHECK_FALSE(mayHedgeAfter([](hedge_context &context) {
        context.inheritedAttempts = 1;
    }));
    retry_budget exhausted;
    while (tryAcquireRetry(exhausted, start)) {
    }
    CHECK_FALSE(mayHedge(hedgeable, exhausted, start));
}

TEST_CASE("at most one response of a hedged request is forwarded, and the other attempt is cancelled")
{
    CHECK(holds("hedged request", 2000, [](const std::vector<std::uint8_t> &words) {
        hedged_request request;
        recordHedgeSent(request);
        unsigned forwarded = 0;
        unsigned cancelled = 0;
        unsigned failed = 0;
        for (const std::uint8_t word : words) {
            const auto attempt = (word & 1U) != 0 ? hedged_attempt::Original : hedged_attempt::Hedge;
            const hedge_action action =
                (word & 2U) != 0 ? recordAttemptResponse(request, attempt) : recordAttemptFailure(request, attempt);
            RC_ASSERT(action.cancel != attempt);
            forwarded += action.forwardResponse ? 1U : 0U;
            cancelled += action.cancel ? 1U : 0U;
            failed += action.hasNoAttemptLeft ? 1U : 0U;
        }
        RC_ASSERT(forwarded + failed <= 1U);
        RC_ASSERT(cancelled <= forwarded);
        RC_ASSERT(request.isOriginalOpen || request.isHedgeOpen || forwarded + failed == 1U);
    }));
}
