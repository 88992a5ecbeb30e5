// Guards the service-level report against wrong windows, wrong merging and unbounded growth.
#include <catch2/catch.hpp>

#include <array>

#include "process/metrics/metrics.h"

using namespace pistachioquay;

namespace {
const time_point start = time_point(std::chrono::hours(1000));
}

TEST_CASE("old requests leave the short window first, then the long one")
{
    burn_window window;
    addRequest(window, false, start);
    CHECK(countsAt(window, start, 99).shortBad == 1);
    CHECK(countsAt(window, start + seconds(299), 99).shortBad == 1);
    CHECK(countsAt(window, start + seconds(311), 99).shortBad == 0);
    CHECK(countsAt(window, start + seconds(311), 99).longBad == 1);
    CHECK(countsAt(window, start + seconds(3611), 99).longTotal == 0);
}

TEST_CASE("a bucket that is reused after an hour does not keep its old counts")
{
    burn_window window;
    addRequest(window, false, start);
    addRequest(window, true, start + longBurnWindow);
    CHECK(countsAt(window, start + longBurnWindow, 99) == burn_counts{99, 1, 0, 1, 0});
}

TEST_CASE("the burn rate is 1 when exactly the allowed share is bad")
{
    CHECK(burnRate(1000, 10, 99) == Approx(1.0));
    CHECK(burnRate(0, 0, 99) == 0);
    CHECK(burnRate(10, 10, 100) == Approx(1e6));
}

TEST_CASE("counts of several nodes add up and a node without requests does not hide the target")
{
    const burn_counts idle;
    const burn_counts busy{99.9, 5, 1, 50, 2};
    CHECK(addCounts(idle, busy) == busy);
    CHECK(addCounts(busy, busy) == burn_counts{99.9, 10, 2, 100, 4});
}

TEST_CASE("a request is bad when it fails or when it is slower than the objective")
{
    metrics figures;
    const std::array<named_objective, 1> wanted = {{{"fast", 99, milliseconds(100)}}};
    figures.record({"orders", work_class::Interactive, 200, milliseconds(50)}, wanted, start);
    figures.record({"orders", work_class::Interactive, 200, milliseconds(150)}, wanted, start);
    figures.record({"orders", work_class::Interactive, 503, milliseconds(1)}, wanted, start);
    const metrics_snapshot copy = figures.snapshot(start);
    const service_metrics &orders = copy.services.at("orders");
    CHECK(orders.burnByObjective.at("fast") == burn_counts{99, 3, 2, 3, 2});
    CHECK(orders.latencyByClass.at("interactive").count == 3);
    CHECK(orders.latencyByClass.at("interactive").max == Approx(150));
}

TEST_CASE("latency quantiles lie near those of the recorded values")
{
    metrics figures;
    for (int value = 1; value <= 10'000; ++value) {
        figures.record({"orders", work_class::Lookup, 200, std::chrono::microseconds(value * 7919 % 10'007)},
                       {},
                       start);
    }
    const metrics_snapshot copy = figures.snapshot(start);
    const latency_summary summary = copy.services.at("orders").latencyByClass.at("lookup");
    CHECK(summary.p50 == Approx(5.0).epsilon(0.05));
    CHECK(summary.p99 == Approx(9.9).epsilon(0.05));
}
