// Finds the log entries of one request in the logs of several nodes and explains in sentences how it ended and why.
//
//   std::vector<log_entry> lines;
//   appendLogEntries(lines, "be-1", logText);             // once per node
//   const explanation found = explainRequest(std::move(lines), "a23a.33e1");
//   std::cout << found.cause;
//
// Lines in another format are skipped, so the logs may be mixed with other output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioquay {

// One key=value pair of a log entry, with quotes and escapes removed from the value.
struct log_field
{
    std::string key;
    std::string value;

    friend auto operator<=>(const log_field &, const log_field &) = default;
};

// One parsed entry of a node's log.
struct log_entry
{
    std::int64_t atMs = 0; // Unix time, by the clock of the node
    std::string node; // name before the timestamp, or that of the log if there is none
    std::string part; // of the program that logged the entry, for example "outbound"
    std::string event;
    std::vector<log_field> fields;
    std::string text; // the line from its [part] on

    friend auto operator<=>(const log_entry &, const log_entry &) = default;
};

// parseLogLine parses `[TEXT] UNIX-MS [part] event key=value ...`, where the last word of the optional TEXT is the name
// of the node; without TEXT the node is `node`. Empty if the line has another format. Thread safe.
std::optional<log_entry> parseLogLine(std::string_view text, std::string_view node);

// appendLogEntries appends all entries of a log; `node` is the node of entries without a node name. Thread safe for
// different vectors.
void appendLogEntries(std::vector<log_entry> &lines, std::string_view node, std::string_view log);

// fieldValue returns the value of a key; empty if the entry does not have the key. Thread safe.
std::string_view fieldValue(const log_entry &line, std::string_view key);

// Result of explainRequest.
struct explanation
{
    std::vector<log_entry> lines; // of the request and of the calls that its workers made, sorted by time
    std::string cause; // sentences that end with a newline; empty if no log has an entry of the request
    std::string next; // what to look at next; empty if nothing is missing
};

// explainRequest explains the outcome of request `id`. Entries are sorted by the clocks of their nodes, so entries of
// different nodes may be out of order by the difference of these clocks. Thread safe.
explanation explainRequest(std::vector<log_entry> lines, std::string_view id);

} // namespace pistachioquay
