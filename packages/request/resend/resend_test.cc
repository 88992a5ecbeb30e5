// Guards against retries that multiply the load of an overloaded service, and retries of requests that may have run and
// must not run twice.
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

#include "base/random.h"
#include "request/resend/resend.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock

retry_budget_limits limitsOf(std::uint32_t nodes)
{
    return {0.2, milliseconds(10000), 64, nodes};
}

} // namespace

TEST_CASE("the retries of all nodes together stay within the limit of the service")
{
    constexpr std::uint32_t nodes = 12;
    constexpr unsigned requestsPerNode = 200;
    const retry_budget_limits limits = limitsOf(nodes);
    unsigned retries = 0;
    for (std::uint32_t node = 0; node < nodes; ++node) {
        service_retry_budgets budgets;
        for (unsigned index = 0; index < requestsPerNode; ++index) {
            const time_point now = start + milliseconds(index * 20);
            countRequest(budgets, "orders", limits, now);
            retries += tryAcquireServiceRetry(budgets, "orders", limits, now) ? 1U : 0U;
        }
    }
    CHECK(retries <= 0.2 * nodes * requestsPerNode + 64);
    CHECK(retries >= 0.1 * nodes * requestsPerNode);
}

namespace {

using event_times = std::vector<time_point>;

// Requests and retries of one service, as its workers see them.
struct service_events
{
    event_times requests;
    event_times retries;
};

std::ptrdiff_t countBetween(const event_times &events, time_point after, time_point until)
{
    return std::ranges::upper_bound(events, until) - std::ranges::upper_bound(events, after);
}

// Returns by how many retries the busiest window exceeds the limit. The requests that count are those of the window, of
// the one before it or of the one half a window before it, whichever has most.
double largestExcess(const service_events &events, const retry_budget_limits &limits)
{
    double largest = 0;
    for (const time_point until : events.retries) {
        const auto countRequestsUntil = [&](time_point end) {
            return countBetween(events.requests, end - limits.window, end);
        };
        const auto requests = std::max({countRequestsUntil(until),
                                        countRequestsUntil(until - limits.window / 2),
                                        countRequestsUntil(until - limits.window)});
        const auto retries = countBetween(events.retries, until - limits.window, until);
        const double allowed = limits.ratio * static_cast<double>(requests) + limits.fixedRetries;
        largest = std::max(largest, static_cast<double>(retries) - allowed);
    }
    return largest;
}

// How the nodes of `simulateOutage` count.
struct budget_policy
{
    bool isFixedPartDelayed = true; // a process that starts gets no fixed part for a window
    bool areCausedRetriesCounted = true;
};

// Simulates 30 s of ten nodes whose workers reject most requests. Each run of the service `front` makes two calls to
// the service `back`, a repeated one as well; four nodes stand beside the workers of `front`, and one of them runs most
// repeats. Nodes are killed at random. Returns the larger excess of both services.
double simulateOutage(unsigned seed, const budget_policy &policy)
{
    constexpr std::uint32_t nodes = 10;
    constexpr std::uint32_t frontNodes = 4;
    constexpr milliseconds step{10};
    constexpr milliseconds length{30000};
    const retry_budget_limits limits = limitsOf(nodes);
    random_generator generator(seed);
    std::bernoulli_distribution isKilled(0.002);
    std::bernoulli_distribution arrives(0.4);
    std::bernoulli_distribution isRejected(0.6);
    std::bernoulli_distribution runsAtBusiestNode(0.7);
    std::uniform_int_distribution<std::uint32_t> drawFrontNode(0, frontNodes - 1);
    std::vector<service_retry_budgets> budgets(nodes);
    service_events front;
    service_events back;
    const auto callBack = [&](std::uint32_t node, bool isRepeat, time_point now) {
        countRequest(budgets[node], "back", limits, now);
        back.requests.push_back(now);
        if (isRepeat) {
            back.retries.push_back(now);
            if (policy.areCausedRetriesCounted) {
                recordCausedRetries(budgets[node], "back", limits, 1.0, now);
            }
        }
        while (isRejected(generator) && tryAcquireServiceRetry(budgets[node], "back", limits, now)) {
            back.retries.push_back(now);
        }
    };
    const auto runFront = [&](std::uint32_t node, bool isRepeat, time_point now) {
        if (isRepeat && policy.areCausedRetriesCounted && isOverdrawn(budgets[node], limits, now)) {
            return;
        }
        if (isRepeat) {
            front.retries.push_back(now);
        }
        callBack(node, isRepeat, now);
        callBack(node, isRepeat, now);
    };
    for (time_point now = start; now < start + length; now += step) {
        for (std::uint32_t node = 0; node < nodes; ++node) {
            if (isKilled(generator)) {
                budgets[node] = {};
                budgets[node].fixedRetriesFrom = policy.isFixedPartDelayed ? now + limits.window : time_point::min();
            }
            if (!arrives(generator)) {
                continue;
            }
            countRequest(budgets[node], "front", limits, now);
            front.requests.push_back(now);
            runFront(drawFrontNode(generator), false, now);
            while (isRejected(generator) && tryAcquireServiceRetry(budgets[node], "front", limits, now)) {
                runFront(runsAtBusiestNode(generator) ? 0 : drawFrontNode(generator), true, now);
            }
        }
    }
    return std::max(largestExcess(front, limits), largestExcess(back, limits));
}

} // namespace

TEST_CASE("the limit holds in every window although nodes are killed and repeats cause further repeats")
{
    const unsigned seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    CHECK(simulateOutage(seed, {}) <= 0);
    CHECK(simulateOutage(seed, {.areCausedRetriesCounted = false}) > 0);
}

TEST_CASE("a process that starts may use its part of the fixed retries only after a window")
{
    const retry_budget_limits limits = limitsOf(1);
    service_retry_budgets budgets;
    budgets.fixedRetriesFrom = start + limits.window;
    CHECK_FALSE(tryAcquireServiceRetry(budgets, "orders", limits, start));
    CHECK(tryAcquireServiceRetry(budgets, "orders", limits, start + limits.window));
}

TEST_CASE("retries count until they are older than a window")
{
    retry_budget_limits limits = limitsOf(1);
    limits.ratio = 0;
    service_retry_budgets budgets;
    const time_point last = start + milliseconds(499); // late in its bucket
    while (tryAcquireServiceRetry(budgets, "orders", limits, last)) {
    }
    CHECK_FALSE(tryAcquireServiceRetry(budgets, "orders", limits, last + limits.window - milliseconds(1)));
    CHECK(tryAcquireServiceRetry(budgets, "orders", limits, last + limits.window + milliseconds(500)));
}

TEST_CASE("a node is overdrawn while the repeats that its worker causes exceed its allowance")
{
    const retry_budget_limits limits = limitsOf(1);
    service_retry_budgets budgets;
    CHECK_FALSE(isOverdrawn(budgets, limits, start));
    recordCausedRetries(budgets, "orders", limits, 64, start);
    CHECK_FALSE(isOverdrawn(budgets, limits, start));
    recordCausedRetries(budgets, "orders", limits, 0.5, start);
    CHECK(isOverdrawn(budgets, limits, start));
    CHECK_FALSE(tryAcquireServiceRetry(budgets, "orders", limits, start));
    CHECK_FALSE(isOverdrawn(budgets, limits, start + limits.window + milliseconds(501)));
}

TEST_CASE("the budget counts only the requests of the last window")
{
    const retry_budget_limits limits = limitsOf(64);
    service_retry_budgets budgets;
    countRequest(budgets, "orders", limits, start);
    CHECK_FALSE(tryAcquireServiceRetry(budgets, "orders", limits, start));
    for (int index = 0; index < 10; ++index) {
        countRequest(budgets, "orders", limits, start);
    }
    CHECK(tryAcquireServiceRetry(budgets, "orders", limits, start));
    CHECK_FALSE(tryAcquireServiceRetry(budgets, "orders", limits, start + seconds(11)));
}

TEST_CASE("each service has its own retry budget")
{
    const retry_budget_limits limits = limitsOf(1);
    service_retry_budgets budgets;
    while (tryAcquireServiceRetry(budgets, "orders", limits, start)) {
    }
    CHECK(tryAcquireServiceRetry(budgets, "designs", limits, start));
}

TEST_CASE("a request that is not retryable is retried only if it has not run")
{
    failed_attempt attempt;
    attempt.maxWorkers = 3;
    attempt.workersTried = 1;
    attempt.timeLeft = seconds(1);
    attempt.end = attempt_outcome::Unknown;
    CHECK_FALSE(mayRetryElsewhere(attempt));
    attempt.end = attempt_outcome::FailedResponse;
    CHECK_FALSE(mayRetryElsewhere(attempt));
    attempt.end = attempt_outcome::RejectedByWorker;
    CHECK(mayRetryElsewhere(attempt));
    attempt.end = attempt_outcome::NotRun;
    CHECK(mayRetryElsewhere(attempt));
}

// A refused connect of a second attempt turned "the answer was lost" into "not run".
TEST_CASE("a later refusal does not hide that a request may have run")
{
    using enum attempt_outcome;
    CHECK(combineOutcomes(Unknown, NotRun) == Unknown);
    CHECK(combineOutcomes(Unknown, RejectedByWorker) == Unknown);
    CHECK(combineOutcomes(FailedResponse, NotRun) == Unknown);
    CHECK(combineOutcomes(NotRun, NotRun) == NotRun);
    CHECK(combineOutcomes(RejectedByWorker, NotRun) == NotRun);
    CHECK(combineOutcomes(Unknown, FailedResponse) == FailedResponse);
    CHECK(combineOutcomes(NotRun, Unknown) == Unknown);
}

TEST_CASE("a request goes once more to the same worker only on a connection that may have been closed before it")
{
    CHECK(mayRepeatOnWorker({true, true, true}));
    CHECK_FALSE(mayRepeatOnWorker({false, true, true}));
    CHECK_FALSE(mayRepeatOnWorker({true, false, true}));
    CHECK_FALSE(mayRepeatOnWorker({true, true, false}));
}

TEST_CASE("retries are limited by the maximum number of workers of the route and by the time left")
{
    failed_attempt attempt;
    attempt.isRetryable = true;
    attempt.end = attempt_outcome::Unknown;
    attempt.timeLeft = milliseconds(100);
    attempt.expectedRun = milliseconds(50);
    attempt.workersTried = 1;
    attempt.maxWorkers = 2;
    CHECK(mayRetryElsewhere(attempt));
    attempt.workersTried = 2;
    CHECK_FALSE(mayRetryElsewhere(attempt));
    attempt.workersTried = 1;
    attempt.expectedRun = milliseconds(100);
    CHECK_FALSE(mayRetryElsewhere(attempt));
}

TEST_CASE("hedges leave a part of the budget for retries of failed requests")
{
    const retry_budget_limits limits = limitsOf(1);
    service_retry_budgets budgets;
    for (int index = 0; index < 100; ++index) {
        countRequest(budgets, "orders", limits, start);
    }
    unsigned hedges = 0;
    while (tryAcquireServiceHedge(budgets, "orders", limits, start)) {
        ++hedges;
    }
    unsigned retries = 0;
    while (tryAcquireServiceRetry(budgets, "orders", limits, start)) {
        ++retries;
    }
    CHECK(hedges > 0);
    CHECK(retries >= hedges - 1);
    CHECK(hedges + retries <= 0.2 * 100 + 64);
}

namespace {

// Simulates callers with a target of 400 ms that retry up to twice after a rejection. Every worker rejects 55% of the
// requests and runs the others for 80 ms. Returns the share of callers that are served within their target.
double simulateRejections(const std::function<milliseconds(double)> &retryAfter)
{
    constexpr unsigned callers = 10'000;
    constexpr unsigned maxAttempts = 3;
    constexpr double targetMs = 400;
    constexpr double runMs = 80;
    random_generator generator(3);
    std::bernoulli_distribution isRejected(0.55);
    std::uniform_real_distribution<double> draw(0, 1);
    unsigned onTime = 0;
    for (unsigned caller = 0; caller < callers; ++caller) {
        double atMs = 0;
        bool isServed = false;
        for (unsigned attempt = 0; attempt < maxAttempts && !isServed; ++attempt) {
            isServed = !isRejected(generator);
            atMs += isServed ? runMs : static_cast<double>(retryAfter(draw(generator)).count());
        }
        onTime += isServed && atMs <= targetMs ? 1 : 0;
    }
    return static_cast<double>(onTime) / callers;
}

} // namespace

TEST_CASE("Retry-After lets callers succeed within their target when workers reject at random")
{
    const double withFixedDelay = simulateRejections([](double) {
        return milliseconds(300);
    });
    const double withShortDelay = simulateRejections([](double draw) {
        return rejectionRetryAfter(80, draw);
    });
    INFO("served on time: " << withShortDelay << ", with a fixed delay of 300 ms: " << withFixedDelay);
    CHECK(withShortDelay > 0.8);
    CHECK(withShortDelay > withFixedDelay);
    CHECK(rejectionRetryAfter(0, 0) == minRejectionRetryAfter);
    CHECK(rejectionRetryAfter(80, 0) != rejectionRetryAfter(80, 1));
}
