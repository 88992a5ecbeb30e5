#include "pistachioquayd/settings_node.h"

#include <csignal>
#include <iostream>

#include <glog/logging.h>

#include "base/program_start.h"
#include "process/node/node.h"
#include "process/settings/settings.h"

namespace pistachioquay {

namespace {

result<node_settings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    return readNodeSettings(text);
}

int runNode(const node_settings &settings)
{
    const sigset_t shutdownSignals = blockEndSignals();
    node settingsNode(settings);
    const auto started = attempt([&] {
        return settingsNode.start();
    });
    if (!started) {
        std::cerr << "pistachioquayd: " << describe(started.failure()) << '\n';
        return exitFailure;
    }
    int receivedSignal = 0;
    sigwait(&shutdownSignals, &receivedSignal);
    settingsNode.shutDown();
    return 0;
}

} // namespace

int runSettingsNode(const std::string &settingsPath, bool onlyChecks)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("pistachioquayd");
    const auto settings = attempt([&] {
        return loadSettings(settingsPath);
    });
    if (!settings) {
        std::cerr << "pistachioquayd: " << describe(settings.failure()) << '\n';
        return exitSettings;
    }
    return onlyChecks ? 0 : runNode(*settings);
}

} // namespace pistachioquay
