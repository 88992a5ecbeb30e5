#include "pistachioquay/burn_report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <span>

#include "pistachioquay/commands.h"
#include "pistachioquay/json.h"
#include "pistachioquay/status.h"

namespace pistachioquay {

namespace {

// Nodes asked at once. A node responds in about a millisecond, so 8,400 nodes take about a second.
constexpr std::size_t parallelFetches = 16;

burn_counts countsFrom(const json_t *object)
{
    return {
        .targetPercent = json_number_value(json_object_get(object, "target_percent")),
        .shortTotal = numberAt(object, "short_total"),
        .shortBad = numberAt(object, "short_bad"),
        .longTotal = numberAt(object, "long_total"),
        .longBad = numberAt(object, "long_bad"),
    };
}

void mergeService(burn_table &table, const std::string &dataCentre, const std::string &service, json_t *figures)
{
    const char *objective = nullptr;
    json_t *counts = nullptr;
    json_object_foreach(json_object_get(figures, "objectives"), objective, counts)
    {
        burn_counts &kept = table[{dataCentre, service, objective}];
        kept = addCounts(kept, countsFrom(counts));
    }
}

struct fetched_report
{
    std::string control;
    outcome<std::string> body;
};

std::vector<fetched_report> fetchAll(const cli_access &access, std::span<const node_status> nodes)
{
    std::vector<std::future<fetched_report>> open;
    std::ranges::transform(nodes, std::back_inserter(open), [&](const node_status &each) {
        return std::async(std::launch::async, [&access, &each] {
            return fetched_report{each.control, attempt([&]() -> result<std::string> {
                                      BOOST_LEAF_AUTO(control, parseEndpoint(each.control));
                                      return access.fetchReport(control);
                                  })};
        });
    });
    std::vector<fetched_report> done;
    std::ranges::transform(open, std::back_inserter(done), [](auto &each) {
        return each.get();
    });
    return done;
}

std::string lineOf(const burn_key &key, const burn_counts &counts)
{
    constexpr std::size_t maxLine = 256;
    std::array<char, maxLine> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-16s %-20s %-14s %8.3f%% %9.2f %9.2f %10llu %8llu%s\n",
                  key.dataCentre.c_str(),
                  key.service.c_str(),
                  key.objective.c_str(),
                  counts.targetPercent,
                  burnRate(counts.shortTotal, counts.shortBad, counts.targetPercent),
                  burnRate(counts.longTotal, counts.longBad, counts.targetPercent),
                  static_cast<unsigned long long>(counts.longTotal),
                  static_cast<unsigned long long>(counts.longBad),
                  isBurning(counts) ? "  burning" : "");
    return line.data();
}

json_value jsonOf(const burn_key &key, const burn_counts &counts)
{
    json_value item = jsonObject();
    putText(item, "data_centre", key.dataCentre);
    putText(item, "service", key.service);
    putText(item, "objective", key.objective);
    put(item, "target_percent", json_value(json_real(counts.targetPercent)));
    put(item, "burn_5m", json_value(json_real(burnRate(counts.shortTotal, counts.shortBad, counts.targetPercent))));
    put(item, "burn_1h", json_value(json_real(burnRate(counts.longTotal, counts.longBad, counts.targetPercent))));
    putNumber(item, "requests_1h", counts.longTotal);
    putNumber(item, "bad_1h", counts.longBad);
    putFlag(item, "burning", isBurning(counts));
    return item;
}

command_report reportOf(const burn_table &table)
{
    const bool isAnyBurning = std::ranges::any_of(table, [](const auto &each) {
        return isBurning(each.second);
    });
    command_report report =
        makeReport(isAnyBurning ? exit_code::Burning : exit_code::Ok,
                   "DATA CENTRE      SERVICE              OBJECTIVE         TARGET   BURN 5M   BURN 1H "
                   "REQUESTS 1H   BAD 1H\n");
    json_value list = jsonArray();
    for (const auto &[key, counts] : table) {
        report.text += lineOf(key, counts);
        append(list, jsonOf(key, counts));
    }
    put(report.json, "objectives", std::move(list));
    return report;
}

} // namespace

result<void> mergeReport(burn_table &table, std::string_view body)
{
    const json_value root = readJson(body);
    json_t *services = root ? json_object_get(root.get(), "services") : nullptr;
    if (!json_is_object(services)) {
        return fail(error_kind::Corrupt,
                    "the response is no report of a node",
                    "check that the address is a control port of pistachioquayd");
    }
    const std::string dataCentre = textAt(root.get(), "data_centre");
    const char *service = nullptr;
    json_t *figures = nullptr;
    json_object_foreach(services, service, figures)
    {
        mergeService(table, dataCentre, service, figures);
    }
    return {};
}

bool isBurning(const burn_counts &counts)
{
    return burnRate(counts.shortTotal, counts.shortBad, counts.targetPercent) > 1
        && burnRate(counts.longTotal, counts.longBad, counts.targetPercent) > 1;
}

result<command_report> showBurn(cli_access &access)
{
    const fleet_status fleet = readFleet(access);
    if (fleet.nodes.empty()) {
        return fail(error_kind::Unavailable,
                    "no node responded",
                    "check that the nodes run and that `nodes.control` names their control addresses");
    }
    burn_table table;
    std::vector<std::string> warnings = fleet.failures;
    for (std::size_t first = 0; first < fleet.nodes.size(); first += parallelFetches) {
        const std::size_t count = std::min(parallelFetches, fleet.nodes.size() - first);
        for (const fetched_report &each : fetchAll(access, std::span(fleet.nodes).subspan(first, count))) {
            const auto merged = attempt([&]() -> result<void> {
                return each.body ? mergeReport(table, *each.body) : fail(each.body.failure());
            });
            if (!merged) {
                warnings.push_back(each.control + ": " + describe(merged.failure()));
            }
        }
    }
    command_report report = reportOf(table);
    report.warnings = std::move(warnings);
    return report;
}

} // namespace pistachioquay
