// Compares a queue and a placement that follow the learned capacity of workers with ones that use the reported slots,
// on a simulated clock and with the same arrivals. It drives the decision functions only. Prints `name value unit`;
// seeds are fixed.
//
// Names are <scene>.<load in percent of what the workers complete at best>.<learned or fixed>.<measure>, and
// An argument limits it to one scene.
// choice.<workers>.<learned or fixed>: processor time of one choice of a worker, with learned slots in the reports or
// without.
#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <functional>
#include <iostream>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "base/milliseconds.h"
#include "request/capacity/capacity.h"
#include "request/placement/placement.h"
#include "request/run_time/run_time.h"
#include "request/waiting/waiting.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};
const std::string service = "orders";
const std::string route = "sign";
constexpr std::uint32_t slots = 18;
constexpr std::size_t senderCount = 4; // nodes that place requests
constexpr int lengthMs = 60'000;
constexpr int firstCountedMs = 5'000; // earlier requests meet nodes that have measured nothing
constexpr int reportIntervalMs = 400;
constexpr double targetMs = 1000;
constexpr double deadlineMs = 4000;
constexpr double spread = 0.4; // of the logarithm of the run times
constexpr double tailShare = 0.03; // of runs that take seven times as long
constexpr double tailFactor = 7;
constexpr std::uint64_t seedCount = 4; // runs of each scene, whose requests are taken together

// Run time relative to a request alone, by the number of running requests and the time.
using run_factor = std::function<double(double running, int ms)>;

double flat(double /*running*/, int /*ms*/)
{
    return 1;
}

double growing(double running, int /*ms*/)
{
    return 1 + 0.055 * running;
}

run_factor kneeAt(double knee)
{
    return [knee](double running, int /*ms*/) {
        return running <= knee ? 1.0 : std::pow(running / knee, 2.0);
    };
}

double withNeighbours(double /*running*/, int ms)
{
    return ms % 4000 < 600 ? 2.5 : 1.0;
}

double movingKnee(double running, int ms)
{
    return ms % 30'000 < 15'000 ? 1.0 : kneeAt(6)(running, ms);
}

struct worker_plan
{
    double runMs = 200; // of a request alone
    run_factor factor = flat;
    double bestRunning = slots; // number of running requests at which it completes most
};

struct scene
{
    std::string name;
    std::vector<worker_plan> workers;
};

struct request_state
{
    int arrivedMs = 0;
    std::size_t worker = 0;
    double leftMs = 0; // at the speed of a request alone
    run_start began;
    double endedMs = -1; // -1: refused
};

struct worker_node
{
    worker_plan plan;
    request_queue queue;
    worker_capacity capacity;
    run_time_estimates runTimes;
    std::vector<std::size_t> running;
};

struct result
{
    double inTime = 0;
    double late = 0;
    double refused = 0;
    double limitSum = 0; // over time and workers
    std::vector<double> latencies;
};

class simulation
{
public:
    simulation(const scene &played, double load, bool isLearning, std::uint64_t seed)
        : m_isLearning(isLearning)
        , m_arrivals(seed)
        , m_others(seed + 1000)
    {
        std::vector<worker_entry> entries;
        for (std::size_t index = 0; index < played.workers.size(); ++index) {
            const worker_plan &plan = played.workers[index];
            m_workers.push_back({plan});
            m_workers.back().queue.slots = slots;
            setReportedSlots(m_workers.back().capacity, slots, start);
            entries.push_back({std::to_string(index), 1, "dc", slots});
            m_arrivalsPerMs += load * plan.bestRunning / plan.factor(plan.bestRunning, 0) / plan.runMs;
        }
        for (placement_state &sender : m_senders) {
            sender.nodeId = "sender";
            sender.dataCentre = "dc";
            setWorkers(sender, service, entries);
        }
    }

    result run()
    {
        for (m_nowMs = 0; m_nowMs < lengthMs; ++m_nowMs) {
            std::poisson_distribution<int> count(m_arrivalsPerMs);
            for (int arrivals = count(m_arrivals); arrivals > 0; --arrivals) {
                arrive();
            }
            for (worker_node &worker : m_workers) {
                step(worker);
            }
            if (m_nowMs % reportIntervalMs == 0) {
                for (placement_state &sender : m_senders) {
                    for (std::size_t index = 0; index < m_workers.size(); ++index) {
                        sendReport(sender, index);
                    }
                }
            }
        }
        return count();
    }

private:
    time_point now() const
    {
        return start + milliseconds(m_nowMs);
    }
    void sendReport(placement_state &to, std::size_t index)
    {
        const worker_node &worker = m_workers[index];
        worker_report report;
        report.running = static_cast<std::uint32_t>(worker.queue.running.size());
        report.waiting = static_cast<std::uint32_t>(worker.queue.waiting.size());
        report.waitMs.fill(expectedWaitMs(worker.queue, 0, now()));
        report.meanActiveRunMs = meanActiveRunMs(worker.queue);
        if (m_isLearning) {
            report.usableSlots = worker.capacity.limit;
        }
        recordReport(to, service, std::to_string(index), report, now());
        if (worker.runTimes.routes.contains(route)) {
            recordWorkerRunTime(to,
                                service,
                                std::to_string(index),
                                route,
                                expectedRunMs(worker.runTimes, route, 0),
                                now());
        }
    }
    void arrive()
    {
        placement_request request;
        request.route = route;
        request.targetMs = request.targetLeftMs = targetMs;
        request.timeLeftMs = deadlineMs;
        request.fallbackRunMs = targetMs / 4;
        placement_state &sender = m_senders.at(m_requests.size() % senderCount);
        const placement_choice choice = chooseWorker(sender, service, request, now(), m_others);
        const std::size_t index = std::stoul(*choice.nodeId);
        recordSentRequest(sender, service, *choice.nodeId, 0);
        worker_node &worker = m_workers[index];
        std::lognormal_distribution<double> run(std::log(worker.plan.runMs) - spread * spread / 2, spread);
        std::uniform_real_distribution<double> draw(0, 1);
        const double runMs = run(m_arrivals);
        m_requests.push_back({m_nowMs, index, runMs * (draw(m_arrivals) < tailShare ? tailFactor : 1.0)});
        queued_request queued;
        queued.ticket = m_requests.size() - 1;
        queued.arrivedAt = now();
        queued.targetAt = now() + fromMs(targetMs);
        queued.requestDeadline = now() + fromMs(deadlineMs);
        queued.expectedRunMs = expectedRunMs(worker.runTimes, route, request.fallbackRunMs);
        if (enqueue(worker.queue, queued, now(), m_others).kind == enqueue_outcome::Run) {
            begin(worker, queued.ticket);
        }
        sendReport(sender, index);
    }
    void begin(worker_node &worker, std::size_t ticket)
    {
        m_requests[ticket].began = beginRun(worker.capacity, now());
        worker.running.push_back(ticket);
    }
    void step(worker_node &worker)
    {
        m_limitSum += worker.queue.slots;
        const double done = 1 / worker.plan.factor(static_cast<double>(worker.running.size()), m_nowMs);
        for (const std::size_t ticket : worker.running) {
            m_requests[ticket].leftMs -= done;
        }
        const std::size_t ended = std::erase_if(worker.running, [&](std::size_t ticket) {
            request_state &request = m_requests[ticket];
            if (request.leftMs > 0) {
                return false;
            }
            request.endedMs = m_nowMs;
            recordRunTime(worker.runTimes, route, msBetween(request.began.at, now()), now());
            endRun(worker.capacity, {request.began, route, run_end::Succeeded}, now());
            pistachioquay::finish(worker.queue, ticket);
            return true;
        });
        if (ended > 0 || !worker.queue.waiting.empty()) {
            if (m_isLearning) {
                advance(worker.capacity, worker.queue.waiting.size(), now());
                worker.queue.slots = slotsInForce(worker.capacity);
            }
            removeUnservable(worker.queue, now(), m_others);
            for (auto ticket = startNext(worker.queue, now()); ticket; ticket = startNext(worker.queue, now())) {
                begin(worker, *ticket);
            }
        }
    }
    result count() const
    {
        result counted;
        counted.limitSum = m_limitSum;
        for (const request_state &request : m_requests) {
            if (request.arrivedMs < firstCountedMs || request.arrivedMs > lengthMs - deadlineMs) {
                continue;
            }
            const double latency = request.endedMs - request.arrivedMs;
            (request.endedMs < 0 ? counted.refused : latency <= targetMs ? counted.inTime : counted.late) += 1;
            if (request.endedMs >= 0) {
                counted.latencies.push_back(latency);
            }
        }
        return counted;
    }

    bool m_isLearning;
    int m_nowMs = 0;
    double m_arrivalsPerMs = 0;
    double m_limitSum = 0;
    std::vector<worker_node> m_workers;
    std::array<placement_state, senderCount> m_senders;
    std::vector<request_state> m_requests; // by ticket
    random_generator m_arrivals; // and run times
    random_generator m_others;
};

void compare(const scene &played, double load)
{
    for (const bool isLearning : {false, true}) {
        result all;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            const result one = simulation(played, load, isLearning, seed).run();
            all.inTime += one.inTime;
            all.late += one.late;
            all.refused += one.refused;
            all.limitSum += one.limitSum;
            all.latencies.insert(all.latencies.end(), one.latencies.begin(), one.latencies.end());
        }
        const double total = all.inTime + all.late + all.refused;
        std::ranges::sort(all.latencies);
        const std::string prefix = played.name + "." + std::to_string(static_cast<int>(std::lround(load * 100)))
            + (isLearning ? ".learned." : ".fixed.");
        std::cout << prefix << "in_time " << 100 * all.inTime / total << " %\n"
                  << prefix << "late " << 100 * all.late / total << " %\n"
                  << prefix << "refused_or_lost " << 100 * all.refused / total << " %\n"
                  << prefix << "mean_slots "
                  << all.limitSum / static_cast<double>(seedCount * lengthMs * played.workers.size()) << " slots\n"
                  << prefix << "p99 " << all.latencies[all.latencies.size() * 99 / 100] << " ms\n";
    }
}

double choiceMicroseconds(std::size_t workerCount, bool isLearned)
{
    constexpr int choices = 2000;
    random_generator generator(1);
    placement_state state;
    state.nodeId = "sender";
    state.dataCentre = "dc";
    std::vector<worker_entry> entries;
    for (std::size_t index = 0; index < workerCount; ++index) {
        entries.push_back({std::to_string(index), 1, "dc", slots});
    }
    setWorkers(state, service, entries);
    for (std::size_t index = 0; index < workerCount; ++index) {
        worker_report report;
        report.running = index % slots;
        report.usableSlots = isLearned ? slots / 2 : 0;
        recordReport(state, service, std::to_string(index), report, start);
        recordWorkerRunTime(state, service, std::to_string(index), route, 100.0 + index % 7, start);
    }
    placement_request request;
    request.route = route;
    request.targetMs = request.targetLeftMs = targetMs;
    request.timeLeftMs = deadlineMs;
    const std::clock_t before = std::clock();
    for (int index = 0; index < choices; ++index) {
        chooseWorker(state, service, request, start, generator);
    }
    return 1e6 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / choices;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    const worker_plan usual;
    const worker_plan early{200, kneeAt(6), 6};
    const worker_plan middle{350, kneeAt(9), 9};
    const std::vector<scene> scenes = {
        {"equal_flat", {usual, usual, usual, usual}},
        {"equal_growing", {{200, growing}, {200, growing}, {200, growing}, {200, growing}}},
        {"equal_neighbours",
         {{200, withNeighbours}, {200, withNeighbours}, {200, withNeighbours}, {200, withNeighbours}}},
        {"unequal_speed", {{200, flat}, {350, growing}, {600, flat}, {350, growing}}},
        {"unequal_knee", {usual, early, middle, usual}},
        {"moving_knee", {usual, {200, movingKnee, 12}, {200, movingKnee, 12}, usual}},
    };
    std::cout << "seeds 1.." << seedCount << " of each\n";
    for (const scene &played : scenes) {
        for (const double load : {0.6, 0.9, 1.2}) {
            if (!only.empty() && only != played.name) {
                continue;
            }
            compare(played, load);
        }
    }
    for (const std::size_t workerCount : {100UL, 1000UL}) {
        for (const bool isLearned : {false, true}) {
            std::cout << "choice." << workerCount << (isLearned ? ".learned " : ".fixed ")
                      << choiceMicroseconds(workerCount, isLearned) << " us\n";
        }
    }
}
