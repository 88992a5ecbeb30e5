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

TEST_CASE("a lookup at a worker that hangs gets a copy early enough for its target")
{
    const auto delay = hedgeDelay(lookup);
    REQUIRE(delay);
    CHECK(*delay > milliseconds(25));
    CHECK(delay->count() + lookup.typicalRunMs <= lookup.targetLeftMs);
}

TEST_CASE("a target that is close brings the copy forward, but not before the first worker had its time")
{
    hedge_candidate facts = lookup;
    facts.targetLeftMs = 68;
    const auto delay = hedgeDelay(facts);
    REQUIRE(delay);
    CHECK(*delay < *hedgeDelay(lookup));
    CHECK(delay->count() >= facts.expectedRunMs * leastHedgeRuns);
}

TEST_CASE("a request that missed its target waits patiently, and gets a copy while that can end in time")
{
    hedge_candidate facts = lookup;
    facts.targetLeftMs = -10;
    REQUIRE(hedgeDelay(facts));
    CHECK(hedgeDelay(facts)->count() >= facts.expectedRunMs * hedgeRuns);
    facts.timeLeftMs = 60;
    CHECK_FALSE(hedgeDelay(facts));
}

TEST_CASE("a worker that is known to be slow is waited for no longer than others take")
{
    hedge_candidate facts = lookup;
    facts.expectedRunMs = 200;
    CHECK(hedgeDelay(facts) == hedgeDelay(lookup));
}

TEST_CASE("requests that may run once, or have used their workers, get no copy")
{
    hedge_candidate once = lookup;
    once.isRetryable = false;
    CHECK_FALSE(hedgeDelay(once));
    hedge_candidate used = lookup;
    used.workersTried = used.maxWorkers;
    CHECK_FALSE(hedgeDelay(used));
}

TEST_CASE("in a swing that fills all slots no copy is sent")
{
    CHECK(maySendHedge({.expectedWaitMs = 0, .expectedRunMs = 25, .timeLeftMs = 100}));
    CHECK_FALSE(maySendHedge({.expectedWaitMs = 12, .expectedRunMs = 25, .timeLeftMs = 100}));
    CHECK_FALSE(maySendHedge({.expectedWaitMs = 0, .expectedRunMs = 25, .timeLeftMs = 20}));
}
