// Runs seeds of the soak one after the other and prints a line for each.
#include <iostream>

#include <docopt/docopt.h>

#include "testing/soak/soak.h"

namespace {

constexpr const char *usage = R"(Soak of real nodes under random faults.

Usage:
  pq_platform_soak [--seed=N] [--seeds=N] [--seconds=S] [--workers=N] [--logs=DIR]

Options:
  --seed=N     first seed [default: 1]
  --seeds=N    number of seeds [default: 1]
  --seconds=S  time of faults for each seed, in seconds [default: 10]
  --workers=N  workers of each service in each data centre [default: 2]
  --logs=DIR   keeps the logs of seeds with violations there
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace pistachioquay;
    using namespace pistachioquay::testing;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto first = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    const auto count = static_cast<std::uint64_t>(arguments["--seeds"].asLong());
    unsigned failed = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        soak_plan plan;
        plan.seed = seed;
        plan.length = seconds(arguments["--seconds"].asLong());
        plan.workersPerService = static_cast<unsigned>(arguments["--workers"].asLong());
        plan.logFolder = arguments["--logs"] ? arguments["--logs"].asString() : std::string();
        const soak_report report = runSoak(plan);
        std::cout << "seed " << seed << " requests " << report.requests << " served " << report.served << " faults "
                  << report.faults.size() << " violations " << report.violations.size() << std::endl;
        for (const std::string &violation : report.violations) {
            std::cout << "  " << violation << '\n';
        }
        if (!report.violations.empty()) {
            ++failed;
            for (const std::string &fault : report.faults) {
                std::cout << "    fault " << fault << '\n';
            }
        }
    }
    std::cout << count - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
