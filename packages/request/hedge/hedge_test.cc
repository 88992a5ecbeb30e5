// Guards against hedges that come too late for the target, add load to busy workers, or run a request twice that may
// only run once.
#include <catch2/catch.hpp>

#include "request/hedge/hedge.h"

using namespace pistachioquay;

namespace {

constexpr hedge_candidate lookup{.isRetryable = true,
                                 .workersTried = 1,
                                 .maxWorkers = 3,
                                 .expectedWaitMs = 0,
                                 .expectedRunMs = 25,
                                 .typicalRunMs = 25,
                                 .targetLeftMs = 100,
                                 .timeLeftMs = 250};

} // namespace

TEST_CASE("the hedge of a request at a hanging worker can still meet the target")
{
    const auto delay = hedgeDelay(lookup);
    REQUIRE(delay);
    CHECK(*delay > milliseconds(25));
    CHECK(delay->count() + lookup.typicalRunMs <= lookup.targetLeftMs);
}

TEST_CASE("a close target makes the hedge earlier, but not earlier than the minimum delay")
{
    hedge_candidate request = lookup;
    request.targetLeftMs = 68;
    const auto delay = hedgeDelay(request);
    REQUIRE(delay);
    CHECK(*delay < *hedgeDelay(lookup));
    CHECK(delay->count() >= request.expectedRunMs * minHedgeRuns);
}

TEST_CASE("a request past its target is hedged after the usual delay, if the hedge can finish before the deadline")
{
    hedge_candidate request = lookup;
    request.targetLeftMs = -10;
    REQUIRE(hedgeDelay(request));
    CHECK(hedgeDelay(request)->count() >= request.expectedRunMs * hedgeRuns);
    request.timeLeftMs = 60;
    CHECK_FALSE(hedgeDelay(request));
}

TEST_CASE("a worker that is known to be slow does not delay the hedge")
{
    hedge_candidate request = lookup;
    request.expectedRunMs = 200;
    CHECK(hedgeDelay(request) == hedgeDelay(lookup));
}

TEST_CASE("requests that are not retryable or have reached their maximum number of workers are not hedged")
{
    hedge_candidate atMostOnce = lookup;
    atMostOnce.isRetryable = false;
    CHECK_FALSE(hedgeDelay(atMostOnce));
    hedge_candidate exhausted = lookup;
    exhausted.workersTried = exhausted.maxWorkers;
    CHECK_FALSE(hedgeDelay(exhausted));
}

TEST_CASE("a hedge is sent only to a worker that has almost no wait and can finish in time")
{
    CHECK(maySendHedge({.expectedWaitMs = 0, .expectedRunMs = 25, .timeLeftMs = 100}));
    CHECK_FALSE(maySendHedge({.expectedWaitMs = 12, .expectedRunMs = 25, .timeLeftMs = 100}));
    CHECK_FALSE(maySendHedge({.expectedWaitMs = 0, .expectedRunMs = 25, .timeLeftMs = 20}));
}
