// Guards against retries that multiply the load of an overloaded service, and retries of requests that may have run and
// must not run twice.
#include <catch2/catch.hpp>

#include <functional>
#include <random>

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
