#include "testing/soak/soak.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

#include "base/random.h"
#include "testing/platform/platform_mesh.h"

namespace pistachioquay::testing {

namespace {

constexpr milliseconds startBound{10000};
constexpr milliseconds recoveryBound{15000}; // recoveryS of the users' sites
constexpr milliseconds configApplyLimit{2000}; // configApplyMs of the users' sites
constexpr milliseconds timeLeft{2500}; // of each request
constexpr milliseconds answerSlack{1500}; // beyond the time left, until a request counts as unanswered
constexpr milliseconds gracePeriod{6000}; // gracePeriodS of the users' sites
constexpr milliseconds drainTime{2000}; // drainTimeoutMs of the users' sites
constexpr milliseconds programStart{500}; // before the program runs, a signal that it would handle ends the process
constexpr milliseconds restartPause{200}; // until a process that ended is started again, as the platform does
constexpr int leastPauseMs = 40; // between two faults
constexpr int longestPauseMs = 400;
constexpr int leastFaultMs = 150;
constexpr int longestFaultMs = 1800;
constexpr int mostReturns = 2; // of the store from a copy, in one run
constexpr int oldestCopyMs = 3000; // when the store goes away
constexpr milliseconds directoryBound{5000}; // until the directory names all nodes again
constexpr unsigned firstVersion = 10;

enum class fault_kind : std::uint8_t
{
    Kill,
    Pause,
    Terminate,
    Hangup,
    StoreBusy,
    StoreSilent,
    StoreLosesAnswers,
    StoreForgets,
    StoreLinkDelayed,
    StoreLinkSilent,
    WorkerLinkReset,
    WorkerLinkDelayed,
    WorkerLinkOneWay,
    WorkerHangs,
    WorkerReplaced,
    WorkerDrains,
    Publish,
    Count,
};

constexpr std::array<std::string_view, static_cast<std::size_t>(fault_kind::Count)> faultNames = {
    "kill",
    "pause",
    "terminate",
    "hangup",
    "store-busy",
    "store-silent",
    "store-loses",
    "store-forgets",
    "store-link-delay",
    "store-link-silent",
    "worker-reset",
    "worker-delay",
    "worker-one-way",
    "worker-hangs",
    "worker-replaced",
    "worker-drains",
    "publish",
};

std::string versionPrefix(unsigned version)
{
    return "/v" + std::to_string(version) + "/";
}

// What a caller has seen of one request.
struct seen_answer
{
    std::string id;
    std::string node;
    bool isOnce = false; // may run once at most
    unsigned status = 0; // 0: no complete answer
};

class soak_run
{
public:
    explicit soak_run(const soak_plan &plan);

    soak_report run();

private:
    struct undo
    {
        time_point at;
        std::function<void()> action;
    };
    struct node_life
    {
        bool isDown = false; // stopped or standing still by a fault
        time_point started; // last start by the soak
        std::uint64_t boots = 0; // started by the soak
        unsigned stops = 0; // times that it went down
    };

    static std::vector<node_plan> nodesOf(const soak_plan &plan);
    void violated(const std::string &what);
    node_life lifeOf(const std::string &node)
    {
        const std::lock_guard guard(m_mutex);
        return m_lives[node];
    }
    void callLoop(const std::string &node, std::uint64_t seed);
    void callOnce(loop_thread &loop, async_http_client &client, const std::string &node, random_generator &generator);
    void checkAnswer(const seen_answer &seen, const std::string &target, const exchange_result &got);
    void probeVersion(const std::string &node, unsigned version, unsigned status, std::uint64_t boots);
    void strike();
    void strikeNode(fault_kind kind, const std::string &node, milliseconds length);
    void strikeStore(fault_kind kind, milliseconds length);
    void strikeWorker(fault_kind kind, const std::string &node, milliseconds length);
    void terminate(const std::string &node);
    void restartEnded(time_point now);
    void markDown(const std::string &node);
    void restart(const std::string &node);
    void replaceWorker(const std::string &node);
    void publishNext();
    void planReturns();
    void returnFromCopy(bool writesNewVersion);
    void endFaults(time_point now);
    void later(milliseconds length, std::function<void()> action)
    {
        m_undos.push_back({steadyNow() + length, std::move(action)});
    }
    void checkRecovery();
    void checkDirectory();
    void checkRuns();
    void keepLogs();
    int pick(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_generator);
    }

    soak_plan m_plan;
    random_generator m_generator;
    platform_mesh m_mesh;
    std::vector<std::string> m_nodes;
    std::vector<undo> m_undos;
    std::map<std::string, unsigned> m_workerBoots;
    std::map<std::string, unsigned> m_runs; // of workers that were replaced, by id
    std::vector<route_plan> m_routes = {{"/orders/", "orders"}, {"/sign/", "orders", "unsafe"}, {"/shop/", "shop"}};
    std::atomic<unsigned> m_version = firstVersion;
    std::atomic<bool> m_isCalling = true;
    std::atomic<unsigned> m_lastId = 0;
    std::mutex m_mutex; // guards all below
    std::map<std::string, node_life> m_lives;
    std::vector<seen_answer> m_answers;
    std::map<std::pair<std::string, std::uint64_t>, unsigned> m_newest; // version seen in force, by node and boot
    soak_report m_report;
};

std::vector<node_plan> soak_run::nodesOf(const soak_plan &plan)
{
    std::vector<node_plan> nodes;
    for (const std::string service : {"orders", "shop"}) {
        for (const std::string dataCentre : {"dc-1", "dc-2"}) {
            for (unsigned index = 0; index < plan.workersPerService; ++index) {
                std::string name = service;
                name.append("-").append(dataCentre).append("-").append(std::to_string(index));
                nodes.push_back({std::move(name), service, dataCentre});
            }
        }
    }
    return nodes;
}

soak_run::soak_run(const soak_plan &plan)
    : m_plan(plan)
    , m_generator(plan.seed)
    , m_mesh(nodesOf(plan), wiring::Relayed)
    , m_nodes(m_mesh.names())
{
}

void soak_run::violated(const std::string &what)
{
    const std::lock_guard guard(m_mutex);
    m_report.violations.push_back(what);
}

void soak_run::callLoop(const std::string &node, std::uint64_t seed)
{
    random_generator generator(seed);
    loop_thread loop;
    // The connection is kept until the process is gone.
    async_http_client client(loop.executor(),
                             {.target = m_mesh.callerAddress(node), .echoHeader = "Request-Attempt-Id"});
    while (m_isCalling) {
        callOnce(loop, client, node, generator);
        std::this_thread::sleep_for(milliseconds(std::uniform_int_distribution<int>(1, 25)(generator)));
    }
    loop.run([&] {
        client.closeAll();
        return 0;
    });
}

void soak_run::callOnce(loop_thread &loop,
                        async_http_client &client,
                        const std::string &node,
                        random_generator &generator)
{
    const unsigned number = ++m_lastId;
    const unsigned version = m_version;
    const int kind = std::uniform_int_distribution<int>(0, 9)(generator);
    const bool isOnce = kind < 4;
    const bool isProbe = kind == 9 && version > firstVersion;
    const node_life before = lifeOf(node);
    whole_request request;
    request.target = (isProbe        ? versionPrefix(version)
                          : isOnce   ? "/sign/"
                          : kind < 8 ? "/orders/"
                                     : "/shop/")
        + std::to_string(number) + "?run=" + std::to_string(std::uniform_int_distribution<int>(1, 60)(generator));
    request.method = isOnce ? "POST" : "GET";
    request.body = isOnce ? "signed" : "";
    const std::string id = "soak-" + std::to_string(number);
    request.headers = {{"Host", "shop.example"},
                       {"Request-Attempt-Id", id},
                       {"Deadline-Milliseconds", std::to_string(timeLeft.count())}};
    cancellation_token control;
    const exchange_result got =
        loop.await(client.send(request, {.deadline = steadyNow() + timeLeft + answerSlack}, control));
    const seen_answer seen{id, node, isOnce, got.end == exchange_end::Complete ? got.response.status : 0};
    checkAnswer(seen, request.target, got);
    const node_life after = lifeOf(node);
    if (got.end == exchange_end::TimedOut && !before.isDown && before.stops == after.stops) {
        violated(id + " at " + node + ": no answer in its time");
    }
    if (isProbe) {
        probeVersion(node, version, seen.status, before.boots);
    }
}

void soak_run::checkAnswer(const seen_answer &seen, const std::string &target, const exchange_result &got)
{
    const bool isSuccess = seen.status == 200;
    const std::string &body = got.response.body;
    const bool isOwn = body.ends_with(" " + target) && findHeader(got.response.headers, "Server-Signature").has_value();
    if (isSuccess && !isOwn) {
        violated(seen.id + " at " + seen.node + ": a success that is not its worker's whole answer: " + body);
    }
    const std::lock_guard guard(m_mutex);
    ++m_report.requests;
    m_report.served += isSuccess ? 1 : 0;
    m_answers.push_back(seen);
}

// A process that has served a version never answers for an older one.
void soak_run::probeVersion(const std::string &node, unsigned version, unsigned status, std::uint64_t boots)
{
    const std::lock_guard guard(m_mutex);
    if (status == 0 || m_lives[node].boots != boots) {
        return; // the process may have been another one
    }
    unsigned &newest = m_newest[{node, boots}];
    if (status == 200) {
        newest = std::max(newest, version);
    } else if (status == 404 && version <= newest) {
        m_report.violations.push_back(node + ": version " + std::to_string(newest) + " was in force, and "
                                      + std::to_string(version) + " is not any more");
    }
}

void soak_run::strike()
{
    const auto kind = static_cast<fault_kind>(pick(0, static_cast<int>(fault_kind::Count) - 1));
    const std::string node = m_nodes[static_cast<std::size_t>(pick(0, static_cast<int>(m_nodes.size()) - 1))];
    const milliseconds length(pick(leastFaultMs, longestFaultMs));
    {
        const std::lock_guard guard(m_mutex);
        m_report.faults.push_back(std::string(faultNames.at(static_cast<std::size_t>(kind))) + " " + node + " "
                                  + std::to_string(length.count()) + " ms at " + std::to_string(unixNowMs()));
    }
    if (kind <= fault_kind::Hangup) {
        strikeNode(kind, node, length);
    } else if (kind <= fault_kind::StoreForgets) {
        strikeStore(kind, length);
    } else if (kind == fault_kind::Publish) {
        publishNext();
    } else {
        strikeWorker(kind, node, length);
    }
}

void soak_run::strikeNode(fault_kind kind, const std::string &node, milliseconds length)
{
    if (lifeOf(node).isDown) {
        return;
    }
    if (kind != fault_kind::Hangup) {
        markDown(node);
    }
    const auto setUp = [this, node] {
        const std::lock_guard guard(m_mutex);
        m_lives[node].isDown = false;
    };
    if (kind == fault_kind::Hangup) {
        m_mesh.process(node).send(SIGHUP);
    } else if (kind == fault_kind::Pause) {
        m_mesh.process(node).send(SIGSTOP);
        later(length, [this, node, setUp] {
            m_mesh.process(node).send(SIGCONT);
            setUp();
        });
    } else if (kind == fault_kind::Kill) {
        m_mesh.process(node).kill();
        later(length, [this, node] {
            restart(node);
        });
    } else {
        terminate(node);
    }
}

void soak_run::terminate(const std::string &node)
{
    const bool isProgramRunning = steadyNow() > lifeOf(node).started + programStart;
    m_mesh.process(node).send(SIGTERM);
    later(gracePeriod, [this, node, isProgramRunning] {
        const auto end = m_mesh.process(node).waitForExit(milliseconds(1));
        const bool isEarly = !isProgramRunning && end == exit_status{0, SIGTERM};
        if (end != exit_status{0, 0} && !isEarly) {
            violated(node + ": did not exit with 0 within the grace period after SIGTERM");
            m_mesh.process(node).kill();
        }
        restart(node);
    });
}

// Starts processes again that ended although no fault stopped them. Only a SIGHUP before the program ignores it may end
// one; any other end is a violation.
void soak_run::restartEnded(time_point now)
{
    for (const std::string &node : m_nodes) {
        const node_life life = lifeOf(node);
        if (life.isDown || m_mesh.process(node).isRunning()) {
            continue;
        }
        const exit_status end = m_mesh.process(node).waitForExit(milliseconds(0)).value_or(exit_status{});
        if (end != exit_status{0, SIGHUP} || now > life.started + programStart) {
            violated(node + ": ended by itself, exit code " + std::to_string(end.code) + ", signal "
                     + std::to_string(end.signal));
        }
        markDown(node);
        later(restartPause, [this, node] {
            restart(node);
        });
    }
}

void soak_run::markDown(const std::string &node)
{
    const std::lock_guard guard(m_mutex);
    m_lives[node].isDown = true;
    ++m_lives[node].stops;
}

void soak_run::restart(const std::string &node)
{
    m_mesh.startNode(node);
    const std::lock_guard guard(m_mutex);
    ++m_lives[node].boots;
    m_lives[node].started = steadyNow();
    m_lives[node].isDown = false;
}

void soak_run::strikeStore(fault_kind kind, milliseconds length)
{
    if (kind == fault_kind::StoreForgets) {
        m_mesh.store().forget("keyed.op");
        return;
    }
    m_mesh.store().setMode(kind == fault_kind::StoreBusy         ? store_mode::Busy
                               : kind == fault_kind::StoreSilent ? store_mode::Silent
                                                                 : store_mode::LosesAnswers);
    later(length, [this] {
        m_mesh.store().setMode(store_mode::Up);
    });
}

void soak_run::strikeWorker(fault_kind kind, const std::string &node, milliseconds length)
{
    const auto harm = [&](fault_relay &relay, relay_mode mode) {
        relay.setMode(mode);
        later(length, [&relay] {
            relay.setMode(relay_mode::Pass);
        });
    };
    switch (kind) {
    case fault_kind::StoreLinkDelayed:
        return harm(m_mesh.storeRelay(node), relay_mode::Delay);
    case fault_kind::StoreLinkSilent:
        return harm(m_mesh.storeRelay(node), relay_mode::Silent);
    case fault_kind::WorkerLinkDelayed:
        return harm(m_mesh.workerRelay(node), relay_mode::Delay);
    case fault_kind::WorkerLinkOneWay:
        return harm(m_mesh.workerRelay(node), relay_mode::OneWay);
    case fault_kind::WorkerLinkReset:
        return m_mesh.workerRelay(node).reset();
    case fault_kind::WorkerHangs:
        m_mesh.worker(node).hang();
        return later(length, [this, node] {
            m_mesh.worker(node).hang(false);
        });
    case fault_kind::WorkerReplaced:
        return replaceWorker(node);
    default:
        break;
    }
    if (m_mesh.worker(node).drain(milliseconds(300))) {
        const time_point acknowledged = steadyNow();
        later(drainTime + length, [this, node, acknowledged, drained = m_mesh.worker(node).options().id] {
            if (m_mesh.worker(node).options().id != drained) {
                return; // replaced meanwhile by another fault
            }
            if (m_mesh.worker(node).lastStart() > acknowledged + drainTime) {
                violated(node + ": its worker got a request after the drain bound");
            }
            replaceWorker(node);
        });
    }
}

// A new worker takes the address of the one that is gone.
void soak_run::replaceWorker(const std::string &node)
{
    for (const auto &[id, runs] : m_mesh.worker(node).runsById()) {
        m_runs[id] += runs;
    }
    m_mesh.startWorker(node, "w-" + node + "-" + std::to_string(++m_workerBoots[node]));
}

void soak_run::publishNext()
{
    const unsigned next = m_version + 1;
    m_routes.push_back({versionPrefix(next), "shop"});
    m_mesh.publish(next, m_routes);
    m_version = next;
}

// Plans returns of the store from a copy. They have a generator of their own, so that a seed keeps its other faults.
void soak_run::planReturns()
{
    random_generator generator(~m_plan.seed);
    const auto draw = [&](int least, int most) {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(generator));
    };
    const auto returns = draw(1, mostReturns).count();
    for (std::int64_t index = 0; index < returns; ++index) {
        const milliseconds copyAt = draw(0, static_cast<int>(m_plan.length.count()));
        const milliseconds awayAt = copyAt + draw(0, oldestCopyMs);
        const milliseconds backAt = awayAt + draw(leastFaultMs, longestFaultMs);
        const bool writesNewVersion = draw(0, 1).count() == 0;
        later(copyAt, [this] {
            m_mesh.store().takeCopy();
        });
        later(awayAt, [this] {
            m_mesh.store().setMode(store_mode::Away);
        });
        later(backAt, [this, writesNewVersion] {
            returnFromCopy(writesNewVersion);
        });
    }
}

// The operator writes the newest version again, and at times a further one at once.
void soak_run::returnFromCopy(bool writesNewVersion)
{
    {
        const std::lock_guard guard(m_mutex);
        m_report.faults.push_back("store-returns at " + std::to_string(unixNowMs()));
    }
    m_mesh.store().returnFromCopy();
    m_mesh.publish(m_version, m_routes);
    if (writesNewVersion) {
        publishNext();
    }
}

void soak_run::endFaults(time_point now)
{
    std::vector<undo> due;
    std::ranges::copy_if(m_undos, std::back_inserter(due), [&](const undo &each) {
        return each.at <= now;
    });
    std::erase_if(m_undos, [&](const undo &each) {
        return each.at <= now;
    });
    std::ranges::for_each(due, [](const undo &each) {
        each.action();
    });
}

// All nodes serve the newest version within the bounds once the faults are over.
void soak_run::checkRecovery()
{
    const std::string target = versionPrefix(m_version) + "end";
    for (const std::string &node : m_nodes) {
        const bool isServed = waitUntil(
            [&] {
                const std::string id = "end-" + std::to_string(++m_lastId);
                return m_mesh.send(node, {.id = id, .target = target, .timeLeft = timeLeft}).response.status == 200;
            },
            recoveryBound + configApplyLimit);
        if (!isServed) {
            violated(node + ": does not serve the newest version after the faults");
        }
    }
}

// All nodes are in the directory, so that one that starts finds them.
void soak_run::checkDirectory()
{
    const auto areListed = [&] {
        const std::vector<std::string> keys = m_mesh.store().keys("keyed.nodes");
        return std::ranges::all_of(m_nodes, [&](const std::string &node) {
            return std::ranges::find(keys, node) != keys.end();
        });
    };
    if (!waitUntil(areListed, directoryBound)) {
        violated("the directory does not name all nodes after the faults");
    }
}

void soak_run::checkRuns()
{
    std::map<std::string, unsigned> runs = m_runs;
    for (const std::string &node : m_nodes) {
        for (const auto &[id, count] : m_mesh.worker(node).runsById()) {
            runs[id] += count;
        }
    }
    for (const seen_answer &seen : m_answers) {
        const unsigned count = runs.contains(seen.id) ? runs.at(seen.id) : 0;
        if (seen.isOnce && count > 1) {
            violated(seen.id + ": ran " + std::to_string(count) + " times, and may run once");
        }
        if (seen.isOnce && seen.status == 503 && count > 0) {
            violated(seen.id + ": refused as not run, and has run");
        }
        if (seen.status == 200 && count == 0) {
            violated(seen.id + ": answered with success, and has not run");
        }
    }
}

void soak_run::keepLogs()
{
    if (m_plan.logFolder.empty() || m_report.violations.empty()) {
        return;
    }
    std::filesystem::create_directories(m_plan.logFolder);
    for (const std::string &node : m_nodes) {
        std::ofstream(m_plan.logFolder + "/" + std::to_string(m_plan.seed) + "-" + node + ".log") << m_mesh.log(node);
    }
}

soak_report soak_run::run()
{
    publishNext();
    if (!m_mesh.waitReady(startBound)) {
        violated("the nodes are not ready in time");
        return m_report;
    }
    std::vector<std::jthread> callers;
    for (const std::string &node : m_nodes) {
        callers.emplace_back([this, node, seed = m_generator()] {
            callLoop(node, seed);
        });
    }
    const time_point until = steadyNow() + m_plan.length;
    planReturns();
    while (steadyNow() < until) {
        strike();
        std::this_thread::sleep_for(milliseconds(pick(leastPauseMs, longestPauseMs)));
        endFaults(steadyNow());
        restartEnded(steadyNow());
    }
    while (!m_undos.empty()) {
        std::this_thread::sleep_for(milliseconds(leastPauseMs));
        endFaults(steadyNow());
        restartEnded(steadyNow());
    }
    checkRecovery();
    checkDirectory();
    m_isCalling = false;
    callers.clear();
    checkRuns();
    keepLogs();
    return m_report;
}

} // namespace

soak_report runSoak(const soak_plan &plan)
{
    soak_run run(plan);
    return run.run();
}

} // namespace pistachioquay::testing
