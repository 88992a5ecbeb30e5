// What programs do as they start: exit codes, the settings file, and the signals that end them.
//
//   const sigset_t ends = blockEndSignals();            // before the first thread starts
//   ...
//   sigwait(&ends, &received);
#pragma once

#include <csignal>
#include <string>

#include "base/error.h"

namespace pistachioquay {

inline constexpr int exitFailure = 1;
inline constexpr int exitSettings = 2;

// readSettingsFile returns the text of a settings file. Fails with InvalidSettings. Thread safe.
result<std::string> readSettingsFile(const std::string &path);

// blockEndSignals blocks SIGTERM and SIGINT in the calling thread and in those that it starts, so that only `sigwait`
// takes them, and ignores SIGPIPE.
sigset_t blockEndSignals();

} // namespace pistachioquay
