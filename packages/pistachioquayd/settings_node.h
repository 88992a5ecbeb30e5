// Runs a node from a TOML settings file, without the platform.
//
//   return runSettingsNode("node.toml", false);
//
// A build with PQ_SETTINGS_NODE=OFF omits this node and its libraries, because on a VM of the platform they would
// cost memory and startup time. In such a build, runSettingsNode prints an error and returns exitSettings.
#pragma once

#include <string>

namespace pistachioquay {

// runSettingsNode runs the node until SIGTERM or SIGINT and returns the exit code of the process. With `onlyChecks`, it
// validates the settings and returns without starting the node.
int runSettingsNode(const std::string &settingsPath, bool onlyChecks);

} // namespace pistachioquay
