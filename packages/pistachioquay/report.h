// What a command tells the operator, as text and as JSON, with its exit code.
//
//   command_report report = makeReport(exit_code::Ok, "version 12\n");
//   putNumber(report.json, "version", 12);
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "pistachioquay/json.h"

namespace pistachioquay {

// Exit codes are stable: scripts depend on them.
enum class exit_code : int
{
    Ok = 0,
    Rejected = 1, // the edit or file is invalid or conflicts; nothing took effect
    Usage = 2, // wrong arguments or settings
    Unavailable = 3, // the log or the nodes do not respond, or a state cannot be restored; nothing took effect
    Unknown = 4, // a publish may or may not take effect
    Burning = 5, // an error budget burns faster than its objective allows
};

struct command_report
{
    exit_code code = exit_code::Ok;
    std::string text; // for people, ends with a line end
    json_value json; // an object
    std::vector<std::string> warnings;
};

// makeReport returns a report with an empty JSON object. Thread safe.
command_report makeReport(exit_code code, std::string text);

// reportFailure returns the report on an error, with its kind, message and remedy. Thread safe.
command_report reportFailure(const error &failure);

// exitCodeOf returns the exit code for an error. Thread safe.
exit_code exitCodeOf(error_kind kind);

} // namespace pistachioquay
