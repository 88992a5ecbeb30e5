// Guards measured figures and checks against a generator that is late, sends twice, or overlooks a damaged response.
#include <catch2/catch.hpp>

#include <thread>

#include "testing/harness/cluster.h"
#include "testing/harness/http.h"
#include "testing/harness/json.h"
#include "testing/harness/raw_socket.h"
#include "testing/load/generator.h"
#include "testing/load/report.h"
#include "testing/load/response_check.h"

using namespace pistachioquay;

namespace {

load_class makeClass(std::string name, double share, service_options service)
{
    load_class wanted;
    wanted.name = std::move(name);
    wanted.path = "/work";
    wanted.share = share;
    wanted.service = service;
    return wanted;
}

load_plan makePlan()
{
    load_plan plan;
    plan.targets = {endpoint{"127.0.0.1", 1}};
    plan.classes = {makeClass("short", 3, {1, service_shape::Fixed}),
                    makeClass("long", 1, {5, service_shape::Exponential})};
    plan.steps = {{100, seconds(10)}, {300, seconds(10)}};
    return plan;
}

load_plan planFor(const stand_in &worker, double perSecond, milliseconds time)
{
    load_plan plan;
    plan.targets = {worker.address};
    plan.classes = {makeClass("post", 1, {1, service_shape::Fixed})};
    plan.classes[0].method = "POST";
    plan.classes[0].isIdempotent = false;
    plan.steps = {{perSecond, time}};
    return plan;
}

std::vector<request_result> runPlan(const load_plan &plan)
{
    return requireValue([&] {
        return runLoad(plan);
    });
}

class_figures figuresOf(const load_plan &plan, const std::vector<request_result> &results)
{
    return summarise(plan, results).classes.back();
}

request_result makeResult(std::string id, request_outcome outcome)
{
    request_result result;
    result.id = std::move(id);
    result.outcome = outcome;
    return result;
}

run_entry makeRun(std::string id)
{
    run_entry entry;
    entry.request.requestId = std::move(id);
    return entry;
}

} // namespace

TEST_CASE("arrivals repeat for a seed, follow the rate of each step and the shares")
{
    const load_plan plan = makePlan();
    const std::vector<arrival> arrivals = planArrivals(plan);
    CHECK(arrivals == planArrivals(plan));
    CHECK(std::ranges::is_sorted(arrivals, {}, &arrival::at));
    const auto first = std::ranges::count(arrivals, std::size_t{0}, &arrival::step);
    const auto second = std::ranges::count(arrivals, std::size_t{1}, &arrival::step);
    CHECK(static_cast<double>(first) == Approx(1000).epsilon(0.1));
    CHECK(static_cast<double>(second) == Approx(3000).epsilon(0.1));
    const auto shorts = std::ranges::count(arrivals, std::size_t{0}, &arrival::classIndex);
    CHECK(static_cast<double>(shorts) == Approx(0.75 * static_cast<double>(arrivals.size())).epsilon(0.1));
    load_plan other = plan;
    other.seed = 2;
    CHECK(arrivals != planArrivals(other));
}

TEST_CASE("evenly spaced arrivals have equal gaps, and a rate of 0 sends nothing")
{
    load_plan plan = makePlan();
    plan.isEvenlySpaced = true;
    plan.steps = {{0, seconds(1)}, {100, seconds(1)}};
    const std::vector<arrival> arrivals = planArrivals(plan);
    CHECK(arrivals.size() == 99);
    CHECK(arrivals.front().at == milliseconds(1010));
    CHECK(arrivals[1].at - arrivals[0].at == milliseconds(10));
}

TEST_CASE("a plan is read from JSON, and a plan without steps or class names is refused")
{
    const load_plan plan = requireValue([] {
        return planFromJson(R"({"seed": 7, "run": "r", "connections": 20, "steps": [{"per_s": 50, "ms": 100}],
            "classes": [{"name": "upload", "method": "PUT", "path": "/p", "share": 2, "idempotent": false, "key": true,
            "request_bytes": 10, "response_bytes": 20, "service_ms": 3, "service_shape": "lognormal",
            "timeout_ms": 40, "headers": {"X-A": "b"}}]})");
    });
    CHECK(plan.seed == 7);
    CHECK(plan.connectionsPerTarget == 20);
    CHECK(plan.steps.front().time == milliseconds(100));
    const load_class &upload = plan.classes.front();
    CHECK(upload.method == "PUT");
    CHECK_FALSE(upload.isIdempotent);
    CHECK(upload.hasKey);
    CHECK(upload.requestBytes == 10);
    CHECK(upload.service.shape == service_shape::LogNormal);
    CHECK(upload.timeout == milliseconds(40));
    CHECK(upload.headers.at("X-A") == "b");
    for (const char *text : {"", "{}", R"({"steps": [{}], "classes": [{}]})", R"({"classes": [{"name": "a"}]})"}) {
        CHECK_FALSE(attempt([&] {
            return planFromJson(text);
        }));
    }
}

TEST_CASE("percentiles follow the nearest rank")
{
    std::vector<double> values;
    for (int value = 1; value <= 1000; ++value) {
        values.push_back(value);
    }
    CHECK(percentile(values, 0.5) == 500);
    CHECK(percentile(values, 0.99) == 990);
    CHECK(percentile(values, 0.999) == 999);
    CHECK(percentile(values, 1) == 1000);
    CHECK(percentile({7}, 0.5) == 7);
    CHECK(percentile({}, 0.5) == 0);
}

TEST_CASE("each kind of response gets its outcome")
{
    const expected_response expected{"r-1", 3, 10};
    const std::string good = R"({"request_id": "r-1", "bytes": 3, "padding": ""})";
    CHECK(classify({200, "", good}, expected) == request_outcome::Whole);
    CHECK(classify({200, "", good.substr(0, 20)}, expected) == request_outcome::Truncated);
    CHECK(classify({200, "", ""}, expected) == request_outcome::Truncated);
    CHECK(classify({200, "", good}, {"r-1", 3, 1000}) == request_outcome::Truncated);
    CHECK(classify({200, "", good}, {"r-1", 4, 10}) == request_outcome::Truncated);
    CHECK(classify({200, "", good}, {"r-2", 3, 10}) == request_outcome::Crossed);
    CHECK(classify({503, "not-run", "{}"}, expected) == request_outcome::NotRun);
    CHECK(classify({502, "unknown", "{}"}, expected) == request_outcome::Unknown);
    CHECK(classify({500, "", "{}"}, expected) == request_outcome::Error);
}

TEST_CASE("the check finds doubled, falsely refused, missing, truncated and crossed requests")
{
    load_plan plan = makePlan();
    plan.classes[0].isIdempotent = false;
    const std::vector<request_result> results = {makeResult("good", request_outcome::Whole),
                                                 makeResult("twice", request_outcome::Whole),
                                                 makeResult("liar", request_outcome::NotRun),
                                                 makeResult("closed", request_outcome::NoConnection),
                                                 makeResult("refused", request_outcome::NotRun),
                                                 makeResult("invented", request_outcome::Whole),
                                                 makeResult("cut", request_outcome::Truncated),
                                                 makeResult("foreign", request_outcome::Crossed)};
    const std::vector<run_entry> runs = {makeRun("good"),
                                         makeRun("twice"),
                                         makeRun("twice"),
                                         makeRun("liar"),
                                         makeRun("closed"),
                                         makeRun("cut"),
                                         makeRun("foreign")};
    const run_check check = checkRuns(plan, results, runs);
    CHECK(check.doubled == std::vector<std::string>{"twice"});
    CHECK(check.falseNotRun == std::vector<std::string>{"liar", "closed"});
    CHECK(check.missing == std::vector<std::string>{"invented"});
    CHECK(check.truncated == std::vector<std::string>{"cut"});
    CHECK(check.crossed == std::vector<std::string>{"foreign"});
    CHECK_FALSE(check.isClean());
    plan.classes[0].isIdempotent = true;
    CHECK(checkRuns(plan, results, runs).doubled.empty());
    CHECK(checkRuns(plan, {results[0]}, runs).isClean());
}

TEST_CASE("a run against a healthy worker is whole, and each request ran once")
{
    const temp_folder folder;
    const auto worker = requireValue([&] {
        return startUpstream(folder, "worker", {"--slots=18"});
    });
    load_plan plan = planFor(worker, 200, milliseconds(500));
    plan.classes.push_back(makeClass("large", 1, {2, service_shape::LogNormal}));
    plan.classes[1].method = "PUT";
    plan.classes[1].requestBytes = 200'000;
    plan.classes[1].responseBytes = 100'000;
    const std::vector<request_result> results = runPlan(plan);
    const class_figures figures = figuresOf(plan, results);
    CHECK(figures.sent == planArrivals(plan).size());
    CHECK(figures.whole == figures.sent);
    CHECK(figures.p50Ms > 0);
    CHECK(checkRuns(plan, results, readRecordFile(worker.recordFile)).isClean());
    CHECK(toLines(summarise(plan, results)).find("large.p99.9 ") != std::string::npos);
    CHECK(parseJson(toJson(summarise(plan, results))) != nullptr);
}

TEST_CASE("latency counts from the planned time, so that waiting for a connection shows")
{
    const temp_folder folder;
    const auto worker = requireValue([&] {
        return startUpstream(folder, "worker", {"--slots=18"});
    });
    load_plan plan = planFor(worker, 100, milliseconds(100));
    plan.isEvenlySpaced = true;
    plan.connectionsPerTarget = 1;
    plan.classes[0].service.meanMs = 50;
    const std::vector<request_result> results = runPlan(plan);
    REQUIRE(results.size() == 9);
    CHECK(figuresOf(plan, results).whole == 9);
    CHECK(results.back().latency >= milliseconds(9 * 50 - 90));
}

TEST_CASE("truncated and foreign responses, and a worker that is gone, are told apart")
{
    const temp_folder folder;
    auto worker = requireValue([&] {
        return startUpstream(folder, "worker");
    });
    load_plan plan = planFor(worker, 100, milliseconds(100));
    REQUIRE(httpPost(worker.address, "/test/behaviour", R"({"truncate": true})").status == 200);
    class_figures figures = figuresOf(plan, runPlan(plan));
    CHECK(figures.failed == figures.sent);
    REQUIRE(httpPost(worker.address, "/test/behaviour", R"({"truncate": false, "swap_ids": true})").status == 200);
    figures = figuresOf(plan, runPlan(plan));
    CHECK(figures.crossed == figures.sent);
    worker.process.kill();
    figures = figuresOf(plan, runPlan(plan));
    CHECK(figures.sent > 0);
    CHECK(figures.noConnection == figures.sent);
}

TEST_CASE("a response whose head ends early is a failed request, whatever the head says")
{
    testing::raw_server server([](testing::raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send("HTTP/1.1 503 Busy\r\nX-Pq-Outcome: not-run\r\n");
    });
    load_plan plan = makePlan();
    plan.targets = {server.address()};
    plan.steps = {{20, milliseconds(500)}};
    const std::vector<request_result> results = runPlan(plan);
    REQUIRE_FALSE(results.empty());
    CHECK(std::ranges::all_of(results, [](const request_result &result) {
        return result.outcome == request_outcome::Failed;
    }));
}

TEST_CASE("a request whose response is lost on a kept connection is not sent again")
{
    const temp_folder folder;
    const auto log = requireValue([&] {
        return startPlatformLog(folder, "log");
    });
    load_plan plan = planFor(log, 50, milliseconds(600));
    plan.isEvenlySpaced = true;
    plan.connectionsPerTarget = 1;
    plan.classes[0].path = "/v1/streams/test/records";
    std::vector<request_result> results;
    {
        const std::jthread fault([&] {
            std::this_thread::sleep_for(milliseconds(300));
            httpPost(log.address, "/test/faults", R"({"lose_responses": 1})");
        });
        results = runPlan(plan);
    }
    const class_figures figures = figuresOf(plan, results);
    CHECK(figures.sent == 29);
    CHECK(figures.failed == 1);
    const json_holder stats = parseJson(httpGet(log.address, "/test/stats").body);
    CHECK(integerIn(json_object_get(stats.get(), "test"), "appends", 0) == 29);
}

TEST_CASE("goodput of a window counts whole responses within the limit")
{
    std::vector<request_result> results(10, makeResult("r", request_outcome::Whole));
    for (std::size_t index = 0; index < results.size(); ++index) {
        results[index].planned.at = milliseconds(100 * static_cast<std::int64_t>(index));
        results[index].latency = milliseconds(10);
    }
    results[6].latency = seconds(5);
    results[7].outcome = request_outcome::Failed;
    CHECK(goodputBetween(results, milliseconds(500), milliseconds(1000), seconds(1)) == Approx(6));
}

TEST_CASE("a choice made at the time of each request replaces the drawn target")
{
    const temp_folder folder;
    const stand_in first = requireValue([&] {
        return startUpstream(folder, "first");
    });
    const stand_in second = requireValue([&] {
        return startUpstream(folder, "second");
    });
    load_plan plan = planFor(first, 100, milliseconds(500));
    plan.targets.push_back(second.address);
    std::size_t next = 0;
    plan.chooseTarget = [&] {
        return next++ == 0 ? std::size_t{0} : std::size_t{1};
    };
    const std::vector<request_result> results = runPlan(plan);
    CHECK(figuresOf(plan, results).whole == results.size());
    CHECK(readRecordFile(first.recordFile).size() == 1);
    CHECK(readRecordFile(second.recordFile).size() == results.size() - 1);
}
