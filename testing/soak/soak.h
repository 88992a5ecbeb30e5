// Randomized soak of real nodes: callers send all the time, faults come in series and overlap, and the promises are
// checked from what callers and workers see.
//
//   const soak_report report = runSoak({.seed = 7, .length = seconds(20)});
//   if (!report.violations.empty()) ...
#pragma once

#include <string>
#include <vector>

#include "base/clock.h"

namespace pistachioquay::testing {

struct soak_plan
{
    std::uint64_t seed = 1;
    milliseconds length{10000}; // during which faults come
    unsigned workersPerService = 2; // in each of two data centres
    std::string logFolder; // where the logs of a seed with violations are kept; empty: nowhere
};

struct soak_report
{
    std::vector<std::string> violations;
    std::vector<std::string> faults; // in order, for the trace of a violation
    unsigned requests = 0;
    unsigned served = 0;
};

soak_report runSoak(const soak_plan &plan);

} // namespace pistachioquay::testing
