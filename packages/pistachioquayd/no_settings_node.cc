// Stands in for settings_node.cc in builds that only run on the platform.
#include "pistachioquayd/settings_node.h"

#include <iostream>

#include "base/program_start.h"

namespace pistachioquay {

int runSettingsNode(const std::string & /*settingsPath*/, bool /*onlyChecks*/)
{
    std::cerr << "pistachioquayd: this build only runs with --platform; build it with -DPQ_SETTINGS_NODE=ON\n";
    return exitSettings;
}

} // namespace pistachioquay
