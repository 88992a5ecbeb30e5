// The daemon pistachioquayd: a node of the mesh that runs beside one upstream and routes requests to and from it.

#include <iostream>
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
  pistachioquayd --platform [--check]
  pistachioquayd (-h | --help)
  pistachioquayd --version

Options:
  --settings FILE  TOML settings of this node.
  --platform       Run on the platform, with the settings file that its environment names.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Example:
  pistachioquayd --settings node.toml

SIGTERM drains the node: it takes no new work, lets running requests end, and exits with 0.
Exit codes: 0 drained, 1 cannot start, 2 wrong usage or settings.
)";

int runOnPlatform(bool onlyChecks)
{
    const std::string path = platform::settingsPath();
    if (path.empty()) {
        std::cerr << "pistachioquayd: PISTACHIOQUAY_NODE_FILE is unset or empty; it must hold the path of the settings "
                     "file\n";
        return exitSettings;
    }
    return onlyChecks ? platform::checkSettings(path) : platform::runNode(path);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage,
                                          std::vector<std::string>(argv + 1, argv + argc),
                                          true,
                                          "pistachioquayd " PISTACHIOQUAY_VERSION);
    const bool onlyChecks = arguments.at("--check").asBool();
    return arguments.at("--platform").asBool() ? runOnPlatform(onlyChecks)
                                               : runSettingsNode(arguments.at("--settings").asString(), onlyChecks);
}
