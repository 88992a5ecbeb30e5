// Guards requests against the death, the pause and the shutdown of workers and nodes under load: the callers' outcomes
// are compared with the workers' own records.
#include <algorithm>
#include <future>
#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include "testing/harness/raw_socket.h"
#include "testing/load/report.h"
#include "testing/process/mesh.h"

using namespace pistachioquay;

namespace {

constexpr std::uint64_t loadSeed = 20'262;

constexpr std::string_view tree = R"(
[policy.browse]
class = "interactive"
idempotent = true
deadline_ms = 5000
retries = 2
hedge_after_ms = 0

[policy.order]
class = "interactive"
idempotent = false
deadline_ms = 5000
retries = 2
hedge_after_ms = 0

[policy.photo]
class = "upload"
idempotent = false
deadline_ms = 20000
retries = 0
hedge_after_ms = 0

[data_centre.be-1.service.orders.route.browse]
prefix = "/browse"
policy = "browse"
[data_centre.be-1.service.orders.route.order]
prefix = "/order"
policy = "order"
[data_centre.be-1.service.orders.route.photo]
prefix = "/photo"
policy = "photo"
[data_centre.be-1.service.desk]
)";

mesh startOrders(std::size_t desks, std::size_t workers)
{
    std::vector<mesh_part> parts{{"be-1", "orders", workers}};
    if (desks > 0) {
        parts.push_back({"be-1", "desk", desks});
    }
    mesh running = startMesh(parts);
    const std::uint64_t version = publishText(running, tree, "", 0);
    REQUIRE(waitForVersion(running, version, convergenceBound));
    return running;
}

load_class classOf(const char *name, const char *method, bool isIdempotent)
{
    load_class wanted;
    wanted.name = name;
    wanted.path = std::string("/") + name;
    wanted.method = method;
    wanted.isIdempotent = isIdempotent;
    wanted.requestBytes = isIdempotent ? 0 : 512;
    wanted.service = {50};
    return wanted;
}

// Both classes at a third of what four workers can do, sent to the callers' ports of the nodes from `firstEntry` on.
load_plan mixedPlan(const mesh &running, std::size_t firstEntry, milliseconds time)
{
    load_plan plan;
    plan.seed = loadSeed;
    plan.classes = {classOf("browse", "GET", true), classOf("order", "POST", false)};
    plan.steps = {{150, time}};
    for (std::size_t index = firstEntry; index < running.nodes.size(); ++index) {
        plan.targets.push_back(running.nodes[index].node.settings.callerAddress);
    }
    return plan;
}

std::vector<run_entry> allRuns(const mesh &running)
{
    std::vector<run_entry> all;
    for (const worker_node &each : running.nodes) {
        const std::vector<run_entry> some = readRecordFile(each.upstream.recordFile);
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

std::future<std::vector<request_result>> startLoad(const load_plan &plan)
{
    return std::async(std::launch::async, [plan] {
        return requireValue([&] {
            return runLoad(plan);
        });
    });
}

void checkRecords(const mesh &running, const load_plan &plan, const std::vector<request_result> &results)
{
    const run_check check = checkRuns(plan, results, allRuns(running));
    INFO(toLines(check) << toLines(summarise(plan, results)));
    CHECK(check.doubled.empty());
    CHECK(check.falseNotRun.empty());
    CHECK(check.missing.empty());
    CHECK(check.truncated.empty());
    CHECK(check.crossed.empty());
}

// Requests that are not idempotent end as response, `not-run` or `unknown`.
void checkOrdersAreTold(const load_plan &plan, const std::vector<request_result> &results)
{
    const std::set<request_outcome> allowed{request_outcome::Whole, request_outcome::NotRun, request_outcome::Unknown};
    const class_figures orders = summarise(plan, results).classes.at(1);
    INFO("orders: errors " << orders.errors << ", failed " << orders.failed << ", no connection " << orders.noConnection
                           << ", unknown " << orders.unknown);
    CHECK(std::ranges::all_of(results, [&](const request_result &result) {
        return result.planned.classIndex == 0 || allowed.contains(result.outcome);
    }));
}

void checkBrowsesAreWhole(const load_plan &plan, const std::vector<request_result> &results)
{
    const class_figures browses = summarise(plan, results).classes.at(0);
    INFO("browses: not run " << browses.notRun << ", unknown " << browses.unknown << ", errors " << browses.errors
                             << ", failed " << browses.failed);
    CHECK(browses.whole == browses.sent);
}

http_answer callSlow(const endpoint &entry, const std::string &id)
{
    test_call call;
    call.address = entry;
    call.path = "/browse";
    call.headers = {{"X-Test-Service-Ms", "2000"}, {"X-Test-Request-Id", id}};
    return httpCall(call);
}

// Sends an upload in pieces over about 5 s and returns the whole response text. Nodes forward a body once they hold its
// first 64 KiB, so the worker begins to run it after 0.4 s.
std::string uploadSlowly(const endpoint &entry, const std::string &id)
{
    constexpr std::size_t pieces = 50;
    constexpr std::size_t pieceBytes = 20'000;
    pistachioquay::testing::raw_connection caller(entry);
    bool isSent = caller.send("POST /photo HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\nX-Test-Request-Id: " + id
                              + "\r\nX-Test-Service-Ms: 1\r\nContent-Length: " + std::to_string(pieces * pieceBytes)
                              + "\r\n\r\n");
    for (std::size_t index = 0; index < pieces && isSent; ++index) {
        isSent = caller.send(std::string(pieceBytes, 'x'));
        std::this_thread::sleep_for(milliseconds(100));
    }
    return caller.receiveAll();
}

} // namespace

TEST_CASE("a worker killed during calls: others answer idempotent requests, and no other request runs twice")
{
    mesh running = startOrders(0, 4);
    const load_plan plan = mixedPlan(running, 0, milliseconds(4000));
    auto load = startLoad(plan);
    std::this_thread::sleep_for(milliseconds(1500));
    running.nodes.front().upstream.process.kill();
    const std::vector<request_result> results = load.get();
    checkRecords(running, plan, results);
    checkOrdersAreTold(plan, results);
    checkBrowsesAreWhole(plan, results);
}

TEST_CASE("a node killed during calls: others answer idempotent requests, and no other request runs twice")
{
    mesh running = startOrders(0, 4);
    const load_plan plan = mixedPlan(running, 1, milliseconds(4000));
    auto load = startLoad(plan);
    std::this_thread::sleep_for(milliseconds(1500));
    running.nodes.front().node.process.kill();
    const std::vector<request_result> results = load.get();
    checkRecords(running, plan, results);
    checkOrdersAreTold(plan, results);
    checkBrowsesAreWhole(plan, results);
}

TEST_CASE("a node that resumes after a pause of 4 s runs nothing a second time")
{
    mesh running = startOrders(0, 4);
    const load_plan plan = mixedPlan(running, 1, milliseconds(8000));
    auto load = startLoad(plan);
    std::this_thread::sleep_for(milliseconds(1500));
    REQUIRE(running.nodes.front().node.process.send(SIGSTOP));
    std::this_thread::sleep_for(milliseconds(4000));
    REQUIRE(running.nodes.front().node.process.send(SIGCONT));
    const std::vector<request_result> results = load.get();
    checkRecords(running, plan, results);
    checkOrdersAreTold(plan, results);
}

TEST_CASE("a node that shuts down cuts no request in flight, gets no new work after 3 s, and exits with 0")
{
    mesh running = startOrders(1, 2);
    const endpoint entry = running.nodes.back().node.settings.callerAddress;
    worker_node &leaving = running.nodes.front();
    std::vector<std::future<http_answer>> calls;
    std::vector<std::future<std::string>> uploads;
    for (int index = 0; index < 4; ++index) {
        calls.push_back(std::async(std::launch::async, callSlow, entry, "slow-" + std::to_string(index)));
        uploads.push_back(std::async(std::launch::async, uploadSlowly, entry, "upload-" + std::to_string(index)));
    }
    const auto runs = [&](const char *path) {
        return std::ranges::any_of(readRecordFile(leaving.upstream.recordFile), [&](const run_entry &run) {
            return run.request.path == path;
        });
    };
    const auto runsBoth = [&] {
        return runs("/browse") && runs("/photo");
    };
    // The entry node draws the workers at random, so the leaving one may have got only one kind of the first requests.
    bool hasBoth = waitUntil(runsBoth, milliseconds(1000));
    for (int extra = 4; extra < 8 && !hasBoth; ++extra) {
        if (!runs("/browse")) {
            calls.push_back(std::async(std::launch::async, callSlow, entry, "slow-" + std::to_string(extra)));
        }
        if (!runs("/photo")) {
            uploads.push_back(std::async(std::launch::async, uploadSlowly, entry, "upload-" + std::to_string(extra)));
        }
        hasBoth = waitUntil(runsBoth, milliseconds(250));
    }
    INFO("runs of the workers:\n" << entriesToJson(allRuns(running)));
    REQUIRE(hasBoth);

    const std::int64_t stoppedAt = unixNowMs();
    leaving.node.process.send(SIGTERM);
    load_plan plan = mixedPlan(running, 2, milliseconds(5000));
    plan.steps = {{40, milliseconds(5000)}};
    const std::vector<request_result> results = startLoad(plan).get();
    for (auto &call : calls) {
        const http_answer answer = call.get();
        INFO(answer.failure << answer.body);
        CHECK(answer.status == 200);
        CHECK(answer.isWhole);
    }
    for (auto &upload : uploads) {
        const std::string text = upload.get();
        INFO(text);
        CHECK(text.starts_with("HTTP/1.1 200"));
        CHECK(text.find("\"bytes\":1000000") != std::string::npos);
    }
    CHECK(leaving.node.process.waitForExit(milliseconds(10'000)) == exit_status{0, 0});
    CHECK(std::ranges::none_of(readRecordFile(leaving.upstream.recordFile), [&](const run_entry &run) {
        return run.startMs > stoppedAt + 3000;
    }));
    checkRecords(running, plan, results);
    checkBrowsesAreWhole(plan, results);
}
