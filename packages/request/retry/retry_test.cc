// Guards against doubled runs of non-idempotent requests, false `not-run`, and retries that multiply load.
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

bool mayReachWorker(attempt_progress progress)
{
    return progress != attempt_progress::NoConnection && progress != attempt_progress::NotRun;
}

retry_context factsOf(std::uint32_t word)
{
    return {(word & 1U) != 0,
            word / 2U % 5U,
            word / 16U % 3U,
            (word & 512U) == 0,
            (word & 1024U) != 0,
            (word & 2048U) != 0,
            start + milliseconds(word / 4096U % 2000U)};
}

retry_context easyFacts()
{
    return {true, 2, 0, true, false, false, start + seconds(1)};
}

retry_verdict verdictAfter(const retry_context &facts, const std::vector<attempt_progress> &tries)
{
    retry_budget budget;
    attempt_history history;
    random_generator generator(1);
    retry_decision decision;
    for (const attempt_progress each : tries) {
        recordAttempt(history, each);
        decision = decideRetry(facts, history, budget, start, generator);
    }
    return decision.verdict;
}

} // namespace

TEST_CASE("no request is sent again in a way that may double, multiply or falsely deny a run")
{
    CHECK(holds("retries", 5000, [](std::uint32_t word, const std::vector<std::uint32_t> &words) {
        const retry_context facts = factsOf(word);
        retry_budget budget;
        attempt_history history;
        random_generator generator(word);
        bool mayHaveRun = false;
        for (const std::uint32_t each : words) {
            const auto progress = static_cast<attempt_progress>(each % progressCount);
            mayHaveRun = mayHaveRun || mayReachWorker(progress);
            recordAttempt(history, progress);
            const retry_decision decision = decideRetry(facts, history, budget, start, generator);
            RC_ASSERT(history.mayHaveRun == mayHaveRun);
            RC_ASSERT((decision.verdict == retry_verdict::Retry) == (decision.reason == give_up_reason::None));
            if (decision.verdict == retry_verdict::GiveUp) {
                break;
            }
            RC_ASSERT(facts.isIdempotent || !mayHaveRun);
            RC_ASSERT(!facts.isResponseStarted);
            RC_ASSERT(facts.isBodyReplayable);
            RC_ASSERT(facts.inheritedAttempts == 0U || !mayReachWorker(progress));
            RC_ASSERT(history.budgetedRetries <= facts.retries);
            RC_ASSERT(history.tries < maxUnrunTries + facts.retries + 1);
            RC_ASSERT(decision.delay < timeLeft(facts.deadline, start));
        }
    }));
}

TEST_CASE("retries and hedges of a service stay within a tenth of its recent calls plus the floor")
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
            while (takeRetry(budget, now)) {
                retries.push_back(now);
                // Buckets are whole seconds: they hold at least the last 9 s of retries and at most 10 s of calls.
                RC_ASSERT(recent(retries, seconds(9)) <= recent(calls, seconds(10)) / 10 + budgetFloor);
            }
        }
    }));
}

TEST_CASE("a refusal that is known to be not run is tried elsewhere, whatever the policy")
{
    retry_context facts = easyFacts();
    facts.isIdempotent = false;
    facts.retries = 0;
    facts.inheritedAttempts = 1;
    CHECK(verdictAfter(facts, {attempt_progress::NotRun}) == retry_verdict::Retry);
    CHECK(verdictAfter(facts, {attempt_progress::NoConnection}) == retry_verdict::Retry);
    CHECK(verdictAfter(facts, {attempt_progress::SentNoResponse}) == retry_verdict::GiveUp);
    CHECK(verdictAfter(facts, {attempt_progress::Unknown, attempt_progress::NotRun}) == retry_verdict::GiveUp);
}

TEST_CASE("an idempotent request is retried as often as the policy says")
{
    CHECK(verdictAfter(easyFacts(), {attempt_progress::SentNoResponse}) == retry_verdict::Retry);
    CHECK(verdictAfter(easyFacts(), {attempt_progress::Unknown, attempt_progress::Unknown}) == retry_verdict::Retry);
    CHECK(verdictAfter(easyFacts(), {attempt_progress::Unknown, attempt_progress::Unknown, attempt_progress::Unknown})
          == retry_verdict::GiveUp);
    CHECK(verdictAfter(easyFacts(), {attempt_progress::WorkerUnavailable}) == retry_verdict::Retry);
    CHECK(verdictAfter(easyFacts(), {attempt_progress::WorkerResponse}) == retry_verdict::GiveUp);
}

TEST_CASE("time left shrinks at each hop, and depth is bounded")
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

TEST_CASE("a hedge needs a policy, an idempotent request, a budget and spare slots")
{
    const hedge_facts good{milliseconds(50), true, true, false, false, 0, 0, start + seconds(1)};
    CHECK(hedgeAt(good, start) == start + milliseconds(50));
    const auto without = [&](auto change) {
        hedge_facts facts = good;
        change(facts);
        retry_budget budget;
        return mayHedge(facts, budget, start + milliseconds(50));
    };
    CHECK(without([](hedge_facts &) {}));
    CHECK_FALSE(without([](hedge_facts &facts) {
        facts.hedgeAfter = milliseconds(0);
    }));
    CHECK_FALSE(without([](hedge_facts &facts) {
        facts.isIdempotent = false;
    }));
    CHECK_FALSE(without([](hedge_facts &facts) {
        facts.isSuspect = true;
    }));
    CHECK_FALSE(without([](hedge_facts &facts) {
        facts.isSaturated = true;
    }));
    CHECK_FALSE(without([](hedge_facts &facts) {
        facts.inheritedAttempts = 1;
    }));
    retry_budget spent;
    while (takeRetry(spent, start)) {
    }
    CHECK_FALSE(mayHedge(good, spent, start));
}

TEST_CASE("exactly one copy of a hedged request is passed on, and the other is cancelled")
{
    CHECK(holds("race", 2000, [](const std::vector<std::uint8_t> &words) {
        hedge_race race;
        startSecond(race);
        unsigned passedOn = 0;
        unsigned cancelled = 0;
        unsigned failed = 0;
        for (const std::uint8_t word : words) {
            const auto copy = (word & 1U) != 0 ? race_copy::First : race_copy::Second;
            const race_action action = (word & 2U) != 0 ? copyResponded(race, copy) : copyFailed(race, copy);
            RC_ASSERT(action.cancel != copy);
            passedOn += action.passOn ? 1U : 0U;
            cancelled += action.cancel ? 1U : 0U;
            failed += action.hasFailed ? 1U : 0U;
        }
        RC_ASSERT(passedOn + failed <= 1U);
        RC_ASSERT(cancelled <= passedOn);
        RC_ASSERT(race.isFirstOpen || race.isSecondOpen || passedOn + failed == 1U);
    }));
}
