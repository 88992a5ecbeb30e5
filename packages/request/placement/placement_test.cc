// Guards against herding (many nodes choose the same worker at once), uploads that queue behind a slow link, new
// workers that get no requests, and failing workers that keep getting them.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include "base/milliseconds.h"
#include "request/placement/placement.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock
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

// Places `count` requests, records each as sent, and returns the number per node.
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

TEST_CASE("a burst between two load reports is distributed over the workers")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-1"), workerOf("c", "dc-1")});
    const auto sent = sendMany(state, 30, requestOf());
    for (const auto &[node, count] : sent) {
        CHECK(count >= 7);
        CHECK(count <= 13);
    }
    CHECK(sent.size() == 3);
}

TEST_CASE("a faster worker gets more requests until its slots are in use")
{
    placement_state state = stateWith({workerOf("fast", "dc-1"), workerOf("slow", "dc-1")});
    recordWorkerRunTime(state, service, "fast", "sign", 60, start);
    recordWorkerRunTime(state, service, "slow", "sign", 120, start);
    const auto sent = sendMany(state, 18, requestOf());
    CHECK(sent.at("fast") > sent.at("slow"));
    CHECK(sent.at("slow") >= 3);
}

namespace {

// Report of a worker with all slots in use and this wait.
worker_report fullFor(double waitMs)
{
    worker_report full;
    full.running = 6;
    full.waitMs = {0, waitMs, waitMs};
    return full;
}

// Cost of sending a request without a body to another data centre and of its response.
double crossingCostMs(double trafficCostPerKb, double responseBytes)
{
    const double share = otherDataCentreShare + trafficCostPerKb * (headerBytes + responseBytes) / 1024.0;
    return requestOf().targetMs * share;
}

} // namespace

TEST_CASE("the own data centre is used until its wait exceeds the cost of another one")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "near");
    const double costMs = crossingCostMs(state.trafficCostPerKb, 0);
    recordReport(state, service, "near", fullFor(costMs * 0.8), start);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "near");
    recordReport(state, service, "near", fullFor(costMs * 1.2), start);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "far");
}

TEST_CASE("a request with a large response stays in the own data centre at a wait that sends others away")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    random_generator generator(5);
    recordReport(state, service, "near", fullFor(crossingCostMs(state.trafficCostPerKb, 0) * 1.2), start);
    recordResponseSize(state, "sign", 5000);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "near");
    for (int index = 0; index < 100; ++index) {
        recordResponseSize(state, "sign", 0);
    }
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "far");
}

TEST_CASE("without a traffic cost a short wait sends requests to another data centre")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    state.trafficCostPerKb = 0;
    recordResponseSize(state, "sign", 5000);
    recordReport(state, service, "near", fullFor(20), start);
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "far");
}

TEST_CASE("a request goes to another data centre if its own one would miss the target")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    recordReport(state, service, "near", fullFor(350), start);
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "far");
    CHECK(lateProbability(0, 100, 400) == 0);
    CHECK(lateProbability(350, 100, 400) > 0.5);
    CHECK(lateProbability(400, 100, 400) == 1);
}

TEST_CASE("an upload stays in the own data centre at a wait that sends a small request to another one")
{
    placement_state state = stateWith({workerOf("near", "dc-1"), workerOf("far", "dc-2")});
    recordReport(state, service, "near", fullFor(crossingCostMs(state.trafficCostPerKb, 0) * 1.2), start);
    random_generator generator(5);
    CHECK(chooseWorker(state, service, requestOf(), start, generator).nodeId == "far");
    CHECK(chooseWorker(state, service, requestOf(60000), start, generator).nodeId == "near");
}

TEST_CASE("uploads go to a slower worker if the link of the fast one is loaded")
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

TEST_CASE("a new worker gets requests before its run times are known")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-1")});
    recordWorkerRunTime(state, service, "a", "sign", 100, start);
    recordWorkerRunTime(state, service, "b", "sign", 100, start);
    setWorkers(state, service, {workerOf("a", "dc-1"), workerOf("b", "dc-1"), workerOf("new", "dc-1")});
    CHECK(sendMany(state, 18, requestOf()).at("new") >= 3);
}

TEST_CASE("a worker with a high failure rate gets no requests while another is healthy")
{
    placement_state state = stateWith({workerOf("good", "dc-1"), workerOf("grey", "dc-1")});
    worker_report failing;
    failing.failureShare = 0.5;
    recordReport(state, service, "grey", failing, start);
    CHECK(sendMany(state, 6, requestOf()).count("grey") == 0);
}

TEST_CASE("the backoff time of an unreachable worker grows with each failure")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-2")});
    random_generator generator(5);
    time_point now = start;
    startBackoff(state, service, "a", now);
    CHECK(chooseWorker(state, service, requestOf(), now, generator).nodeId == "b");
    now += initialBackoff;
    CHECK(chooseWorker(state, service, requestOf(), now, generator).nodeId == "a");
    startBackoff(state, service, "a", now);
    now += initialBackoff;
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

TEST_CASE("a data centre with several silent nodes counts as unreachable until one is heard from")
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

TEST_CASE("no worker is chosen if the service has none or all were tried")
{
    placement_state state = stateWith({workerOf("a", "dc-1")});
    random_generator generator(5);
    placement_request request = requestOf();
    request.excluded.insert("a");
    CHECK_FALSE(chooseWorker(state, service, request, start, generator).nodeId);
    CHECK_FALSE(chooseWorker(state, "unknown", requestOf(), start, generator).nodeId);
}

TEST_CASE("reports and run times that are no usable numbers do not prevent a choice")
{
    const double odd = GENERATE(std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity(),
                                -std::numeric_limits<double>::infinity(),
                                -1e300,
                                1e300,
                                -5.0);
    CAPTURE(odd);
    placement_state state = stateWith({workerOf("odd", "dc-1"), workerOf("good", "dc-1")});
    worker_report report;
    report.waitMs.fill(odd);
    report.failureShare = odd;
    report.slowdown = odd;
    report.linkLoad = odd;
    report.meanActiveRunMs = odd;
    report.transferWaitMs = odd;
    recordReport(state, service, "odd", report, start);
    recordWorkerRunTime(state, service, "odd", "sign", odd, start);
    recordWorkerRunTime(state, service, "good", "sign", 100, start);
    random_generator generator(5);
    const placement_choice choice = chooseWorker(state, service, requestOf(), start, generator);
    REQUIRE(choice.nodeId);
    CHECK(std::isfinite(choice.expectedMs));
    CHECK(choice.expectedWaitMs >= 0);
    placement_request last = requestOf();
    last.excluded.insert("good");
    CHECK(chooseWorker(state, service, last, start, generator).nodeId == "odd");
}

TEST_CASE("a choice includes the wait above which the second best worker is faster")
{
    placement_state state = stateWith({workerOf("a", "dc-1"), workerOf("b", "dc-1")});
    recordWorkerRunTime(state, service, "a", "sign", 100, start);
    recordWorkerRunTime(state, service, "b", "sign", 140, start);
    random_generator generator(5);
    const placement_choice choice = chooseWorker(state, service, requestOf(), start, generator);
    REQUIRE(choice.nodeId == "a");
    REQUIRE(choice.longestWaitMs);
    CHECK(*choice.longestWaitMs >= 40);
    CHECK(*choice.longestWaitMs <= 40 + 2 * handBackCostMs);
    placement_request last = requestOf();
    last.excluded.insert("b");
    CHECK_FALSE(chooseWorker(state, service, last, start, generator).longestWaitMs);
}

namespace {

// Simulates many senders with outdated load reports that share the same workers. Returns the mean wait in milliseconds.
double simulateStaleViews(bool canHandBack)
{
    constexpr unsigned workers = 10;
    constexpr unsigned slots = 6;
    constexpr double runMs = 80;
    constexpr int durationMs = 4000;
    constexpr double arrivalsPerMs = 0.8 * workers * slots / runMs;
    random_generator generator(9);
    std::vector<worker_entry> entries;
    for (unsigned index = 0; index < workers; ++index) {
        entries.push_back(workerOf("w" + std::to_string(index), "dc-1"));
    }
    std::vector<placement_state> senders(30, stateWith(entries));
    std::map<std::string, std::vector<double>> freeAt; // by worker: time at which each slot becomes free
    for (const worker_entry &entry : entries) {
        freeAt[entry.nodeId].assign(slots, 0.0);
    }
    std::exponential_distribution<double> run(1.0 / runMs);
    double arrivalsDue = 0;
    double totalWaitMs = 0;
    unsigned served = 0;
    for (int ms = 0; ms < durationMs; ++ms) {
        const time_point now = start + milliseconds(ms);
        for (arrivalsDue += arrivalsPerMs; arrivalsDue >= 1; arrivalsDue -= 1) {
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
                totalWaitMs += wait;
                ++served;
                break;
            }
        }
    }
    return totalWaitMs / served;
}

} // namespace

TEST_CASE("hand-backs from full workers reduce the mean wait when senders have outdated reports")
{
    const double withoutHandBacks = simulateStaleViews(false);
    const double withHandBacks = simulateStaleViews(true);
    INFO("mean wait " << withoutHandBacks << " ms without, " << withHandBacks << " ms with hand-backs");
    CHECK(withHandBacks < 0.7 * withoutHandBacks);
}

namespace {

enum class selection_rule : std::uint8_t
{
    Random,
    Scored,
};

struct simulation_result
{
    double foundWorkerFull = 0; // share of requests that found no free slot
    double sentToOtherDataCentre = 0; // share of requests
};

// Simulates a load of about two thirds of the slots with widely varying run times. Senders learn run times and load
// from the responses to their own requests and from a report about a random worker every `reportIntervalMs`.
simulation_result simulateNoisyRunTimes(selection_rule rule)
{
    constexpr unsigned workersPerDataCentre = 8;
    constexpr unsigned sendersPerDataCentre = 20;
    constexpr unsigned slots = 18;
    constexpr double runMs = 300;
    constexpr int durationMs = 5000;
    constexpr int reportIntervalMs = 30; // between two reports that a sender receives
    constexpr double meanWeight = 0.1;
    const std::vector<std::string> dataCentres = {"dc-1", "dc-2", "dc-3"};
    const double arrivalsPerMs = 0.65 * static_cast<double>(workersPerDataCentre * dataCentres.size() * slots) / runMs;
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
        worker_report workerReport;
        workerReport.running = static_cast<std::uint32_t>(std::ranges::count_if(worker.freeAt, [&](double end) {
            return end > nowMs;
        }));
        workerReport.waitMs.fill(std::max(0.0, std::ranges::min(worker.freeAt) - nowMs));
        recordReport(sender, service, nodeId, workerReport, now);
        recordWorkerRunTime(sender, service, nodeId, "sign", worker.meanMs, now);
    };
    std::lognormal_distribution<double> run(std::log(runMs) - 0.32, 0.8);
    double arrivalsDue = 0;
    unsigned sent = 0;
    unsigned full = 0;
    unsigned sentElsewhere = 0;
    for (int ms = 0; ms < durationMs; ++ms) {
        const time_point now = start + milliseconds(ms);
        if (ms % reportIntervalMs == 0) {
            for (placement_state &sender : senders) {
                report(sender, entries.at(generator() % entries.size()).nodeId, now);
            }
        }
        for (arrivalsDue += arrivalsPerMs; arrivalsDue >= 1; arrivalsDue -= 1) {
            placement_state &sender = senders.at(generator() % senders.size());
            const std::string nodeId = rule == selection_rule::Random
                ? entries.at(generator() % entries.size()).nodeId
                : chooseWorker(sender, service, request, now, generator).nodeId.value();
            simulated_worker &worker = workers[nodeId];
            const auto slot = std::ranges::min_element(worker.freeAt);
            full += *slot > ms ? 1 : 0;
            sentElsewhere += nodeId.starts_with(sender.dataCentre) ? 0 : 1;
            ++sent;
            const double sampledRunMs = run(generator);
            *slot = std::max<double>(*slot, ms) + sampledRunMs;
            worker.meanMs += meanWeight * (sampledRunMs - worker.meanMs);
            recordSentRequest(sender, service, nodeId, 0);
            report(sender, nodeId, now);
        }
    }
    return {static_cast<double>(full) / sent, static_cast<double>(sentElsewhere) / sent};
}

} // namespace

TEST_CASE("noisy run times neither herd requests onto one worker nor send many to other data centres")
{
    const simulation_result random = simulateNoisyRunTimes(selection_rule::Random);
    const simulation_result chosen = simulateNoisyRunTimes(selection_rule::Scored);
    INFO("found a full worker: " << chosen.foundWorkerFull << ", at random " << random.foundWorkerFull
                                 << "; sent to another data centre: " << chosen.sentToOtherDataCentre);
    CHECK(chosen.foundWorkerFull < random.foundWorkerFull);
    CHECK(chosen.sentToOtherDataCentre < 0.1);
}

namespace {

struct locality_result
{
    double sentElsewhere = 0; // share of the requests
    double onTime = 0; // share of the requests that met their target
};

// Simulates three data centres with unequal workers and demand: the one with most callers has one slow worker, another
// one has two fast ones. `load` is the share of all slots in use if every request ran on the worker of its choice.
locality_result simulateUnequalDataCentres(double trafficCostPerKb, double load)
{
    constexpr unsigned slots = 9;
    constexpr int durationMs = 20000;
    constexpr unsigned sendersPerDataCentre = 3;
    constexpr double targetMs = 200;
    constexpr std::size_t responseBytes = 5000;
    struct simulated_worker
    {
        std::string dataCentre;
        double runMs = 0;
        std::vector<double> freeAt = std::vector<double>(slots, 0.0);
    };
    std::map<std::string, simulated_worker> workers = {{"a-1", {"dc-1", 60}},
                                                       {"a-2", {"dc-1", 60}},
                                                       {"b-1", {"dc-2", 110}},
                                                       {"c-1", {"dc-3", 70}}};
    const std::vector<std::string> dataCentres = {"dc-1", "dc-2", "dc-3"};
    double capacityPerMs = 0;
    std::vector<worker_entry> entries;
    for (const auto &[id, worker] : workers) {
        capacityPerMs += slots / worker.runMs;
        entries.push_back(workerOf(id, worker.dataCentre));
        entries.back().slots = slots;
    }
    std::vector<placement_state> senders;
    for (const std::string &dataCentre : dataCentres) {
        for (unsigned index = 0; index < sendersPerDataCentre; ++index) {
            senders.push_back(stateWith(entries));
            senders.back().dataCentre = dataCentre;
            senders.back().trafficCostPerKb = trafficCostPerKb;
        }
    }
    placement_request request = requestOf();
    request.targetMs = targetMs;
    request.targetLeftMs = targetMs;
    request.timeLeftMs = 4 * targetMs;
    request.fallbackRunMs = 80;
    random_generator generator(17);
    std::discrete_distribution<std::size_t> drawDataCentre({0.32, 0.38, 0.30});
    std::lognormal_distribution<double> spread(-0.12, 0.5);
    double arrivalsDue = 0;
    unsigned sent = 0;
    locality_result result;
    for (int ms = 0; ms < durationMs; ++ms) {
        const time_point now = start + milliseconds(ms);
        for (arrivalsDue += load * capacityPerMs; arrivalsDue >= 1; arrivalsDue -= 1) {
            const std::size_t index =
                drawDataCentre(generator) * sendersPerDataCentre + generator() % sendersPerDataCentre;
            placement_state &sender = senders.at(index);
            const std::string nodeId = chooseWorker(sender, service, request, now, generator).nodeId.value();
            simulated_worker &worker = workers.at(nodeId);
            const auto slot = std::ranges::min_element(worker.freeAt);
            const double wait = std::max(0.0, *slot - ms);
            const double runMs = worker.runMs * spread(generator);
            *slot = ms + wait + runMs;
            ++sent;
            result.onTime += wait + runMs <= targetMs ? 1 : 0;
            result.sentElsewhere += worker.dataCentre == sender.dataCentre ? 0 : 1;
            recordSentRequest(sender, service, nodeId, 0);
            worker_report report;
            report.running = static_cast<std::uint32_t>(std::ranges::count_if(worker.freeAt, [&](double end) {
                return end > ms;
            }));
            report.waitMs.fill(std::max(0.0, std::ranges::min(worker.freeAt) - ms));
            recordReport(sender, service, nodeId, report, now);
            recordWorkerRunTime(sender, service, nodeId, "sign", worker.runMs, now);
            recordResponseSize(sender, "sign", responseBytes);
        }
    }
    result.onTime /= sent;
    result.sentElsewhere /= sent;
    return result;
}

} // namespace

TEST_CASE("at half load requests stay in their data centre, even if its worker is slower than others")
{
    const locality_result equal = simulateUnequalDataCentres(0, 0.5);
    const locality_result local = simulateUnequalDataCentres(defaultTrafficCostPerKb, 0.5);
    INFO("sent elsewhere: " << local.sentElsewhere << ", without a cost " << equal.sentElsewhere
                            << "; on time: " << local.onTime << ", " << equal.onTime);
    CHECK(local.sentElsewhere <= equal.sentElsewhere / 4);
    CHECK(local.onTime >= 0.95);
}

TEST_CASE("the excess of a data centre is sent to those with room")
{
    const locality_result equal = simulateUnequalDataCentres(0, 0.8);
    const locality_result local = simulateUnequalDataCentres(defaultTrafficCostPerKb, 0.8);
    INFO("sent elsewhere: " << local.sentElsewhere << ", without a cost " << equal.sentElsewhere
                            << "; on time: " << local.onTime << ", " << equal.onTime);
    CHECK(local.sentElsewhere < equal.sentElsewhere);
    CHECK(local.sentElsewhere > 0.1); // the data centre with most callers has room for less than half of them
    CHECK(local.onTime >= 0.9);
}

// Guards against requests that cross to data centres which are as loaded as the own one: their reports are old, and
// each crossing is paid for and refused there.
TEST_CASE("under an overload of all data centres, requests do not cross to workers with old reports")
{
    random_generator generator(5);
    placement_state state;
    state.nodeId = "a-1";
    state.dataCentre = "a";
    setWorkers(state, "orders", {{"a-2", 1, "a", 6}, {"a-3", 1, "a", 6}, {"b-1", 1, "b", 6}, {"c-1", 1, "c", 6}});
    const time_point now = start + seconds(10);
    worker_report crowded;
    crowded.running = 6;
    crowded.waiting = 12;
    crowded.waitMs.fill(300);
    crowded.meanActiveRunMs = 100;
    for (const char *node : {"b-1", "c-1"}) {
        recordReport(state, "orders", node, crowded, now - seconds(4));
    }
    for (const char *node : {"a-2", "a-3"}) {
        recordReport(state, "orders", node, crowded, now);
    }
    placement_request request;
    request.route = "orders";
    request.origin = request_origin::Worker;
    request.targetMs = 400;
    request.targetLeftMs = 400;
    request.timeLeftMs = 2000;
    REQUIRE(chooseWorker(state, "orders", request, now, generator).nodeId > "b"); // they seem to be idle by now
    for (int index = 0; index < 10; ++index) {
        recordRoom(state, "orders", "b-1", request, 300, now);
        recordRoom(state, "orders", "c-1", request, 300, now);
    }
    for (int index = 0; index < 50; ++index) {
        const placement_choice choice = chooseWorker(state, "orders", request, now, generator);
        REQUIRE(choice.nodeId);
        CHECK(choice.nodeId->starts_with("a-"));
    }
}

TEST_CASE("a data centre that refuses most requests of a service is left out for a moment, and tried again later")
{
    placement_state state;
    state.nodeId = "a-1";
    state.dataCentre = "a";
    setWorkers(state, "orders", {{"a-2", 1, "a", 6}, {"b-1", 1, "b", 6}});
    placement_request request;
    request.priority = 1;
    for (int index = 0; index < 8; ++index) {
        recordRoom(state, "orders", "b-1", request, std::nullopt, start);
        recordRoom(state, "orders", "a-2", request, std::nullopt, start);
    }
    CHECK(isDataCentreFull(state, "orders", "b", request, start));
    CHECK_FALSE(isDataCentreFull(state, "orders", "a", request, start)); // the own one refuses for itself
    CHECK_FALSE(isDataCentreFull(state, "history", "b", request, start));
    placement_request urgent = request;
    urgent.priority = 0;
    CHECK_FALSE(isDataCentreFull(state, "orders", "b", urgent, start));
    placement_request call = request;
    call.origin = request_origin::Worker;
    CHECK_FALSE(isDataCentreFull(state, "orders", "b", call, start));
    CHECK_FALSE(isDataCentreFull(state, "orders", "b", request, start + seconds(3)));

    random_generator generator(5);
    request.excluded = {"a-2"};
    CHECK_FALSE(chooseWorker(state, "orders", request, start, generator).nodeId);
    setWorkers(state, "orders", {{"b-1", 1, "b", 6}});
    CHECK(chooseWorker(state, "orders", request, start, generator).nodeId); // nobody else could serve it
}

TEST_CASE("a download goes to the worker whose link is free, and a small response is not affected")
{
    placement_state state = stateWith({workerOf("a", "dc-1", 1375), workerOf("b", "dc-1", 1375)});
    worker_report booked;
    booked.transferWaitMs = 500;
    booked.running = 1;
    worker_report busy;
    busy.running = 3;
    recordReport(state, service, "a", booked, start);
    recordReport(state, service, "b", busy, start);
    CHECK(sendMany(state, 1, requestOf()).contains("a"));
    recordReport(state, service, "a", booked, start);
    recordResponseSize(state, "sign", 90'000);
    CHECK(sendMany(state, 1, requestOf()).contains("b"));
}
