// The daemon pistachioquayd: a node of the mesh that runs beside one upstream and routes requests to and from it.

#include <charconv>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "base/program_start.h"
#include "pistachioquayd/settings_node.h"
#include "platform/platform_node.h"

namespace {

using namespace pistachioquay;

constexpr const char *usage = R"(pistachioquayd: node of the mesh beside one upstream.

Usage:
  pistachioquayd --settings FILE [--check]
  pistachioquayd --platform [--check] [--traffic-cost=SHARE] [--fixed-slots]
  pistachioquayd (-h | --help)
  pistachioquayd --version

Options:
  --settings FILE  TOML settings of this node.
  --platform       Run on the platform, with the settings file that its environment names.
  --traffic-cost=SHARE  Cost of one KiB between data centres, as the share of the target latency that callers would rather
                   wait than send it; 0 makes all data centres equal [default: 0.4].
  --fixed-slots    Run as many requests at once as the upstream reports slots; do not learn how many it runs well.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Example:
  pistachioquayd --settings node.toml

SIGTERM drains the node: it takes no new work, lets running requests end, and exits with 0.
Exit codes: 0 drained, 1 cannot start, 2 wrong usage or settings.
)";

// Returns the value of --traffic-cost, or nothing if it is not a number from 0 to 1000.
std::optional<double> parseTrafficCost(const std::string &text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return isNumber && value >= 0 && value <= 1000 ? std::optional(value) : std::nullopt;
}

int runOnPlatform(bool onlyChecks, const std::string &trafficCostText, bool hasFixedSlots)
{
    const auto trafficCost = parseTrafficCost(trafficCostText);
    if (!trafficCost) {
        std::cerr << "pistachioquayd: --traffic-cost is `" << trafficCostText
                  << "`; give a number from 0 to 1000, such as 0.4\n";
        return exitSettings;
    }
    const std::string path = platform::settingsPath();
    if (path.empty()) {
        std::cerr << "pistachioquayd: PISTACHIOQUAY_NODE_FILE is unset or empty; it must hold the path of the settings "
                     "file\n";
        return exitSettings;
    }
    return onlyChecks ? platform::checkSettings(path) : platform::runNode(path, {*trafficCost, !hasFixedSlots});
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage,
                                          std::vector<std::string>(argv + 1, argv + argc),
                                          true,
                                          "pistachioquayd " PISTACHIOQUAY_VERSION);
    const bool onlyChecks = arguments.at("--check").asBool();
    return arguments.at("--platform").asBool()
        ? runOnPlatform(onlyChecks, arguments.at("--traffic-cost").asString(), arguments.at("--fixed-slots").asBool())
        : runSettingsNode(arguments.at("--settings").asString(), onlyChecks);
}
