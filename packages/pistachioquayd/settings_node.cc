#include "pistachioquayd/settings_node.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include <glog/logging.h>

#include "process/node/node.h"
#include "process/settings/settings.h"

namespace pistachioquay {

namespace {

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
