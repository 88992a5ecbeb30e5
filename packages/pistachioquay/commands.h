// The commands of `pistachioquay`. Each returns what to tell the operator; errors become failed results, which
// `runCommand` turns into reports.
//
//   const command_report report = runCommand([&] { return publishFile(access, text, {}, timeout); });
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "pistachioquay/access.h"
#include "pistachioquay/report.h"
#include "version/tree/config_tree.h"

namespace pistachioquay {

// Options of the commands that publish.
struct publish_options
{
    std::optional<std::uint64_t> base; // overrides the base version of the file
    milliseconds timeout{20'000};
};

using path_value = std::pair<std::string, std::string>;

// runCommand runs a command and turns an error into its report. Thread safe.
command_report runCommand(const std::function<result<command_report>()> &command);

// All commands below are not thread safe for one access.

// showPlace lists the effective values of a place, each with the place where it is set.
result<command_report> showPlace(cli_access &access, std::string_view placeText);
// getValue shows one effective value. Fails with InvalidTree if the path has none.
result<command_report> getValue(cli_access &access, std::string_view pathText);
// exportTree returns the tree as a file; `text` is the file.
result<command_report> exportTree(cli_access &access);
// diffFile lists the edits that `publishFile` would make, and whether they would be accepted now.
result<command_report> diffFile(cli_access &access, std::string_view fileText, const publish_options &options);
// validateFile checks a file without the log.
result<command_report> validateFile(std::string_view fileText);
// publishFile publishes what a file changes against its base version.
result<command_report> publishFile(cli_access &access, std::string_view fileText, const publish_options &options);
// setValues publishes new values of paths.
result<command_report>
setValues(cli_access &access, std::span<const path_value> values, const publish_options &options);
// unsetValues publishes the removal of values.
result<command_report>
unsetValues(cli_access &access, std::span<const std::string> paths, const publish_options &options);
// changePlaces publishes added or removed places.
result<command_report>
changePlaces(cli_access &access, edit_kind kind, std::span<const std::string> places, const publish_options &options);
// republishVersion publishes the tree of an earlier version as a new version.
result<command_report> republishVersion(cli_access &access, std::uint64_t version, const publish_options &options);
// explainFromLogs finds the lines of a request in logs of nodes, given by node and text, and says how it ended and why.
// Rejected if no log has a line of it. It needs neither the log of the platform nor nodes. Thread safe.
command_report explainFromLogs(std::string_view id, std::span<const std::pair<std::string, std::string>> logs);
// showHistory lists the last records with their verdicts, newest first.
result<command_report> showHistory(cli_access &access, std::uint64_t limit);
// showStatus lists the nodes with their versions.
result<command_report> showStatus(cli_access &access);
// followVersion waits until all known nodes have a version. Unavailable if the timeout passes first.
result<command_report> followVersion(cli_access &access, std::uint64_t version, milliseconds timeout);
// showBurn merges the service-level figures of all known nodes. Code Burning if an objective's budget burns faster than
// allowed over both windows; nodes that do not respond are warnings.
result<command_report> showBurn(cli_access &access);
// writeSnapshot appends a snapshot to the log if one is due or if `isForced`.
result<command_report> writeSnapshot(cli_access &access, milliseconds retention, bool isForced);

} // namespace pistachioquay
