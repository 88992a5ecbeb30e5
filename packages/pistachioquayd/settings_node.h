// Runs a node with a settings file of its own, apart from the platform.
//
//   return runSettingsNode("node.toml", false);
//
// A build with PQ_SETTINGS_NODE=OFF leaves this node and its libraries out, and only says so: on a VM of the platform
// they would cost time at each start, and memory.
#pragma once

#include <string>

namespace pistachioquay {

// runSettingsNode runs until SIGTERM or SIGINT and returns the exit code; with `onlyChecks` it returns after the
// checks.
int runSettingsNode(const std::string &settingsPath, bool onlyChecks);

} // namespace pistachioquay
