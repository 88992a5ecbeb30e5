// Guards against herds on one worker, uploads behind a slow link, new workers without requests, and failing workers
// that keep getting them.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>

#include "base/milliseconds.h"
#include "request/placement/placement.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero
const std::string service = "orders";

worker_entry workerOf(std::string nodeId, std::string dataCentre, double linkBytesPerMs = 0)
{
    return {std::move(nodeId), 1, std::move(dataCentre), 6, {}, linkBytesPerMs};
}

placement_request requestOf(std::size_t bytes = 0)
{
    placement_request request;
    request.route = "sign";
    request.priority = 1;
    request.bytes = bytes;
    request.targetMs = 400;
    request.targetLeftMs = 400;
    request.timeLeftMs = 2000;
    request.fallbackRunMs = 100;
    return request;
}

placement_state stateWith(std::vector<worker_entry> workers)
{
    placement_state state;
    state.nodeId = "self";
    state.dataCentre = "dc-1";
    setWorkers(state, service, std::move(workers));
    return state;
}

// Sends `count` requests, each counted as sent, and returns how many each node got.
std::map<std::string, unsigned> sendMany(placement_state &state, unsigned count, const placement_request &request)
{
    random_generator generator(5);
    std::map<std::string, unsigned> sent;
    for (unsigned index = 0; index < count; ++index) {
        const placement_choice choice = chooseWorker(state, service, request, start, generator);
        REQUIRE(choice.nodeId);
        ++sent[*choice.nodeId];
        recordSentRequest(state, service, *choice.nodeId, request.bytes);
    }
    return sent;
}

} // namespace

TEST_CASE("a burst between two reports is spread over the workers")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-1"), workerOf("c", "dc-1")});
    const auto sent = sendMany(state, 30, requestOf());
    for (const auto &[node, count] : sent) {
        CHECK(count >= 7);
        CHECK(count <= 13);
    }
    CHECK(sent.size() == 3);
}

TEST_CASE("a faster worker gets more until it is full")
{
    placement_state state = stateWith({workerOf("fast", "dc-1"), workerOf("slow", "dc-1")});
    recordWorkerRunTime(state, service, "fast", "sign", 60, start);
    recordWorkerRunTime(state, service, "slow", "sign", 120, start);
    const auto sent = sendMany(state, 18, requestOf());
    CHECK(sent.at("fast") > sent.at("slow"));
    CHECK(sent.at("slow") >= 3);
}

TEST_CASE("the own data centre is used until the wait there costs more")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "near");
    worker_report full;
    full.running = 6;
    full.waitMs = {0, 80, 80};
    recordReport(state, service, "near", full, start);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "far");
}

TEST_CASE("an upload stays in the data centre where a small request would leave it")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    worker_report full;
    full.running = 6;
    full.waitMs = {0, 80, 80};
    recordReport(state, service, "near", full, start);
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(60000), start, generator).nodeId == "near");
}

TEST_CASE("uploads leave a fast worker behind a filled link")
{
    const double slowLink = 875; // 7 Mbit/s
    placement_state state = stateWith({workerOf("fast", "dc-1", slowLink), workerOf("slow", "dc-1", slowLink)});
    recordWorkerRunTime(state, service, "fast", "sign", 100, start);
    recordWorkerRunTime(state, service, "slow", "sign", 200, start);
    worker_report filled;
    filled.linkLoad = 0.9;
    recordReport(state, service, "fast", filled, start);
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(60000), start, generator).nodeId == "slow");
    CHECK(chooseWorker(state, service, requestOf(0), start, generator).nodeId == "fast");
    recordReport(state, service, "fast", worker_report{}, start);
    const auto sent = sendMany(state, 10, requestOf(60000));
    CHECK(sent.at("slow") >= 3);
}

TEST_CASE("a new worker is tried before anything is known of it")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-1")});
    recordWorkerRunTime(state, service, "a", "sign", 100, start);
    recordWorkerRunTime(state, service, "b", "sign", 100, start);
    setWorkers(state, service, {workerOf("a", "dc-1"), workerOf("b", "dc-1"), workerOf("new", "dc-1")});
    CHECK(sendMany(state, 18, requestOf()).at("new") >= 3);
}

TEST_CASE("a worker whose requests fail is passed over")
{
    placement_state state = stateWith({workerOf("good", "dc-1"), workerOf("grey", "dc-1")});
    worker_report failing;
    failing.failureShare = 0.5;
    recordReport(state, service, "grey", failing, start);
    CHECK(sendMany(state, 6, requestOf()).count("grey") == 0);
}

TEST_CASE("an unreachable worker is avoided for longer each time")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-2")});
    random_generator generator(5);
    time_point now = start;
    startBackoff(state, service, "a", now);
    CHECK(chooseWorker(state, service, requestOf(), now, generator).nodeId == "b");
    now += avoidFirst;
    CHECK(chooseWorker(state, service, requestOf(), now, generator).nodeId == "a");
    startBackoff(state, service, "a", now);
    now += avoidFirst;
    CHECK(chooseWorker(state, service, requestOf(), now, generator).nodeId == "b");
}

TEST_CASE("a late request goes to a slow worker with a free slot, not to fast ones that would refuse it")
{
    placement_state state =
        stateWith({workerOf("fast-1", "dc-1"), workerOf("fast-2", "dc-1"), workerOf("slow", "dc-1")});
    worker_report full;
    full.running = 6;
    full.waitMs = {0, 80, 80};
    for (const std::string node : {"fast-1", "fast-2"}) {
        recordReport(state, service, node, full, start);
        recordWorkerRunTime(state, service, node, "sign", 100, start);
    }
    recordWorkerRunTime(state, service, "slow", "sign", 220, start);
    random_generator generator(5);
    placement_request request = requestOf();
    CHECK(chooseWorker(state, service, request, start, generator).nodeId != "slow");
    request.targetLeftMs = -50;
    CHECK(chooseWorker(state, service, request, start, generator).nodeId == "slow");
    request.targetLeftMs = 50;
    request.timeLeftMs = 250;
    full.meanActiveRunMs = 100;
    recordReport(state, service, "fast-1", full, start);
    CHECK(chooseWorker(state, service, request, start, generator).nodeId != "slow");
}

TEST_CASE("a data centre that falls silent is not tried node by node")
{
    placement_state state =
        stateWith({workerOf("a", "dc-2"), workerOf("b", "dc-2"), workerOf("c", "dc-2"), workerOf("d", "dc-3")});
    worker_report full;
    full.running = 6;
    full.waitMs = {0, 200, 200};
    recordReport(state, service, "d", full, start);
    random_generator generator(5);
    recordSilentNode(state, "dc-2", "a", start);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId != "d");
    recordSilentNode(state, "dc-2", "b", start);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "d");
    recordDataCentreContact(state, "dc-2");
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId != "d");
}

TEST_CASE("there is no choice without workers, or when all were tried")
{
    placement_state state = stateWith({workerOf("a", "dc-1")});
    random_generator generator(5);
    placement_request request = requestOf();
    request.excluded.insert("a");
    CHECK_FALSE(chooseWorker(state, service, request, start, generator).nodeId);
    CHECK_FALSE(chooseWorker(state, "unknown", requestOf(), start, generator).nodeId);
}

TEST_CASE("a choice names the wait from which the second best worker is faster")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-1")});
    recordWorkerRunTime(state, service, "a", "sign", 100, start);
    recordWorkerRunTime(state, service, "b", "sign", 140, start);
    random_generator generator(5);
    const placement_choice choice = chooseWorker(state, service, requestOf(), start, generator);
    REQUIRE(choice.nodeId == "a");
    REQUIRE(choice.longestWaitMs);
    CHECK(*choice.longestWaitMs >= 40);
    CHECK(*choice.longestWaitMs <= 40 + 2 * handBackMs);
    placement_request last = requestOf();
    last.excluded.insert("b");
    CHECK_FALSE(chooseWorker(state, service, last, start, generator).longestWaitMs);
}

namespace {

// Many nodes with old views fill the same workers. Returns the mean wait in milliseconds, with and without hand-backs.
double replayOldViews(bool canHandBack)
{
    constexpr unsigned workers = 10;
    constexpr unsigned slots = 6;
    constexpr double runMs = 80;
    constexpr int lengthMs = 4000;
    constexpr double perMs = 0.8 * workers * slots / runMs;
    random_generator generator(9);
    std::vector<worker_entry> entries;
    for (unsigned index = 0; index < workers; ++index) {
        entries.push_back(workerOf("w" + std::to_string(index), "dc-1"));
    }
    std::vector<placement_state> senders(30, stateWith(entries));
    std::map<std::string, std::vector<double>> freeAt; // by worker: when each slot is free
    for (const worker_entry &entry : entries) {
        freeAt[entry.nodeId].assign(slots, 0.0);
    }
    std::exponential_distribution<double> run(1.0 / runMs);
    double due = 0;
    double waited = 0;
    unsigned served = 0;
    for (int ms = 0; ms < lengthMs; ++ms) {
        const time_point now = start + milliseconds(ms);
        for (due += perMs; due >= 1; due -= 1) {
            placement_state &sender = senders.at(generator() % senders.size());
            const double nowMs = ms;
            for (unsigned handBacks = 0;; ++handBacks) {
                const placement_choice choice = chooseWorker(sender, service, requestOf(), now, generator);
                std::vector<double> &ends = freeAt.at(*choice.nodeId);
                const auto first = std::ranges::min_element(ends);
                const double wait = std::max(0.0, *first - nowMs);
                worker_report report;
                report.running = static_cast<std::uint32_t>(std::ranges::count_if(ends, [&](double end) {
                    return end > nowMs;
                }));
                report.waitMs.fill(wait);
                recordSentRequest(sender, service, *choice.nodeId, 0);
                const bool isHandedBack =
                    canHandBack && handBacks < 2 && choice.longestWaitMs && wait > *choice.longestWaitMs;
                recordReport(sender, service, *choice.nodeId, report, now);
                if (isHandedBack) {
                    continue;
                }
                *first = std::max(*first, nowMs) + run(generator);
                waited += wait;
                ++served;
                break;
            }
        }
    }
    return waited / served;
}

} // namespace

TEST_CASE("nodes whose views are old wait less when a full worker's node hands requests back")
{
    const double simple = replayOldViews(false);
    const double withHandBacks = replayOldViews(true);
    INFO("mean wait " << simple << " ms without, " << withHandBacks << " ms with hand-backs");
    CHECK(withHandBacks < 0.7 * simple);
}

namespace {

enum class placement_rule : std::uint8_t
{
    Random,
    Chosen,
};

struct herd_report
{
    double metFull = 0; // share of requests that found no free slot
    double leftDataCentre = 0; // share of requests
};

// Two thirds of the slots are used; run times vary widely, and nodes know them and the occupation of workers from their
// own responses and from a few datagrams a second.
herd_report replayNoisyRuns(placement_rule rule)
{
    constexpr unsigned workersPerDataCentre = 8;
    constexpr unsigned sendersPerDataCentre = 20;
    constexpr unsigned slots = 18;
    constexpr double runMs = 300;
    constexpr int lengthMs = 5000;
    constexpr int newsMs = 30; // between two reports that a sender hears of
    constexpr double learnWeight = 0.1;
    const std::vector<std::string> dataCentres = {"dc-1", "dc-2", "dc-3"};
    const double perMs = 0.65 * static_cast<double>(workersPerDataCentre * dataCentres.size() * slots) / runMs;
    random_generator generator(11);
    std::vector<worker_entry> entries;
    for (const std::string &dataCentre : dataCentres) {
        for (unsigned index = 0; index < workersPerDataCentre; ++index) {
            worker_entry entry = workerOf(dataCentre + "-" + std::to_string(index), dataCentre);
            entry.slots = slots;
            entries.push_back(entry);
        }
    }
    struct simulated_worker
    {
        std::vector<double> freeAt = std::vector<double>(slots, 0.0);
        double meanMs = runMs;
    };
    std::map<std::string, simulated_worker> workers;
    std::vector<placement_state> senders;
    for (const std::string &dataCentre : dataCentres) {
        for (unsigned index = 0; index < sendersPerDataCentre; ++index) {
            senders.push_back(stateWith(entries));
            senders.back().dataCentre = dataCentre;
        }
    }
    placement_request request = requestOf();
    request.targetMs = 1000;
    request.targetLeftMs = 1000;
    request.timeLeftMs = 4000;
    request.fallbackRunMs = runMs;
    const auto report = [&](placement_state &sender, const std::string &nodeId, time_point now) {
        const simulated_worker &worker = workers[nodeId];
        const double nowMs = msBetween(start, now);
        worker_report told;
        told.running = static_cast<std::uint32_t>(std::ranges::count_if(worker.freeAt, [&](double end) {
            return end > nowMs;
        }));
        told.waitMs.fill(std::max(0.0, std::ranges::min(worker.freeAt) - nowMs));
        recordReport(sender, service, nodeId, told, now);
        recordWorkerRunTime(sender, service, nodeId, "sign", worker.meanMs, now);
    };
    std::lognormal_distribution<double> run(std::log(runMs) - 0.32, 0.8);
    double due = 0;
    unsigned sent = 0;
    unsigned full = 0;
    unsigned left = 0;
    for (int ms = 0; ms < lengthMs; ++ms) {
        const time_point now = start + milliseconds(ms);
        if (ms % newsMs == 0) {
            for (placement_state &sender : senders) {
                report(sender, entries.at(generator() % entries.size()).nodeId, now);
            }
        }
        for (due += perMs; due >= 1; due -= 1) {
            placement_state &sender = senders.at(generator() % senders.size());
            const std::string nodeId = rule == placement_rule::Random
                ? entries.at(generator() % entries.size()).nodeId
                : chooseWorker(sender, service, request, now, generator).nodeId.value();
            simulated_worker &worker = workers[nodeId];
            const auto slot = std::ranges::min_element(worker.freeAt);
            full += *slot > ms ? 1 : 0;
            left += nodeId.starts_with(sender.dataCentre) ? 0 : 1;
            ++sent;
            const double took = run(generator);
            *slot = std::max<double>(*slot, ms) + took;
            worker.meanMs += learnWeight * (took - worker.meanMs);
            recordSentRequest(sender, service, nodeId, 0);
            report(sender, nodeId, now);
        }
    }
    return {static_cast<double>(full) / sent, static_cast<double>(left) / sent};
}

} // namespace

TEST_CASE("chance in measured run times makes no herd on one worker and sends nothing to other data centres")
{
    const herd_report random = replayNoisyRuns(placement_rule::Random);
    const herd_report chosen = replayNoisyRuns(placement_rule::Chosen);
    INFO("met a full worker: " << chosen.metFull << ", at random " << random.metFull
                               << "; left the data centre: " << chosen.leftDataCentre);
    CHECK(chosen.metFull < random.metFull);
    CHECK(chosen.leftDataCentre < 0.1);
}
