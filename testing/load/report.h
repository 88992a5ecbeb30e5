// Figures of a load run, and the check of its results against the records of the workers.
//
//   const load_figures figures = summarise(plan, results);
//   std::cout << toLines(figures);
//   const run_check check = checkRuns(plan, results, readRecordFile(worker.recordFile));
//   REQUIRE(check.isClean());
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testing/load/generator.h"
#include "testing/upstream/run_record.h"

namespace pistachioquay {

// Figures of one class in one step, or in the whole run. Latencies are those of whole responses.
struct class_figures
{
    std::string name; // class, or "step N.class"
    std::size_t sent = 0;
    std::size_t whole = 0;
    std::size_t notRun = 0;
    std::size_t noConnection = 0;
    std::size_t unknown = 0;
    std::size_t errors = 0;
    std::size_t failed = 0;
    std::size_t truncated = 0;
    std::size_t crossed = 0;
    double goodput = 0; // whole responses per second of planned time
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double maxMs = 0;
};

struct load_figures
{
    std::vector<class_figures> classes; // the whole run by class, then "all"
    std::vector<class_figures> steps; // by step and class
    double maxSendDelayMs = 0; // how late the generator itself was at worst
};

// percentile returns the value at `fraction` (0 to 1) of a sorted list by nearest rank; 0 for an empty list. Thread
// safe.
double percentile(const std::vector<double> &sorted, double fraction);

// summarise computes the figures. Thread safe.
load_figures summarise(const load_plan &plan, const std::vector<request_result> &results);

// goodputBetween returns whole responses per second that were planned in [from, to) and ended within `limit`. Thread
// safe.
double goodputBetween(const std::vector<request_result> &results, duration from, duration to, duration limit);

// toLines writes one line "name value unit" for each figure. Thread safe.
std::string toLines(const load_figures &figures);

// toJson writes the figures as one JSON object. Thread safe.
std::string toJson(const load_figures &figures);

// What the records of the workers tell against the results. Each list holds request ids.
struct run_check
{
    std::vector<std::string> doubled; // ran more than once, of classes that are not idempotent
    std::vector<std::string> falseNotRun; // reported as not run, or not connected, but ran
    std::vector<std::string> missing; // a whole response without a run
    std::vector<std::string> truncated;
    std::vector<std::string> crossed;

    // isClean tells whether all lists are empty.
    bool isClean() const;
};

// checkRuns compares results with the runs of all workers. Thread safe.
run_check
checkRuns(const load_plan &plan, const std::vector<request_result> &results, const std::vector<run_entry> &runs);

// toLines writes one line "check.name count 1" for each list, and the first ids of lists that are not empty. Thread
// safe.
std::string toLines(const run_check &check);

} // namespace pistachioquay
