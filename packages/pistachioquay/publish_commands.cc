#include "pistachioquay/commands.h"

#include <algorithm>

#include "pistachioquay/publish_run.h"
#include "pistachioquay/state_reader.h"
#include "pistachioquay/status.h"
#include "pistachioquay/tree_file.h"
#include "version/tree/key_schema.h"

namespace pistachioquay {

namespace {

void putVerdict(const fold_verdict &verdict, const json_value &json)
{
    putText(json, "verdict", verdictName(verdict.kind));
    putText(json, "message", verdict.message);
    putText(json, "remedy", verdict.remedy);
    if (verdict.kind == verdict_kind::Conflict) {
        putText(json, "path", verdict.path);
        putText(json, "winner", verdict.winner);
        putNumber(json, "winner_version", verdict.winnerVersion);
    }
}

command_report reportRejected(const fold_verdict &verdict)
{
    command_report report = makeReport(exit_code::Rejected, "rejected: " + describe(verdict) + "\n");
    putText(report.json, "outcome", "rejected");
    putVerdict(verdict, report.json);
    return report;
}

command_report reportOf(const publish_decision &decision)
{
    if (decision.action == publish_action::ReportRejected) {
        return reportRejected(decision.verdict);
    }
    if (decision.action == publish_action::ReportAccepted) {
        command_report report =
            makeReport(exit_code::Ok, "accepted at version " + std::to_string(decision.verdict.version) + "\n");
        putText(report.json, "outcome", "accepted");
        putNumber(report.json, "version", decision.verdict.version);
        return report;
    }
    const bool isUnknown = decision.action == publish_action::ReportUnknown;
    const std::string outcome = isUnknown ? "unknown" : "not published";
    command_report report = makeReport(isUnknown ? exit_code::Unknown : exit_code::Unavailable,
                                       outcome + ": " + decision.message + "; " + decision.remedy + "\n");
    putText(report.json, "outcome", outcome);
    putText(report.json, "message", decision.message);
    putText(report.json, "remedy", decision.remedy);
    return report;
}

command_report reportNothing(std::uint64_t version)
{
    command_report report =
        makeReport(exit_code::Ok, "nothing to publish: the tree is that of version " + std::to_string(version) + "\n");
    putText(report.json, "outcome", "unchanged");
    putNumber(report.json, "version", version);
    return report;
}

// The verdict that the record would get as the next one of the log.
fold_verdict rehearse(const log_state &latest, const edit_record &record)
{
    return foldRecord(latest.state, latest.state.position, encodeRecord(record)).verdict;
}

result<command_report>
publishEdits(cli_access &access, log_state latest, std::uint64_t base, std::vector<edit> edits, milliseconds timeout)
{
    const edit_record record{randomId(access.random), base, access.author, std::move(edits)};
    if (latest.isStopped) {
        return fail(error_kind::UnreadableSchema,
                    "record " + std::to_string(latest.state.position) + " has a newer schema; nothing was published",
                    "install a newer pistachioquay");
    }
    if (encodeRecord(record).size() > maxRecordSize) {
        return fail(error_kind::InvalidTree,
                    "the " + std::to_string(record.edits.size()) + " edits exceed the record limit of 1 MiB",
                    "publish them in several steps, each of which leaves a valid tree");
    }
    const fold_verdict expected = rehearse(latest, record);
    if (expected.kind != verdict_kind::Accepted) {
        return reportRejected(expected);
    }
    const auto warnings = schemaWarnings(readFleet(access), recordSchema);
    BOOST_LEAF_AUTO(decision, runPublish(access, std::move(latest), record, access.now() + timeout));
    command_report report = reportOf(decision);
    report.warnings = warnings;
    putText(report.json, "publish_id", toHex(record.publishId));
    putNumber(report.json, "edits", record.edits.size());
    return report;
}

// What a file changes, and against which version.
struct file_change
{
    std::uint64_t base = 0;
    std::vector<edit> edits;
};

result<file_change>
changeOf(const cli_access &access, const log_state &latest, std::string_view fileText, const publish_options &options)
{
    BOOST_LEAF_AUTO(file, readTreeFile(fileText));
    const std::optional<std::uint64_t> base = options.base ? options.base : file.base;
    if (!base) {
        return fail(error_kind::InvalidArgument,
                    "the file does not state its base version",
                    "keep the line `# base_version = N` of the export, or give --base N");
    }
    if (*base == latest.state.version) {
        return file_change{*base, diffTrees(latest.state.tree, file.tree)};
    }
    BOOST_LEAF_AUTO(start, readVersion(access.log, *base));
    return file_change{*base, diffTrees(start.tree, file.tree)};
}

} // namespace

command_report runCommand(const std::function<result<command_report>()> &command)
{
    auto report = attempt(command);
    return report ? *std::move(report) : reportFailure(report.failure());
}

result<command_report> diffFile(cli_access &access, std::string_view fileText, const publish_options &options)
{
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    BOOST_LEAF_AUTO(change, changeOf(access, latest, fileText, options));
    command_report report = makeReport(exit_code::Ok, "");
    putNumber(report.json, "base", change.base);
    putNumber(report.json, "version", latest.state.version);
    json_value edits = jsonArray();
    for (const edit &each : change.edits) {
        report.text += toText(each) + "\n";
        append(edits, json_value(json_string(toText(each).c_str())));
    }
    put(report.json, "edits", std::move(edits));
    if (change.edits.empty()) {
        report.text = "no difference to version " + std::to_string(change.base) + "\n";
        return report;
    }
    const fold_verdict expected =
        rehearse(latest, {randomId(access.random), change.base, access.author, std::move(change.edits)});
    putVerdict(expected, report.json);
    if (expected.kind != verdict_kind::Accepted) {
        report.warnings.push_back("publish would be rejected: " + describe(expected));
    }
    return report;
}

result<command_report> publishFile(cli_access &access, std::string_view fileText, const publish_options &options)
{
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    BOOST_LEAF_AUTO(change, changeOf(access, latest, fileText, options));
    if (change.edits.empty()) {
        return reportNothing(change.base);
    }
    return publishEdits(access, std::move(latest), change.base, std::move(change.edits), options.timeout);
}

result<command_report> setValues(cli_access &access, std::span<const path_value> values, const publish_options &options)
{
    std::vector<edit> edits;
    for (const auto &[pathText, valueText] : values) {
        BOOST_LEAF_AUTO(path, parsePath(pathText));
        BOOST_LEAF_AUTO(value, valueFromText(path, valueText));
        edits.push_back(setValue(std::move(path), std::move(value)));
    }
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    const std::uint64_t base = options.base.value_or(latest.state.version);
    return publishEdits(access, std::move(latest), base, std::move(edits), options.timeout);
}

result<command_report>
unsetValues(cli_access &access, std::span<const std::string> paths, const publish_options &options)
{
    std::vector<edit> edits;
    for (const std::string &pathText : paths) {
        BOOST_LEAF_AUTO(path, parsePath(pathText));
        edits.push_back(unsetValue(std::move(path)));
    }
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    const std::uint64_t base = options.base.value_or(latest.state.version);
    return publishEdits(access, std::move(latest), base, std::move(edits), options.timeout);
}

result<command_report>
changePlaces(cli_access &access, edit_kind kind, std::span<const std::string> places, const publish_options &options)
{
    std::vector<edit> edits;
    for (const std::string &placeText : places) {
        BOOST_LEAF_AUTO(where, parsePlace(placeText));
        edits.push_back({kind, placePath(std::move(where)), {}});
    }
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    const std::uint64_t base = options.base.value_or(latest.state.version);
    return publishEdits(access, std::move(latest), base, std::move(edits), options.timeout);
}

result<command_report> republishVersion(cli_access &access, std::uint64_t version, const publish_options &options)
{
    BOOST_LEAF_AUTO(earlier, readVersion(access.log, version));
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    auto edits = diffTrees(latest.state.tree, earlier.tree);
    const std::uint64_t base = latest.state.version;
    if (edits.empty()) {
        return reportNothing(base);
    }
    return publishEdits(access, std::move(latest), base, std::move(edits), options.timeout);
}

} // namespace pistachioquay
