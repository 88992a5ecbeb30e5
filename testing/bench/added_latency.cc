// Measures what two nodes add to a call: a worker, the worker's node, an entry node and the callers are processes on
// loopback. Direct calls and calls through both nodes alternate in one run, open loop; latency counts from the intended
// send time. Prints lines "name value unit".
#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <numeric>
#include <random>
#include <thread>

#include <docopt/docopt.h>
#include <glog/logging.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/random.h"
#include "connection/http/client.h"
#include "connection/http/server.h"
#include "request/proxy/proxy.h"

namespace {

using namespace pistachioquay;

constexpr const char *usage = R"(Measures the latency that two nodes add to a call.

Usage: pq_bench_added_latency [--rate=N] [--seconds=N] [--connections=N] [--worker-us=N] [--new-connections] [--event-loop]

Options:
  --rate=N           calls per second through the nodes, and as many direct ones [default: 80]
  --seconds=N        length of the run [default: 20]
  --connections=N    connections of callers to the entry node and to the worker [default: 130]
  --worker-us=N      time that the worker takes for a call, in microseconds [default: 0]
  --new-connections  nodes open a new connection for each call
  --event-loop       nodes serve each port by one thread
)";

constexpr std::size_t responseBytes = 512;
constexpr std::uint64_t arrivalSeed = 1;
constexpr milliseconds callDeadline{5000};

struct plan
{
    double rate = 80;
    int seconds = 20;
    int connections = 130;
    std::chrono::microseconds workerTime{0};
    proxy_tuning tuning;
};

// One process of the group: `port` is what it serves; closing `control` ends it.
struct member
{
    std::uint16_t port = 0;
    pid_t id = -1;
    int control = -1;
};

// Starts a process that runs `serve`, which writes its port to the first descriptor and returns when the second one
// ends.
template<class Serve>
member startMember(Serve serve)
{
    std::array<int, 2> report{};
    std::array<int, 2> control{};
    if (::pipe(report.data()) != 0 || ::pipe(control.data()) != 0) {
        std::exit(2);
    }
    const pid_t id = ::fork();
    if (id == 0) {
        ::close(control[1]);
        serve(report[1], control[0]);
        ::_exit(0);
    }
    ::close(report[1]);
    ::close(control[0]);
    member started{0, id, control[1]};
    if (::read(report[0], &started.port, sizeof started.port) != sizeof started.port) {
        std::cerr << "a member of the process group did not start\n";
        std::exit(2);
    }
    return started;
}

void serveUntilEnd(std::uint16_t port, int report, int control)
{
    if (::write(report, &port, sizeof port) == sizeof port) {
        char ignored = 0;
        [[maybe_unused]] const ssize_t ended = ::read(control, &ignored, 1);
    }
}

void serveWorker(const plan &given, int report, int control)
{
    server_options options;
    options.address = {"127.0.0.1", 0};
    options.maxConnections = 1000;
    http_server server(options, [&](const request_head &, const caller_watch &) {
        exchange steps;
        steps.onEnd = [&given] {
            if (given.workerTime.count() > 0) {
                std::this_thread::sleep_for(given.workerTime);
            }
            return textResponse(200, "text/plain", std::string(responseBytes, 'x'));
        };
        return steps;
    });
    if (attempt([&] {
            return server.start();
        })) {
        serveUntilEnd(server.address().port, report, control);
    }
}

// Runs a node in front of `upstream`; `peerPort` is that of the only known worker's node (0: its own).
void serveNode(const plan &given, std::uint16_t upstream, std::uint16_t peerPort, int report, int control)
{
    proxy_options options;
    options.callerAddress = {"127.0.0.1", 0};
    options.peerAddress = {"127.0.0.1", 0};
    options.upstream = {"127.0.0.1", upstream};
    options.service = "orders";
    options.nodeId = std::to_string(upstream);
    options.slots = 18;
    options.maxConnections = 300;
    auto config = std::make_shared<compiled_config>();
    route all;
    all.name = "all";
    all.prefix = "/";
    all.service = "orders";
    all.applied.deadline = callDeadline;
    config->routes.push_back(all);
    auto workers = std::make_shared<worker_view>();
    worker known;
    known.nodeId = "worker";
    known.service = "orders";
    known.peerAddress = {"127.0.0.1", peerPort};
    workers->services["orders"].local.push_back(known);
    proxy_sources sources;
    sources.config = [config] {
        return config;
    };
    sources.workers = [workers] {
        return workers;
    };
    sources.isAccepting = [] {
        return true;
    };
    proxy node(options, sources, given.tuning);
    if (attempt([&] {
            return node.start();
        })) {
        serveUntilEnd(peerPort == 0 ? node.peerAddress().port : node.callerAddress().port, report, control);
    }
}

// Latencies of one kind of calls in ms.
struct samples
{
    std::vector<double> values;
    int failed = 0;
};

struct arrival
{
    time_point at;
    bool isDirect = false;
};

void runCall(client_pool &pool, const endpoint &target, time_point intended, samples &into)
{
    static const caller_watch noWatch;
    client_request request;
    request.target = target;
    request.head = {"GET", "/orders/7", {}, 0, false};
    request.deadline = intended + callDeadline;
    http_call call(pool, request, noWatch);
    call.provideLast({});
    const response_head *const head = call.awaitHead();
    const bool isOk = head != nullptr && head->status == 200;
    std::array<char, 1024> buffer{};
    while (call.read(buffer).state == read_state::Data) {
    }
    if (isOk && call.progress() == call_progress::Complete) {
        into.values.push_back(std::chrono::duration<double, std::milli>(steadyNow() - intended).count());
    } else {
        ++into.failed;
    }
}

// Poisson arrivals of both kinds, spread over the connections.
std::vector<std::vector<arrival>> planArrivals(const plan &given, time_point start)
{
    random_generator generator(arrivalSeed);
    std::exponential_distribution<double> gap(given.rate);
    std::vector<std::vector<arrival>> byConnection(static_cast<std::size_t>(given.connections));
    for (const bool isDirect : {true, false}) {
        std::size_t index = 0;
        for (double at = gap(generator); at < given.seconds; at += gap(generator)) {
            const auto offset = std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
            byConnection.at(index++ % byConnection.size()).push_back({start + offset, isDirect});
        }
    }
    for (std::vector<arrival> &list : byConnection) {
        std::ranges::sort(list, {}, &arrival::at);
    }
    return byConnection;
}

double percentile(const samples &sorted, double share)
{
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.values.size()));
    return sorted.values.empty() ? 0 : sorted.values.at(std::min(index, sorted.values.size() - 1));
}

void print(const std::string &name, double value, const char *unit)
{
    std::printf("%s %.3f %s\n", name.c_str(), value, unit);
}

void printSamples(const std::string &name, samples &found)
{
    std::ranges::sort(found.values);
    print(name + "_calls", static_cast<double>(found.values.size()), "calls");
    print(name + "_failed", found.failed, "calls");
    print(name + "_p50", percentile(found, 0.5), "ms");
    print(name + "_p99", percentile(found, 0.99), "ms");
    print(name + "_p99.9", percentile(found, 0.999), "ms");
}

void measure(const plan &given, const endpoint &direct, const endpoint &entry)
{
    constexpr milliseconds leadTime{1500}; // for the connections of all callers to open
    const time_point start = steadyNow() + leadTime;
    const auto arrivals = planArrivals(given, start);
    std::vector<std::array<samples, 2>> found(arrivals.size());
    {
        std::vector<std::jthread> callers;
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            callers.emplace_back([&, index] {
                client_options options;
                options.idleTimeout = seconds(60);
                client_pool pool(options);
                samples warmUp;
                runCall(pool, direct, steadyNow(), warmUp);
                runCall(pool, entry, steadyNow(), warmUp);
                for (const arrival &next : arrivals[index]) {
                    std::this_thread::sleep_until(next.at);
                    runCall(pool, next.isDirect ? direct : entry, next.at, found[index][next.isDirect ? 0 : 1]);
                }
            });
        }
    }
    std::array<samples, 2> all;
    for (const auto &ofConnection : found) {
        for (const std::size_t kind : {0, 1}) {
            all[kind].failed += ofConnection[kind].failed;
            std::ranges::copy(ofConnection[kind].values, std::back_inserter(all[kind].values));
        }
    }
    printSamples("direct", all[0]);
    printSamples("through_two_nodes", all[1]);
    print("added_p50", percentile(all[1], 0.5) - percentile(all[0], 0.5), "ms");
    print("added_p99", percentile(all[1], 0.99) - percentile(all[0], 0.99), "ms");
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    plan given;
    given.rate = static_cast<double>(arguments["--rate"].asLong());
    given.seconds = static_cast<int>(arguments["--seconds"].asLong());
    given.connections = static_cast<int>(arguments["--connections"].asLong());
    given.workerTime = std::chrono::microseconds(arguments["--worker-us"].asLong());
    given.tuning.keepsConnections = !arguments["--new-connections"].asBool();
    given.tuning.usesEventLoop = arguments["--event-loop"].asBool();
    FLAGS_minloglevel = google::GLOG_WARNING;
    google::InitGoogleLogging(argv[0]);
    const member worker = startMember([&](int report, int control) {
        serveWorker(given, report, control);
    });
    const member inner = startMember([&](int report, int control) {
        serveNode(given, worker.port, 0, report, control);
    });
    const member entry = startMember([&](int report, int control) {
        serveNode(given, worker.port, inner.port, report, control);
    });
    measure(given, {"127.0.0.1", worker.port}, {"127.0.0.1", entry.port});
    for (const member &ending : {entry, inner, worker}) {
        ::close(ending.control);
        ::waitpid(ending.id, nullptr, 0);
    }
    return 0;
}
