#include "pistachioquay/commands.h"

#include <algorithm>
#include <deque>

#include "pistachioquay/state_reader.h"
#include "pistachioquay/tree_file.h"
#include "version/fold/edit_record.h"
#include "version/tree/compile.h"
#include "version/tree/key_schema.h"

namespace pistachioquay {

namespace {

std::string stoppedWarning(const log_state &latest)
{
    return "record " + std::to_string(latest.state.position)
        + " has a newer schema; the state before it is shown; install a newer pistachioquay";
}

command_report startReport(const log_state &latest)
{
    command_report report = makeReport(exit_code::Ok, "");
    putNumber(report.json, "version", latest.state.version);
    if (latest.isStopped) {
        report.warnings.push_back(stoppedWarning(latest));
    }
    return report;
}

std::string lineOf(const place &where, const effective_value &value)
{
    return toText(tree_path{where, value.key}) + " = " + toText(value.value) + "  (" + toText(value.origin) + ")\n";
}

json_value jsonOf(const place &where, const effective_value &value)
{
    json_value item = jsonObject();
    putText(item, "path", toText(tree_path{where, value.key}));
    if (const auto *flag = std::get_if<bool>(&value.value)) {
        putFlag(item, "value", *flag);
    } else if (const auto *number = std::get_if<std::int64_t>(&value.value)) {
        putNumber(item, "value", static_cast<std::uint64_t>(*number));
    } else {
        putText(item, "value", std::get<std::string>(value.value));
    }
    putText(item, "origin", toText(value.origin));
    return item;
}

// One line of the history.
struct history_entry
{
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    decoded_record decoded;
    fold_verdict verdict;
};

std::string textOf(const history_entry &entry)
{
    constexpr std::size_t maxShownEdits = 20;
    const edit_record &record = entry.decoded.record;
    std::string text = std::to_string(entry.offset) + "  " + describe(entry.verdict) + "\n";
    if (entry.decoded.status != envelope_status::Good) {
        return text;
    }
    text += "    by " + plainText(record.author) + ", base " + std::to_string(record.base) + ", publish id "
        + toHex(record.publishId) + ", log time " + std::to_string(entry.timeMs) + " ms\n";
    for (std::size_t index = 0; index < std::min(record.edits.size(), maxShownEdits); ++index) {
        text += "    " + plainText(toText(record.edits[index])) + "\n";
    }
    if (record.edits.size() > maxShownEdits) {
        text += "    and " + std::to_string(record.edits.size() - maxShownEdits) + " more edits\n";
    }
    return text;
}

json_value jsonOf(const history_entry &entry)
{
    const edit_record &record = entry.decoded.record;
    json_value item = jsonObject();
    putNumber(item, "offset", entry.offset);
    putNumber(item, "time_ms", static_cast<std::uint64_t>(entry.timeMs));
    putText(item, "verdict", verdictName(entry.verdict.kind));
    putText(item, "message", entry.verdict.message);
    putText(item, "remedy", entry.verdict.remedy);
    putText(item, "author", plainText(record.author));
    putNumber(item, "base", record.base);
    putText(item, "publish_id", toHex(record.publishId));
    json_value edits = jsonArray();
    for (const edit &change : record.edits) {
        append(edits, json_value(json_string(plainText(toText(change)).c_str())));
    }
    put(item, "edits", std::move(edits));
    return item;
}

} // namespace

result<command_report> showPlace(cli_access &access, std::string_view placeText)
{
    BOOST_LEAF_AUTO(where, parsePlace(placeText));
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    const config_tree &tree = latest.state.tree;
    if (!hasPlace(tree, where)) {
        return fail(error_kind::InvalidTree,
                    "there is no place `" + toText(where) + "` in version " + std::to_string(latest.state.version),
                    "choose a place that `pistachioquay show` lists");
    }
    command_report report = startReport(latest);
    report.text = "version " + std::to_string(latest.state.version) + ", place " + toText(where) + "\n";
    putText(report.json, "place", toText(where));
    json_value values = jsonArray();
    for (const effective_value &value : effectiveValues(tree, where)) {
        report.text += lineOf(where, value);
        append(values, jsonOf(where, value));
    }
    put(report.json, "values", std::move(values));
    json_value places = jsonArray();
    for (const place &inner : placesOf(tree)) {
        const bool isDirect = where.dataCentre.empty() ? inner.service.empty()
                                                       : inner.dataCentre == where.dataCentre && !inner.service.empty();
        if (isDirect && where.service.empty()) {
            report.text += "place " + toText(inner) + "\n";
            append(places, json_value(json_string(toText(inner).c_str())));
        }
    }
    put(report.json, "places", std::move(places));
    return report;
}

result<command_report> getValue(cli_access &access, std::string_view pathText)
{
    BOOST_LEAF_AUTO(path, parsePath(pathText));
    BOOST_LEAF_CHECK(checkKey(path));
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    const auto found = findEffective(latest.state.tree, path.where, path.key);
    if (!found) {
        return fail(error_kind::InvalidTree,
                    "`" + toText(path) + "` has no value in version " + std::to_string(latest.state.version),
                    "list the values with `pistachioquay show " + toText(path.where) + "`");
    }
    command_report report = startReport(latest);
    report.text = lineOf(path.where, *found);
    put(report.json, "value", jsonOf(path.where, *found));
    return report;
}

result<command_report> exportTree(cli_access &access)
{
    BOOST_LEAF_AUTO(latest, readLatest(access.log));
    command_report report = startReport(latest);
    report.text = writeTreeFile(latest.state.tree, latest.state.version);
    putText(report.json, "toml", report.text);
    return report;
}

result<command_report> validateFile(std::string_view fileText)
{
    BOOST_LEAF_AUTO(file, readTreeFile(fileText));
    BOOST_LEAF_CHECK(validateTree(file.tree));
    const std::size_t places = placesOf(file.tree).size();
    const std::size_t values = countValues(file.tree);
    command_report report =
        makeReport(exit_code::Ok,
                   "valid: " + std::to_string(places) + " places, " + std::to_string(values) + " values\n");
    putNumber(report.json, "places", places);
    putNumber(report.json, "values", values);
    return report;
}

result<command_report> showHistory(cli_access &access, std::uint64_t limit)
{
    std::deque<history_entry> entries;
    const fold_visitor note = [&](const log_record &record, const fold_state &, const fold_verdict &verdict) {
        entries.push_front({record.offset, record.timeMs, decodeRecord(record.data), verdict});
        if (entries.size() > limit) {
            entries.pop_back();
        }
    };
    BOOST_LEAF_AUTO(latest, readHistory(access.log, limit, note));
    command_report report = startReport(latest);
    report.text = "version " + std::to_string(latest.state.version) + "\n";
    json_value records = jsonArray();
    for (const history_entry &entry : entries) {
        report.text += textOf(entry);
        append(records, jsonOf(entry));
    }
    put(report.json, "records", std::move(records));
    return report;
}

} // namespace pistachioquay
