#include "pistachioquay/commands.h"

#include <algorithm>

#include "pistachioquay/explain/explain.h"

namespace pistachioquay {

command_report explainFromLogs(std::string_view id, std::span<const std::pair<std::string, std::string>> logs)
{
    std::vector<log_entry> lines;
    for (const auto &[node, log] : logs) {
        appendLogEntries(lines, node, log);
    }
    const explanation found = explainRequest(std::move(lines), id);
    if (found.lines.empty()) {
        command_report missing = makeReport(exit_code::Rejected,
                                            "no log has a line of request `" + std::string(id)
                                                + "`; give the log of the node that its caller used\n");
        putText(missing.json, "error", "no line of the request");
        return missing;
    }
    command_report report = makeReport(exit_code::Ok, {});
    for (const log_entry &line : found.lines) {
        report.text += std::to_string(line.atMs) + " " + line.node + " " + line.text + "\n";
    }
    report.text += "\n" + found.cause + found.next;
    putText(report.json, "cause", found.cause);
    putText(report.json, "next", found.next);
    return report;
}

} // namespace pistachioquay
