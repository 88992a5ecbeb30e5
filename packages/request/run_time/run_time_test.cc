// Guards against estimates that a single long run spoils, or that follow a slowed worker too late.
#include <catch2/catch.hpp>

#include "request/run_time/run_time.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero

void noteMany(run_time_estimates &times, int count, double milliseconds)
{
    for (int index = 0; index < count; ++index) {
        recordRunTime(times, "sign", milliseconds, start);
    }
}

} // namespace

TEST_CASE("a route without runs has the fallback")
{
    CHECK(expectedRunMs({}, "sign", 42) == 42);
}

TEST_CASE("one run that is many times longer hardly moves the estimate")
{
    run_time_estimates times;
    noteMany(times, 50, 100);
    recordRunTime(times, "sign", 5000, start);
    CHECK(expectedRunMs(times, "sign", 0) < 150);
}

TEST_CASE("a worker that turned five times slower is known within ten runs")
{
    run_time_estimates times;
    noteMany(times, 50, 100);
    noteMany(times, 10, 500);
    CHECK(expectedRunMs(times, "sign", 0) > 300);
}

TEST_CASE("routes are estimated apart")
{
    run_time_estimates times;
    recordRunTime(times, "sign", 100, start);
    recordRunTime(times, "look-up", 10, start);
    CHECK(expectedRunMs(times, "sign", 0) == 100);
    CHECK(expectedRunMs(times, "look-up", 0) == 10);
}

TEST_CASE("a late request at a worker that has not run its route is expected to run as long as elsewhere")
{
    CHECK(unmeasuredRunMs(400, -10) == 400);
    CHECK(unmeasuredRunMs(400, 1000) == 400);
    CHECK(unmeasuredRunMs(0, 1000) == 250);
    CHECK(unmeasuredRunMs(0, -10) == leastUnmeasuredMs);
}
