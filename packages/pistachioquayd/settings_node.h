// Runs a node with a settings file of its own, apart from the platform.
//
//   return runSettingsNode("node.toml", false);
//
// A build with PQ_SETTINGS_NODE=OFF leaves this node and its libraries out, and only says so: on a VM of the platform
// they would take half of the daemon's memory.
#pragma once

#include <string>

namespace pistachioquay {

inline constexpr int exitFailure = 1;
inline constexpr int exitSettings = 2;

// runSettingsNode runs until SIGTERM or SIGINT and returns the exit code; with `onlyChecks` it returns after the
// checks.
int runSettingsNode(const std::string &settingsPath, bool onlyChecks);

} // namespace pistachioquay
