// Guards against run time estimates that a single long run distorts, or that follow a slowdown too late.
#include <catch2/catch.hpp>

#include "request/run_time/run_time.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock

void recordMany(run_time_estimates &times, int count, double milliseconds)
{
    for (int index = 0; index < count; ++index) {
        recordRunTime(times, "sign", milliseconds, start);
    }
}

} // namespace

TEST_CASE("the fallback is returned for a route without runs")
{
    CHECK(expectedRunMs({}, "sign", 42) == 42);
}

TEST_CASE("a single outlier hardly changes the estimate")
{
    run_time_estimates times;
    recordMany(times, 50, 100);
    recordRunTime(times, "sign", 5000, start);
    CHECK(expectedRunMs(times, "sign", 0) < 150);
}

TEST_CASE("the estimate follows a fivefold slowdown within ten runs")
{
    run_time_estimates times;
    recordMany(times, 50, 100);
    recordMany(times, 10, 500);
    CHECK(expectedRunMs(times, "sign", 0) > 300);
}

TEST_CASE("each route has its own estimate")
{
    run_time_estimates times;
    recordRunTime(times, "sign", 100, start);
    recordRunTime(times, "look-up", 10, start);
    CHECK(expectedRunMs(times, "sign", 0) == 100);
    CHECK(expectedRunMs(times, "look-up", 0) == 10);
}

TEST_CASE("an unmeasured route is expected to run as long as at other workers, even for a late request")
{
    CHECK(unmeasuredRunMs(400, -10) == 400);
    CHECK(unmeasuredRunMs(400, 1000) == 400);
    CHECK(unmeasuredRunMs(0, 1000) == 250);
    CHECK(unmeasuredRunMs(0, -10) == minUnmeasuredMs);
}

// Guards against a worker that was slow once and refuses all requests of a route from then on.
TEST_CASE("an estimate without recent runs allows one probe in each period")
{
    run_time_estimates times;
    CHECK_FALSE(tryProbe(times, "orders", start));
    recordRunTime(times, "orders", 900, start);
    CHECK_FALSE(tryProbe(times, "orders", start + estimateFreshFor / 2));
    CHECK(tryProbe(times, "orders", start + estimateFreshFor));
    CHECK_FALSE(tryProbe(times, "orders", start + estimateFreshFor + estimateFreshFor / 2));
    CHECK(tryProbe(times, "orders", start + 2 * estimateFreshFor));
    recordRunTime(times, "orders", 80, start + 2 * estimateFreshFor);
    CHECK_FALSE(tryProbe(times, "orders", start + 2 * estimateFreshFor + milliseconds(1)));
}
