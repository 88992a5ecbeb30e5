// Open-loop load generator.
#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

#include "testing/harness/process.h"
#include "testing/load/report.h"

using namespace pistachioquay;

namespace {

constexpr const char *usage = R"(Open-loop load generator. Exits with 1 if the check against the records fails.

Usage:
  load --plan=FILE [--record=FILE]... [--json] <target>...
  load --help
  load --version

Options:
  --plan=FILE    Plan in JSON; see testing/load/plan.h.
  --record=FILE  Record of a worker, to check for doubled runs and false refusals; may be repeated.
  --json         Print JSON in place of lines `name value unit`.
)";

using arguments = std::map<std::string, docopt::value>;

result<load_plan> readPlan(arguments &given)
{
    BOOST_LEAF_AUTO(plan, planFromJson(readFile(given["--plan"].asString())));
    for (const std::string &target : given["<target>"].asStringList()) {
        BOOST_LEAF_AUTO(address, parseEndpoint(target));
        plan.targets.push_back(address);
    }
    return plan;
}

std::vector<run_entry> readRecords(const std::vector<std::string> &paths)
{
    std::vector<run_entry> runs;
    for (const std::string &path : paths) {
        const std::vector<run_entry> some = readRecordFile(path);
        runs.insert(runs.end(), some.begin(), some.end());
    }
    return runs;
}

result<bool> run(arguments &given)
{
    BOOST_LEAF_AUTO(plan, readPlan(given));
    BOOST_LEAF_AUTO(results, runLoad(plan));
    const load_figures figures = summarise(plan, results);
    std::cout << (given["--json"].asBool() ? toJson(figures) + "\n" : toLines(figures));
    const std::vector<std::string> paths = given["--record"].asStringList();
    if (paths.empty()) {
        return true;
    }
    const run_check check = checkRuns(plan, results, readRecords(paths));
    (given["--json"].asBool() ? std::cerr : std::cout) << toLines(check);
    return check.isClean();
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto given = docopt::docopt(usage, {argv + 1, argv + argc}, true, PISTACHIOQUAY_VERSION);
    const auto isClean = attempt([&] {
        return run(given);
    });
    if (!isClean) {
        std::cerr << describe(isClean.failure()) << '\n';
        return 2;
    }
    return *isClean ? 0 : 1;
}
