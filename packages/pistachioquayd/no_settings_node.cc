// Replaces settings_node.cc in builds with PQ_SETTINGS_NODE=OFF, which run only on the platform.
#include "pistachioquayd/settings_node.h"

#include <iostream>

#include "base/program_start.h"

namespace pistachioquay {

int runSettingsNode(const std::string & /*settingsPath*/, bool /*onlyChecks*/)
{
    std::cerr << "pistachioquayd: this build supports only --platform; rebuild with -DPQ_SETTINGS_NODE=ON to use "
                 "--settings\n";
    return exitSettings;
}

} // namespace pistachioquay
