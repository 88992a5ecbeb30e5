// Runs seeds of the soak one after the other and prints a line for each.
#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>

#include <docopt/docopt.h>

#include "testing/soak/soak.h"

namespace {

struct regression_seed
{
    std::uint64_t seed;
    const char *cause;
};

// Seeds that failed once. All last 6 s.
constexpr std::array<regression_seed, 7> regressionSeeds = {{
    {1, "the check took a replaced worker for the drained one"},
    {11, "work of the worker stand-in outlived the client that it used"},
    {21, "the program ran out of ports after ten seeds and ended with a segmentation fault"},
    {23, "SIGHUP before the program ignored it ended a process that nobody started again"},
    {34, "a process that was just forked held a socket of the stand-ins open"},
    {43, "SIGTERM ended a process before its program ran, and the check took it for a node that does not drain"},
    {75, "the same as 43"},
}};

constexpr const char *usage = R"(Soak of real nodes under random faults.

Usage:
  pq_platform_soak [--seed=N] [--seeds=N] [--seconds=S] [--workers=N] [--logs=DIR]
  pq_platform_soak --regressions [--logs=DIR]

Options:
  --regressions  runs the seeds that failed once, each with its cause
  --seed=N     first seed [default: 1]
  --seeds=N    number of seeds [default: 1]
  --seconds=S  time of faults for each seed, in seconds [default: 10]
  --workers=N  workers of each service in each data centre [default: 2]
  --logs=DIR   keeps the logs of seeds with violations there
)";

constexpr pistachioquay::milliseconds regressionLength{6000};

// Runs one seed and prints what came of it; false if a promise was broken.
bool runSeed(const pistachioquay::testing::soak_plan &plan)
{
    const pistachioquay::testing::soak_report report = pistachioquay::testing::runSoak(plan);
    std::cout << "seed " << plan.seed << " requests " << report.requests << " served " << report.served << " faults "
              << report.faults.size() << " violations " << report.violations.size() << std::endl;
    for (const std::string &violation : report.violations) {
        std::cout << "  " << violation << '\n';
    }
    if (!report.violations.empty()) {
        for (const std::string &fault : report.faults) {
            std::cout << "    fault " << fault << '\n';
        }
    }
    return report.violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace pistachioquay;
    using namespace pistachioquay::testing;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const bool areRegressions = arguments["--regressions"].asBool();
    const auto first = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    const auto count = static_cast<std::size_t>(arguments["--seeds"].asLong());
    std::vector<std::uint64_t> seeds(areRegressions ? regressionSeeds.size() : count);
    if (areRegressions) {
        std::ranges::transform(regressionSeeds, seeds.begin(), &regression_seed::seed);
    } else {
        std::iota(seeds.begin(), seeds.end(), first);
    }
    soak_plan plan;
    plan.length = areRegressions ? regressionLength : seconds(arguments["--seconds"].asLong());
    plan.workersPerService = static_cast<unsigned>(arguments["--workers"].asLong());
    plan.logFolder = arguments["--logs"] ? arguments["--logs"].asString() : std::string();
    unsigned failed = 0;
    for (const std::uint64_t seed : seeds) {
        plan.seed = seed;
        failed += runSeed(plan) ? 0 : 1;
    }
    std::cout << seeds.size() - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
