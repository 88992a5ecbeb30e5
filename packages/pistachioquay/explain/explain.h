// Finds the lines of one request in the logs of many nodes and says in a sentence how it ended and why.
//
//   std::vector<log_entry> lines;
//   appendLogEntries(lines, "be-1", logText);             // once for each node
//   const explanation found = explainRequest(std::move(lines), "a23a.33e1");
//   std::cout << found.cause;
//
// Lines that are no log lines are skipped: logs of nodes may stand among other output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioquay {

struct line_field
{
    std::string key;
    std::string value;

    friend auto operator<=>(const line_field &, const line_field &) = default;
};

// One line of a node's log.
struct log_entry
{
    std::int64_t atMs = 0; // Unix time by the clock of its node
    std::string node; // from the text before the time, or the name of the log
    std::string part; // of the program, for example "outbound"
    std::string event;
    std::vector<line_field> fields;
    std::string text; // the line from its part on

    friend auto operator<=>(const log_entry &, const log_entry &) = default;
};

// parseLine reads `[TEXT] UNIX-MS [part] event key=value ...`; empty if the line is none of the program's. `node` is
// the name for a line that does not start with one. Thread safe.
std::optional<log_entry> parseLine(std::string_view text, std::string_view node);

// appendLogEntries reads a whole log. Thread safe for different vectors.
void appendLogEntries(std::vector<log_entry> &lines, std::string_view node, std::string_view log);

// valueOf returns the value of a key; empty if the line lacks it. Thread safe.
std::string_view valueOf(const log_entry &line, std::string_view key);

struct explanation
{
    std::vector<log_entry> lines; // of the request and of the calls that its workers made, by time
    std::string cause; // in sentences, ends with a line end; empty if there is no line of the request
    std::string next; // what to look at to go on; empty if nothing is missing
};

// explainRequest finds the lines of request `id`. Clocks of nodes may differ, so the order between nodes is only as
// good as they are. Thread safe.
explanation explainRequest(std::vector<log_entry> lines, std::string_view id);

} // namespace pistachioquay
