// Guards the program itself against the real log client and a log that loses responses: arguments, output and exit
// codes.
#include <catch2/catch.hpp>

#include <fstream>

#include "pistachioquay/tree_file.h"
#include "testing/harness/cluster.h"
#include "testing/harness/http.h"

using namespace pistachioquay;

namespace {

const std::string startFile = R"(# base_version = 0
[policy.lookup]
class = "lookup"
deadline_ms = 800
idempotent = true
)";

template<class Function>
auto require(Function &&function)
{
    auto value = attempt(std::forward<Function>(function));
    if (!value) {
        FAIL(describe(value.failure()));
    }
    return *std::move(value);
}

void write(const std::string &name, const std::string &text)
{
    std::ofstream(name) << text;
}

struct run_result
{
    int code = -1;
    std::string output;
};

// Runs the program with the settings of `folder`.
run_result run(const temp_folder &folder, std::vector<std::string> arguments)
{
    const std::string logFile = folder.file("output");
    std::remove(logFile.c_str());
    arguments.insert(arguments.begin(), {"--settings", folder.file("settings.toml")});
    auto child = require([&] {
        return startProcess({programPath("packages/pistachioquay/pistachioquay"), arguments, logFile});
    });
    const auto status = child.waitForExit(seconds(30));
    return {status ? status->code : -1, child.log()};
}

stand_in startLog(const temp_folder &folder)
{
    auto log = require([&] {
        return startPlatformLog(folder, "log");
    });
    write(folder.file("settings.toml"),
          "[platform]\nlog = \"" + toText(log.address) + "\"\n[operator]\nname = \"awa\"\n");
    write(folder.file("tree.toml"), startFile);
    return log;
}

} // namespace

TEST_CASE("the program publishes, shows, and tells its exit codes")
{
    const temp_folder folder;
    auto log = startLog(folder);
    const std::string tree = folder.file("tree.toml");
    CHECK(run(folder, {"validate", tree}).code == 0);
    CHECK(run(folder, {"publish", tree}).output == "accepted at version 1\n");
    const run_result set =
        run(folder, {"set", "-/-/policy/lookup/deadline_ms", "650", "-/-/policy/lookup/retries", "2"});
    CHECK(set.output == "accepted at version 2\n");
    CHECK(run(folder, {"get", "-/-/policy/lookup/retries"}).output == "-/-/policy/lookup/retries = 2  (-/-)\n");
    CHECK(run(folder, {"--output", "json", "get", "-/-/policy/lookup/retries"}).output.find("\"value\":2")
          != std::string::npos);
    CHECK(run(folder, {"set", "-/-/policy/lookup/deadline_ms", "soon"}).code == 1);
    CHECK(run(folder, {"dance"}).code == 2);
    CHECK(run(folder, {"--help"}).code == 0);
    log.process.kill();
    CHECK(run(folder, {"show"}).code == 3);
}

TEST_CASE("the program finds its record when the log loses the response")
{
    const temp_folder folder;
    const auto log = startLog(folder);
    REQUIRE(httpPost(log.address, "/test/faults", R"({"lose_responses": 1})").status == 200);
    const run_result published = run(folder, {"publish", folder.file("tree.toml")});
    INFO(published.output);
    CHECK(published.code == 0);
    CHECK(run(folder, {"history"}).output.find("2  ") == std::string::npos);
}

TEST_CASE("an append that the log refuses for good is reported as not published")
{
    const temp_folder folder;
    const auto log = startLog(folder);
    REQUIRE(httpPost(log.address, "/test/faults", R"({"reject_appends": true})").status == 200);
    const run_result refused = run(folder, {"publish", folder.file("tree.toml")});
    INFO(refused.output);
    CHECK(refused.code == 3);
}
