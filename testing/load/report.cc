#include "testing/load/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

#include "testing/harness/json.h"

namespace pistachioquay {

namespace {

double toMillis(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::size_t &counterOf(class_figures &figures, request_outcome outcome)
{
    const std::array<std::size_t *, 8> counters = {&figures.whole,
                                                   &figures.notRun,
                                                   &figures.noConnection,
                                                   &figures.unknown,
                                                   &figures.errors,
                                                   &figures.failed,
                                                   &figures.truncated,
                                                   &figures.crossed};
    return *counters.at(static_cast<std::size_t>(outcome));
}

// The figures of those results that `isWanted` selects.
template<class Filter>
class_figures
figuresOf(std::string name, const std::vector<request_result> &results, duration time, const Filter &isWanted)
{
    class_figures figures;
    figures.name = std::move(name);
    std::vector<double> latencies;
    for (const request_result &result : results) {
        if (!isWanted(result)) {
            continue;
        }
        ++figures.sent;
        ++counterOf(figures, result.outcome);
        if (result.outcome == request_outcome::Whole) {
            latencies.push_back(toMillis(result.latency));
        }
    }
    std::ranges::sort(latencies);
    figures.goodput = time > duration(0) ? static_cast<double>(figures.whole) / toSeconds(time) : 0;
    figures.p50Ms = percentile(latencies, 0.5);
    figures.p99Ms = percentile(latencies, 0.99);
    figures.p999Ms = percentile(latencies, 0.999);
    figures.maxMs = latencies.empty() ? 0 : latencies.back();
    return figures;
}

struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
};

std::vector<figure> listOf(const class_figures &of)
{
    const auto count = [](std::size_t value) {
        return static_cast<double>(value);
    };
    return {{"sent", count(of.sent), "1"},
            {"whole", count(of.whole), "1"},
            {"not_run", count(of.notRun), "1"},
            {"no_connection", count(of.noConnection), "1"},
            {"unknown", count(of.unknown), "1"},
            {"errors", count(of.errors), "1"},
            {"failed", count(of.failed), "1"},
            {"truncated", count(of.truncated), "1"},
            {"crossed", count(of.crossed), "1"},
            {"goodput", of.goodput, "1/s"},
            {"p50", of.p50Ms, "ms"},
            {"p99", of.p99Ms, "ms"},
            {"p99.9", of.p999Ms, "ms"},
            {"max", of.maxMs, "ms"}};
}

json_t *toObject(const std::vector<class_figures> &list)
{
    json_t *object = json_object();
    for (const class_figures &each : list) {
        json_t *values = json_object();
        for (const figure &one : listOf(each)) {
            json_object_set_new(values, one.name.c_str(), json_real(one.value));
        }
        json_object_set_new(object, each.name.c_str(), values);
    }
    return object;
}

void writeList(std::ostringstream &text, std::string_view name, const std::vector<std::string> &ids)
{
    constexpr std::size_t shownIds = 5;
    text << "check." << name << ' ' << ids.size() << " 1\n";
    for (std::size_t index = 0; index < std::min(ids.size(), shownIds); ++index) {
        text << "# " << name << ": " << ids[index] << '\n';
    }
}

} // namespace

double percentile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

load_figures summarise(const load_plan &plan, const std::vector<request_result> &results)
{
    load_figures figures;
    for (std::size_t index = 0; index < plan.classes.size(); ++index) {
        const std::string &name = plan.classes[index].name;
        figures.classes.push_back(figuresOf(name, results, runTime(plan), [&](const request_result &result) {
            return result.planned.classIndex == index;
        }));
        for (std::size_t step = 0; step < plan.steps.size(); ++step) {
            const std::string stepName = "step" + std::to_string(step + 1) + "." + name;
            const auto isWanted = [&](const request_result &result) {
                return result.planned.classIndex == index && result.planned.step == step;
            };
            figures.steps.push_back(figuresOf(stepName, results, plan.steps[step].time, isWanted));
        }
    }
    figures.classes.push_back(figuresOf("all", results, runTime(plan), [](const request_result &) {
        return true;
    }));
    for (const request_result &result : results) {
        figures.maxSendDelayMs = std::max(figures.maxSendDelayMs, toMillis(result.sendDelay));
    }
    return figures;
}

double goodputBetween(const std::vector<request_result> &results, duration from, duration to, duration limit)
{
    const auto isGood = [&](const request_result &result) {
        return result.outcome == request_outcome::Whole && result.planned.at >= from && result.planned.at < to
            && result.latency <= limit;
    };
    return to > from ? static_cast<double>(std::ranges::count_if(results, isGood)) / toSeconds(to - from) : 0;
}

std::string toLines(const load_figures &figures)
{
    std::ostringstream text;
    for (const auto *list : {&figures.classes, &figures.steps}) {
        for (const class_figures &each : *list) {
            for (const figure &one : listOf(each)) {
                text << each.name << '.' << one.name << ' ' << one.value << ' ' << one.unit << '\n';
            }
        }
    }
    text << "generator.max_send_delay " << figures.maxSendDelayMs << " ms\n";
    return text.str();
}

std::string toJson(const load_figures &figures)
{
    const json_holder root(json_object());
    json_object_set_new(root.get(), "classes", toObject(figures.classes));
    json_object_set_new(root.get(), "steps", toObject(figures.steps));
    json_object_set_new(root.get(), "max_send_delay_ms", json_real(figures.maxSendDelayMs));
    return toText(root.get());
}

bool run_check::isClean() const
{
    return doubled.empty() && falseNotRun.empty() && missing.empty() && truncated.empty() && crossed.empty();
}

run_check
checkRuns(const load_plan &plan, const std::vector<request_result> &results, const std::vector<run_entry> &runs)
{
    std::map<std::string, std::size_t> counts;
    for (const run_entry &run : runs) {
        ++counts[run.request.requestId];
    }
    run_check check;
    for (const request_result &result : results) {
        const auto found = counts.find(result.id);
        const std::size_t count = found == counts.end() ? 0 : found->second;
        const bool saysNotRun =
            result.outcome == request_outcome::NotRun || result.outcome == request_outcome::NoConnection;
        if (count > 1 && !plan.classes[result.planned.classIndex].isIdempotent) {
            check.doubled.push_back(result.id);
        }
        if (count > 0 && saysNotRun) {
            check.falseNotRun.push_back(result.id);
        }
        if (count == 0 && result.outcome == request_outcome::Whole) {
            check.missing.push_back(result.id);
        }
        if (result.outcome == request_outcome::Truncated) {
            check.truncated.push_back(result.id);
        }
        if (result.outcome == request_outcome::Crossed) {
            check.crossed.push_back(result.id);
        }
    }
    return check;
}

std::string toLines(const run_check &check)
{
    std::ostringstream text;
    writeList(text, "doubled", check.doubled);
    writeList(text, "false_not_run", check.falseNotRun);
    writeList(text, "missing", check.missing);
    writeList(text, "truncated", check.truncated);
    writeList(text, "crossed", check.crossed);
    return text.str();
}

} // namespace pistachioquay
