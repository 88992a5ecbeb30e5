// Compares the decisions of routing, admission and retry with simpler policies, on a simulated clock with four workers
// of six slots that queue. It drives the decision functions only. Prints `name value unit`; seeds are fixed.
//
// Names are <scene>.<router>-<queue>.<measure>. Routers: own, rr (round robin), p2c (best of two by load reported up to
// 500 ms ago). Queues: own (admission), fifo (one bounded queue per worker, without classes and deadlines).
#include <algorithm>
#include <deque>
#include <iostream>
#include <map>

#include "request/admission/admission.h"
#include "request/retry/retry.h"
#include "request/routing/routing.h"

using namespace pistachioquay;

namespace {

constexpr std::size_t workerCount = 4;
constexpr std::size_t entryCount = 12; // nodes that send calls; each learns of a slowed worker on its own
constexpr std::uint32_t slots = 6;
constexpr std::size_t fifoLength = 124; // about 130 connections per worker
constexpr std::uint64_t seedCount = 8; // runs of each scene, whose calls are taken together
constexpr double hopMs = 0.5;
constexpr double reportMs = 500;
constexpr double lengthMs = 20'000;
constexpr std::array<double, 4> meanMs = {3, 20, 400, 300}; // by class
constexpr std::array<double, workerCount> speed = {1.0, 1.0, 0.8, 1.25};
const time_point start{seconds(1000)};
struct scene
{
    std::array<double, 4> rate{}; // arrivals per second by class
    std::array<double, 4> deadlineMs = {800, 1000, 10'000, 30'000};
    double swingFactor = 1; // of interactive arrivals, from 5 to 15 s
    double slowFactor = 1; // of service times of worker 0, from 5 to 10 s
};

struct call
{
    work_class workClass = work_class::Interactive;
    double arrivedMs = 0;
    double deadlineMs = 0;
    std::size_t entry = 0;
    std::size_t worker = 0;
    std::uint64_t ticket = 0;
    double sentMs = 0;
    call_choice choice;
    std::vector<std::string> tried;
    attempt_history history;
    load_report load; // as the response tells it
    double endedMs = -1; // -1: no response
};

class simulation
{
public:
    simulation(const scene &played, std::string_view routed, bool hasAdmission, std::uint64_t seed)
        : m_scene(played)
        , m_router(routed)
        , m_hasAdmission(hasAdmission)
        , m_arrivals(seed)
        , m_others(seed + 1000)
    {
        service_workers view;
        for (std::size_t each = 0; each < workerCount; ++each) {
            view.local.push_back({std::to_string(each), 1, "dc", "s", {}, slots, start - seconds(60)});
            m_admission.push_back(makeAdmission(slots, "n", start));
        }
        for (routing_state &entry : m_entries) {
            updateWorkers(entry, view, start);
        }
    }
    std::vector<call> run()
    {
        for (std::size_t index = 0; index < m_scene.rate.size(); ++index) {
            if (m_scene.rate.at(index) > 0) {
                newCall(index);
            }
        }
        while (m_events.begin()->first < lengthMs) {
            const auto next = m_events.extract(m_events.begin());
            m_nowMs = next.key();
            (this->*next.mapped().first)(next.mapped().second);
        }
        return std::move(m_calls);
    }

private:
    using step = void (simulation::*)(std::size_t);
    void after(double delayMs, step next, std::size_t index)
    {
        m_events.emplace(m_nowMs + delayMs, std::pair(next, index));
    }
    static time_point timeOf(double ms)
    {
        return start + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
    }
    load_report loadOf(std::size_t worker) const
    {
        if (m_hasAdmission) {
            return {runningCount(m_admission[worker]), waitingShortCount(m_admission[worker])};
        }
        return {m_running.at(worker), static_cast<std::uint32_t>(m_waiting.at(worker).size())};
    }
    void newCall(std::size_t workClass)
    {
        const bool isSwing = workClass == 1 && m_nowMs >= 5000 && m_nowMs < 15'000;
        const double rate = m_scene.rate.at(workClass) * (isSwing ? m_scene.swingFactor : 1);
        after(std::exponential_distribution<double>(rate / 1000)(m_arrivals), &simulation::newCall, workClass);
        const double deadline = m_nowMs + m_scene.deadlineMs.at(workClass);
        m_calls.push_back({static_cast<work_class>(workClass), m_nowMs, deadline, m_arrivals() % entryCount});
        dispatch(m_calls.size() - 1);
    }
    std::size_t choose(call &each)
    {
        if (m_router == "own") {
            each.choice = beginCall(m_entries.at(each.entry), {each.workClass, each.tried}, timeOf(m_nowMs), m_others);
            return std::stoul(each.choice.target->nodeId);
        }
        if (m_router == "rr") {
            return (each.entry + m_turn.at(each.entry)++) % workerCount;
        }
        if (m_nowMs >= m_reportedMs + reportMs) {
            m_reportedMs = m_nowMs;
            for (std::size_t worker = 0; worker < workerCount; ++worker) {
                m_reported.at(worker) = loadOf(worker).running + loadOf(worker).waiting;
            }
        }
        const std::size_t first = m_others() % workerCount;
        const std::size_t second = (first + 1 + m_others() % (workerCount - 1)) % workerCount;
        return m_reported.at(first) <= m_reported.at(second) ? first : second;
    }
    void dispatch(std::size_t index)
    {
        call &each = m_calls[index];
        each.worker = choose(each);
        each.sentMs = m_nowMs;
        after(hopMs, &simulation::arrive, index);
    }
    void arrive(std::size_t index)
    {
        call &each = m_calls[index];
        if (m_hasAdmission) {
            const admission_request request{each.workClass, timeOf(each.deadlineMs), {}, {}};
            const auto [kind, ticket, reason] = admit(m_admission[each.worker], request, timeOf(m_nowMs));
            m_tickets[{each.worker, each.ticket = ticket}] = index;
            if (kind != admission_kind::Queued) {
                kind == admission_kind::Granted ? begin(index) : answer(index, &simulation::retry);
            }
        } else if (m_running.at(each.worker) < slots) {
            ++m_running.at(each.worker);
            begin(index);
        } else if (m_waiting.at(each.worker).size() < fifoLength) {
            m_waiting.at(each.worker).push_back(index);
        } else {
            answer(index, &simulation::retry);
        }
    }
    void begin(std::size_t index)
    {
        const std::size_t worker = m_calls[index].worker;
        const bool isSlow = worker == 0 && m_nowMs >= 5000 && m_nowMs < 10'000;
        const double mean = meanMs.at(static_cast<std::size_t>(m_calls[index].workClass));
        const double work = mean / 4 + std::exponential_distribution<double>(4 / (3 * mean))(m_others);
        after(work / speed.at(worker) * (isSlow ? m_scene.slowFactor : 1), &simulation::finish, index);
    }
    void finish(std::size_t index)
    {
        answer(index, &simulation::respond);
        const call &each = m_calls[index];
        auto &waiting = m_waiting.at(each.worker);
        if (m_hasAdmission) {
            admission_events decided;
            release(m_admission[each.worker], each.ticket, true, timeOf(m_nowMs), decided);
            for (const auto &[ticket, reason] : decided) {
                const std::size_t other = m_tickets.at({each.worker, ticket});
                reason == refusal_reason::None ? begin(other) : answer(other, &simulation::retry);
            }
        } else if (waiting.empty()) {
            --m_running.at(each.worker);
        } else {
            begin(waiting.front());
            waiting.pop_front();
        }
    }
    void answer(std::size_t index, step next)
    {
        m_calls[index].load = loadOf(m_calls[index].worker);
        after(hopMs, next, index);
    }
    void respond(std::size_t index)
    {
        m_calls[index].endedMs = m_nowMs;
        observe(m_calls[index], call_outcome::Completed);
    }
    void observe(const call &each, call_outcome end)
    {
        const duration latency = timeOf(m_nowMs) - timeOf(each.sentMs);
        endCall(m_entries.at(each.entry), each.choice, {end, latency, each.load}, timeOf(m_nowMs));
    }
    void retry(std::size_t index)
    {
        call &each = m_calls[index];
        observe(each, call_outcome::Refused);
        each.tried.push_back(std::to_string(each.worker));
        recordAttempt(each.history, attempt_progress::NotRun);
        const retry_context facts{true, 2, 0, true, false, false, timeOf(each.deadlineMs)};
        const auto decision = decideRetry(facts, each.history, m_budget, timeOf(m_nowMs), m_others);
        if (decision.verdict == retry_verdict::Retry) {
            after(static_cast<double>(decision.delay.count()), &simulation::dispatch, index);
        }
    }
    scene m_scene;
    std::string_view m_router;
    bool m_hasAdmission;
    double m_nowMs = 0;
    std::multimap<double, std::pair<step, std::size_t>> m_events; // by time, equal times in order of insertion
    std::vector<call> m_calls;
    std::array<routing_state, entryCount> m_entries;
    std::array<std::size_t, entryCount> m_turn{};
    double m_reportedMs = -reportMs;
    std::array<std::uint32_t, workerCount> m_reported{};
    std::vector<admission_state> m_admission;
    std::array<std::uint32_t, workerCount> m_running{}; // of the fifo workers, as `m_waiting`
    std::array<std::deque<std::size_t>, workerCount> m_waiting;
    std::map<std::pair<std::size_t, std::uint64_t>, std::size_t> m_tickets;
    retry_budget m_budget;
    random_generator m_arrivals;
    random_generator m_others; // service times and choices
};

// Latency that 99% of the short calls that arrived in the time keep; a call without response counts 1 s.
double p99(const std::vector<call> &calls, double fromMs, double toMs)
{
    std::vector<double> latencies;
    for (const call &each : calls) {
        if (each.workClass <= work_class::Interactive && each.arrivedMs >= fromMs && each.arrivedMs < toMs) {
            latencies.push_back(each.endedMs < 0 ? 1000 : each.endedMs - each.arrivedMs);
        }
    }
    std::ranges::sort(latencies);
    return latencies[latencies.size() * 99 / 100];
}

// Interactive calls that ended before their deadline, as a share of those that arrived in the time, or of `possible`
// per second if that is less.
double goodput(const std::vector<call> &calls, double fromMs, double toMs, double possible)
{
    double good = 0;
    double arrived = 0;
    for (const call &each : calls) {
        const bool counts = each.workClass == work_class::Interactive;
        arrived += counts && each.arrivedMs >= fromMs && each.arrivedMs < toMs ? 1 : 0;
        good += counts && each.endedMs >= fromMs && each.endedMs < std::min(toMs, each.deadlineMs) ? 1 : 0;
    }
    return 100 * good / std::min(possible * seedCount * (toMs - fromMs) / 1000, arrived);
}

void compare(std::string_view routed, bool hasAdmission)
{
    const auto play = [&](const scene &played) {
        std::vector<call> calls;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            std::ranges::move(simulation(played, routed, hasAdmission, seed).run(), std::back_inserter(calls));
        }
        return calls;
    };
    const auto *queue = hasAdmission ? "-own." : "-fifo.";
    const auto show = [&](std::string_view name, std::string_view measure, double value, std::string_view unit) {
        std::cout << name << '.' << routed << queue << measure << ' ' << value << ' ' << unit << '\n';
    };
    const double possible = (1000 * slots * (1.0 + 1.0 + 0.8 + 1.25) - 100 * meanMs[0]) / meanMs[1];
    for (const double deadlineMs : {1000.0, 300.0}) {
        const auto *name = deadlineMs < 1000 ? "crest_tight" : "crest";
        const auto calls = play({{100, 500, 0, 0}, {800, deadlineMs, 10'000, 30'000}, 3});
        show(name, "goodput", goodput(calls, 5000, 15'000, possible), "%");
        show(name, "recovered", goodput(calls, 16'000, 19'000, possible), "%");
    }
    const double alone = p99(play({{100, 750, 0, 0}}), 3000, 19'000);
    const double mixed = p99(play({{100, 750, 12, 8}}), 3000, 19'000);
    show("blocking", "p99_alone", alone, "ms");
    show("blocking", "p99_mixed", mixed, "ms");
    show("blocking", "ratio", mixed / alone, "x");
    const double healthy = p99(play({{100, 500, 0, 0}}), 5000, 10'000);
    const double slow = p99(play({{100, 500, 0, 0}, {800, 1000, 10'000, 30'000}, 1, 10}), 5000, 10'000);
    show("slowed", "p99", slow, "ms");
    show("slowed", "ratio", slow / healthy, "x");
}

} // namespace

int main()
{
    compare("own", true);
    compare("rr", true);
    compare("p2c", true);
    compare("rr", false);
    compare("p2c", false);
}
