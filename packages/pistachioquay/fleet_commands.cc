#include "pistachioquay/commands.h"

#include <algorithm>

#include "pistachioquay/state_reader.h"
#include "pistachioquay/status.h"
#include "process/spread/snapshot_schedule.h"
#include "version/fold/snapshot.h"

namespace pistachioquay {

namespace {

constexpr milliseconds followInterval{500};
constexpr std::size_t maxShownNodes = 20;

json_value jsonOf(const node_status &status)
{
    json_value item = jsonObject();
    putText(item, "node", status.node);
    putText(item, "data_centre", status.dataCentre);
    putText(item, "service", status.service);
    putText(item, "control", status.control);
    putText(item, "state", status.state);
    putNumber(item, "version", status.version);
    putNumber(item, "position", status.position);
    putNumber(item, "schema", status.schema);
    return item;
}

std::string lineOf(const node_status &status)
{
    return status.dataCentre + "/" + status.service + "  " + status.node + "  " + status.state + "  version "
        + std::to_string(status.version) + "  position " + std::to_string(status.position) + "  schema "
        + std::to_string(status.schema) + "\n";
}

json_value jsonOf(const std::vector<node_status> &nodes)
{
    json_value list = jsonArray();
    for (const node_status &status : nodes) {
        append(list, jsonOf(status));
    }
    return list;
}

result<fleet_status> readKnownFleet(const cli_access &access)
{
    if (access.nodes.empty()) {
        return fail(error_kind::InvalidSettings,
                    "the settings name no node",
                    "list control addresses of a few nodes of each data centre in `nodes.control`");
    }
    fleet_status fleet = readFleet(access);
    if (fleet.nodes.empty()) {
        return fail(error_kind::Unavailable,
                    "no node responded: " + fleet.failures.front(),
                    "check that the nodes run and that `nodes.control` names their control addresses");
    }
    return fleet;
}

command_report reportFollow(const fleet_status &fleet, std::uint64_t version, const std::vector<node_status> &behind)
{
    const std::size_t reached = fleet.nodes.size() - behind.size();
    const std::string counts = std::to_string(reached) + " of " + std::to_string(fleet.nodes.size()) + " nodes";
    command_report report =
        makeReport(exit_code::Ok, "version " + std::to_string(version) + " is in force on " + counts + "\n");
    putNumber(report.json, "version", version);
    putNumber(report.json, "nodes", fleet.nodes.size());
    putNumber(report.json, "reached", reached);
    put(report.json, "behind", jsonOf(behind));
    report.warnings = fleet.failures;
    if (!behind.empty()) {
        report.code = exit_code::Unavailable;
        for (std::size_t index = 0; index < std::min(behind.size(), maxShownNodes); ++index) {
            report.text += "behind: " + lineOf(behind[index]);
        }
        report.text += "see `pistachioquay status`, and follow the version again\n";
    }
    return report;
}

// What is known of the newest snapshot, from the last record of its stream and the last part's position.
struct snapshot_trace
{
    std::uint64_t position = 0;
    std::optional<std::int64_t> timeMs;
    bool isKept = false;
};

result<snapshot_trace> traceSnapshot(const log_access &log)
{
    snapshot_trace trace;
    BOOST_LEAF_AUTO(last, log.readLast(snapshotStream));
    if (last.records.empty()) {
        return trace;
    }
    const auto part = attempt([&] {
        return decodeSnapshotPart(last.records.back().data);
    });
    if (part) {
        trace = {part->position, last.records.back().timeMs, true};
    }
    return trace;
}

result<bool> isDue(cli_access &access, const log_state &latest, milliseconds retention)
{
    snapshot_status facts;
    BOOST_LEAF_AUTO(trace, traceSnapshot(access.log));
    facts.position = latest.state.position;
    facts.snapshotPosition = trace.position;
    facts.snapshotTimeMs = trace.timeMs;
    facts.isSnapshotKept = trace.isKept;
    facts.logFirst = latest.first;
    facts.logNext = latest.next;
    const std::uint64_t uncovered = std::max({trace.position, latest.first, std::uint64_t{1}});
    if (uncovered < latest.next) {
        BOOST_LEAF_AUTO(batch, access.log.read(configStream, uncovered, 1, milliseconds(0)));
        if (!batch.records.empty()) {
            facts.oldestUncoveredMs = batch.records.front().timeMs;
        }
    }
    return isSnapshotDue(facts, {retention}, 0, access.unixMs());
}

} // namespace

result<command_report> showStatus(cli_access &access)
{
    BOOST_LEAF_AUTO(fleet, readKnownFleet(access));
    command_report report = makeReport(exit_code::Ok, "");
    for (const node_status &status : fleet.nodes) {
        report.text += lineOf(status);
    }
    put(report.json, "nodes", jsonOf(fleet.nodes));
    report.warnings = fleet.failures;
    return report;
}

result<command_report> followVersion(cli_access &access, std::uint64_t version, milliseconds timeout)
{
    const time_point deadline = access.now() + timeout;
    while (true) {
        BOOST_LEAF_AUTO(fleet, readKnownFleet(access));
        const auto behind = nodesBehind(fleet, version);
        if (behind.empty() || access.now() >= deadline) {
            return reportFollow(fleet, version, behind);
        }
        access.sleep(followInterval);
    }
}

result<command_report> writeSnapshot(cli_access &access, milliseconds retention, bool isForced)
{
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    if (latest.isStopped) {
        return fail(error_kind::UnreadableSchema,
                    "record " + std::to_string(latest.state.position) + " has a newer schema; no snapshot was written",
                    "install a newer pistachioquay");
    }
    BOOST_LEAF_AUTO(due, isDue(access, latest, retention));
    const std::string position = std::to_string(latest.state.position);
    if (!due && !isForced) {
        command_report report = makeReport(exit_code::Ok, "no snapshot is due at position " + position + "\n");
        putFlag(report.json, "written", false);
        return report;
    }
    const auto parts = encodeSnapshot(latest.state);
    for (const std::string &part : parts) {
        BOOST_LEAF_CHECK(access.log.append(snapshotStream, part));
    }
    command_report report =
        makeReport(exit_code::Ok,
                   "wrote a snapshot of position " + position + " in " + std::to_string(parts.size()) + " parts\n");
    putFlag(report.json, "written", true);
    putNumber(report.json, "position", latest.state.position);
    putNumber(report.json, "parts", parts.size());
    return report;
}

} // namespace pistachioquay
