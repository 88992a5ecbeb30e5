// Guards against repeats that multiply load, and repeats of requests that may have run.
#include <catch2/catch.hpp>

#include <functional>
#include <random>

#include "base/random.h"
#include "request/resend/resend.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero

retry_budget_limits limitsOf(std::uint32_t nodes)
{
    return {0.2, milliseconds(10000), 64, nodes};
}

} // namespace

TEST_CASE("all nodes together stay within the budget in every window")
{
    constexpr std::uint32_t nodes = 12;
    constexpr unsigned requestsPerNode = 200;
    const retry_budget_limits limits = limitsOf(nodes);
    unsigned resends = 0;
    for (std::uint32_t node = 0; node < nodes; ++node) {
        service_retry_budgets budget;
        for (unsigned index = 0; index < requestsPerNode; ++index) {
            const time_point now = start + milliseconds(index * 20);
            countRequest(budget, "orders", limits, now);
            resends += tryAcquireServiceRetry(budget, "orders", limits, now) ? 1U : 0U;
        }
    }
    CHECK(resends <= 0.2 * nodes * requestsPerNode + 64);
    CHECK(resends >= 0.1 * nodes * requestsPerNode);
}

TEST_CASE("a budget fills again when the window has passed")
{
    const retry_budget_limits limits = limitsOf(64);
    service_retry_budgets budget;
    countRequest(budget, "orders", limits, start);
    CHECK_FALSE(tryAcquireServiceRetry(budget, "orders", limits, start));
    for (int index = 0; index < 10; ++index) {
        countRequest(budget, "orders", limits, start);
    }
    CHECK(tryAcquireServiceRetry(budget, "orders", limits, start));
    CHECK_FALSE(tryAcquireServiceRetry(budget, "orders", limits, start + seconds(11)));
}

TEST_CASE("services do not share their budgets")
{
    const retry_budget_limits limits = limitsOf(1);
    service_retry_budgets budget;
    while (tryAcquireServiceRetry(budget, "orders", limits, start)) {
    }
    CHECK(tryAcquireServiceRetry(budget, "designs", limits, start));
}

TEST_CASE("a request that may run once is repeated only if it has not run")
{
    failed_attempt facts;
    facts.maxWorkers = 3;
    facts.workersTried = 1;
    facts.timeLeft = seconds(1);
    facts.end = attempt_outcome::Unknown;
    CHECK_FALSE(mayRetryElsewhere(facts));
    facts.end = attempt_outcome::FailedResponse;
    CHECK_FALSE(mayRetryElsewhere(facts));
    facts.end = attempt_outcome::RejectedByWorker;
    CHECK(mayRetryElsewhere(facts));
    facts.end = attempt_outcome::NotRun;
    CHECK(mayRetryElsewhere(facts));
}

TEST_CASE("a route's number of workers and the time left bound the repeats")
{
    failed_attempt facts;
    facts.isRetryable = true;
    facts.end = attempt_outcome::Unknown;
    facts.timeLeft = milliseconds(100);
    facts.expectedRun = milliseconds(50);
    facts.workersTried = 1;
    facts.maxWorkers = 2;
    CHECK(mayRetryElsewhere(facts));
    facts.workersTried = 2;
    CHECK_FALSE(mayRetryElsewhere(facts));
    facts.workersTried = 1;
    facts.expectedRun = milliseconds(100);
    CHECK_FALSE(mayRetryElsewhere(facts));
}

TEST_CASE("copies of slow requests leave a part of the budget to repeats of failed ones")
{
    const retry_budget_limits limits = limitsOf(1);
    service_retry_budgets budget;
    for (int index = 0; index < 100; ++index) {
        countRequest(budget, "orders", limits, start);
    }
    unsigned hedges = 0;
    while (tryAcquireServiceHedge(budget, "orders", limits, start)) {
        ++hedges;
    }
    unsigned resends = 0;
    while (tryAcquireServiceRetry(budget, "orders", limits, start)) {
        ++resends;
    }
    CHECK(hedges > 0);
    CHECK(resends >= hedges - 1);
    CHECK(hedges + resends <= 0.2 * 100 + 64);
}

namespace {

// Callers whose target is 400 ms come back twice after a rejection; every worker rejects 55% of what it gets and runs
// the rest for 80 ms. Returns the share that ends on time.
double replayRejections(const std::function<milliseconds(double)> &returnAfter)
{
    constexpr unsigned callers = 10'000;
    constexpr unsigned tries = 3;
    constexpr double targetMs = 400;
    constexpr double runMs = 80;
    random_generator generator(3);
    std::bernoulli_distribution isRejected(0.55);
    std::uniform_real_distribution<double> draw(0, 1);
    unsigned onTime = 0;
    for (unsigned caller = 0; caller < callers; ++caller) {
        double atMs = 0;
        bool isServed = false;
        for (unsigned attempt = 0; attempt < tries && !isServed; ++attempt) {
            isServed = !isRejected(generator);
            atMs += isServed ? runMs : static_cast<double>(returnAfter(draw(generator)).count());
        }
        onTime += isServed && atMs <= targetMs ? 1 : 0;
    }
    return static_cast<double>(onTime) / callers;
}

} // namespace

TEST_CASE("callers come back within their target when workers reject at random")
{
    const double fixed = replayRejections([](double) {
        return milliseconds(300);
    });
    const double soon = replayRejections([](double draw) {
        return rejectionRetryAfter(80, draw);
    });
    INFO("on time " << soon << ", after a fixed 300 ms " << fixed);
    CHECK(soon > 0.8);
    CHECK(soon > fixed);
    CHECK(rejectionRetryAfter(0, 0) == leastRejectedReturn);
    CHECK(rejectionRetryAfter(80, 0) != rejectionRetryAfter(80, 1));
}
