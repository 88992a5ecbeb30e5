// Daemon beside one upstream.

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include "platform/platform_node.h"
#include "process/node/node.h"
#include "process/settings/settings.h"

namespace {

using namespace pistachioquay;

constexpr int exitFailure = 1;
constexpr int exitSettings = 2;

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

result<node_settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(error_kind::InvalidSettings, "cannot read `" + path + "`", "check the path and its permissions");
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return readNodeSettings(text);
}

sigset_t blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runNode(const node_settings &settings)
{
    const sigset_t signals = blockShutdownSignals();
    node running(settings);
    const auto started = attempt([&] {
        return running.start();
    });
    if (!started) {
        std::cerr << "pistachioquayd: " << describe(started.failure()) << '\n';
        return exitFailure;
    }
    int received = 0;
    sigwait(&signals, &received);
    running.shutDown();
    return 0;
}

int runOnPlatform(bool onlyChecks)
{
    const std::string path = platform::settingsPath();
    if (path.empty()) {
        std::cerr << "pistachioquayd: no settings file is named; run it where the platform sets its environment\n";
        return exitSettings;
    }
    return onlyChecks ? platform::checkSettings(path) : platform::runNode(path);
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto arguments = docopt::docopt(usage,
                                          std::vector<std::string>(argv + 1, argv + argc),
                                          true,
                                          "pistachioquayd " PISTACHIOQUAY_VERSION);
    if (arguments.at("--platform").asBool()) {
        return runOnPlatform(arguments.at("--check").asBool());
    }
    const auto settings = attempt([&] {
        return loadSettings(arguments.at("--settings").asString());
    });
    if (!settings) {
        std::cerr << "pistachioquayd: " << describe(settings.failure()) << '\n';
        return exitSettings;
    }
    return arguments.at("--check").asBool() ? 0 : runNode(*settings);
}
