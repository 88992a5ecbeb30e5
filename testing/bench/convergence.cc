// Convergence bench: nodes as real processes in several data centres. Measures the time from the log's acknowledgement
// of a version to the moment at which it is in force on each node, and what a node spends on control, idle and while
// versions are published. The baseline, in the same run, is N clients that poll the log every second.
//
//   pq_bench_convergence [NODES [DATA_CENTRES [PUBLISHES]]]

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>

#include <jansson.h>
#include <unistd.h>

#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "testing/process/mesh.h"
#include "version/tree/tree_text.h"

using namespace pistachioquay;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr seconds settleTime{20}; // news of the joins is passed on for a while
constexpr seconds idleTime{10};
constexpr milliseconds publishGap{500};
constexpr milliseconds joinBound{60'000};

struct usage
{
    double cpuSeconds = 0;
    double bytes = 0;
    double residentMb = 0;
};

struct fleet
{
    temp_folder folder;
    stand_in log;
    stand_in upstream;
    std::vector<node_process> nodes;
};

void print(const std::string &name, double value, std::string_view unit)
{
    std::cout << name << ' ' << value << ' ' << unit << std::endl;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

void printTimes(const std::string &name, const std::vector<double> &times)
{
    print(name + "_p50", percentile(times, 0.5), "ms");
    print(name + "_p99", percentile(times, 0.99), "ms");
    print(name + "_max", percentile(times, 1.0), "ms");
}

std::string treeText(std::size_t dataCentres, std::size_t round)
{
    std::ostringstream text;
    text << "[policy.browse]\nclass = \"interactive\"\nidempotent = true\nretries = 2\nhedge_after_ms = 0\ndeadline_ms "
            "= "
         << 1000 + round << "\n";
    for (std::size_t index = 0; index < dataCentres; ++index) {
        text << "[data_centre.dc-" << index
             << ".service.orders.route.orders]\nprefix = \"/orders\"\npolicy = \"browse\"\n";
    }
    return text.str();
}

json_int_t numberAt(json_t *status, const char *key)
{
    return json_integer_value(json_object_get(status, key));
}

// CPU seconds of a process since its start.
double cpuSecondsOf(pid_t pid)
{
    constexpr int fieldsBeforeTimes = 11; // after the command name
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeTimes; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMbOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

double controlBytesOf(const node_process &node)
{
    json_t *status = json_loads(statusOf(node).c_str(), 0, nullptr);
    json_t *gossip = json_object_get(status, "gossip");
    const auto bytes =
        numberAt(gossip, "sent_bytes") + numberAt(gossip, "received_bytes") + numberAt(status, "sync_bytes");
    json_decref(status);
    return static_cast<double>(bytes);
}

std::vector<usage> measureAll(const fleet &running)
{
    std::vector<usage> all;
    std::ranges::transform(running.nodes, std::back_inserter(all), [](const node_process &each) {
        return usage{cpuSecondsOf(each.process.pid()), controlBytesOf(each), residentMbOf(each.process.pid())};
    });
    return all;
}

void printUsage(const std::string &name,
                const std::vector<usage> &before,
                const std::vector<usage> &after,
                double elapsed)
{
    std::vector<double> cores;
    std::vector<double> bytes;
    std::vector<double> memory;
    for (std::size_t index = 0; index < after.size(); ++index) {
        cores.push_back((after[index].cpuSeconds - before[index].cpuSeconds) / elapsed * 100);
        bytes.push_back((after[index].bytes - before[index].bytes) / elapsed / 1000);
        memory.push_back(after[index].residentMb);
    }
    print(name + "_cpu_mean",
          std::reduce(cores.begin(), cores.end()) / static_cast<double>(cores.size()),
          "percent_of_core");
    print(name + "_cpu_max", percentile(cores, 1), "percent_of_core");
    print(name + "_bytes_mean", std::reduce(bytes.begin(), bytes.end()) / static_cast<double>(bytes.size()), "KB/s");
    print(name + "_bytes_max", percentile(bytes, 1), "KB/s");
    print(name + "_memory_max", percentile(memory, 1), "MB");
}

void startFleet(fleet &running, std::size_t nodes, std::size_t dataCentres)
{
    running.log = requireValue([&] {
        return startPlatformLog(running.folder, "log");
    });
    running.upstream = requireValue([&] {
        return startUpstream(running.folder, "worker");
    });
    std::vector<std::vector<endpoint>> seeds(dataCentres);
    std::vector<endpoint> otherSeeds;
    for (std::size_t index = 0; index < nodes; ++index) {
        const std::size_t dataCentre = index % dataCentres;
        node_settings settings = makeNodeSettings("dc-" + std::to_string(dataCentre),
                                                  "orders",
                                                  6,
                                                  running.upstream.address,
                                                  running.log.address);
        settings.seeds = seeds[dataCentre];
        settings.seeds.insert(settings.seeds.end(), otherSeeds.begin(), otherSeeds.end());
        constexpr std::size_t seedsPerDataCentre = 3;
        if (seeds[dataCentre].size() < seedsPerDataCentre) {
            seeds[dataCentre].push_back(settings.gossipAddress);
        }
        if (otherSeeds.empty()) {
            otherSeeds.push_back(settings.gossipAddress);
        }
        running.nodes.push_back(requireValue([&] {
            return startNode(running.folder, "node-" + std::to_string(index), settings);
        }));
    }
}

std::size_t membersOf(const node_process &node)
{
    json_t *status = json_loads(statusOf(node).c_str(), 0, nullptr);
    const std::size_t count = json_array_size(json_object_get(status, "members"));
    json_decref(status);
    return count;
}

bool waitForMembers(const fleet &running, std::size_t dataCentres)
{
    return waitUntil(
        [&] {
            for (std::size_t index = 0; index < running.nodes.size(); ++index) {
                const std::size_t expected =
                    (running.nodes.size() + dataCentres - 1 - index % dataCentres) / dataCentres;
                if (membersOf(running.nodes[index]) < expected) {
                    return false;
                }
            }
            return true;
        },
        joinBound);
}

std::uint64_t publish(const fleet &running, const std::string &before, const std::string &after, std::uint64_t base)
{
    random_generator generator(seed + base);
    const config_tree previous = requireValue([&] {
        return treeFromToml(before);
    });
    const config_tree next = requireValue([&] {
        return treeFromToml(after);
    });
    const edit_record record{randomId(generator), base, "bench", diffTrees(previous, next)};
    return requireValue([&] {
        return appendRecord({running.log.address, seconds(5)}, "config", encodeRecord(record));
    });
}

// Milliseconds from `since` until the version was in force on each node; empty when a node missed the bound.
std::vector<double> awaitVersion(const fleet &running, std::uint64_t version, std::int64_t since)
{
    std::vector<double> times;
    for (const node_process &each : running.nodes) {
        const bool isInForce = waitUntil(
            [&] {
                return statusNumber(each, "version") >= static_cast<std::int64_t>(version);
            },
            convergenceBound);
        if (!isInForce) {
            return {};
        }
        times.push_back(
            static_cast<double>(std::max<std::int64_t>(0, statusNumber(each, "in_force_since_ms") - since)));
    }
    return times;
}

// The baseline: clients that ask the log for new records once a second.
std::vector<double> pollBaseline(const fleet &running, std::size_t clients, double &bytesPerSecond)
{
    random_generator generator(seed);
    std::vector<double> times(clients, 0);
    std::atomic<std::int64_t> publishedAt = 0;
    std::atomic<std::uint64_t> polls = 0;
    const log_target target{running.log.address, seconds(5)};
    const auto last = requireValue([&] {
        return readLastRecord(target, "config");
    });
    const time_point startedAt = steadyNow();
    {
        std::vector<std::jthread> threads;
        for (std::size_t index = 0; index < clients; ++index) {
            const milliseconds phase = fullJitter(seconds(1), seconds(1), 0, generator);
            threads.emplace_back([&, index, phase] {
                std::this_thread::sleep_for(phase);
                for (int round = 0; round < 10; ++round) {
                    const auto batch = attempt([&] {
                        return readRecords(target, "baseline", 1, 10, milliseconds(0));
                    });
                    ++polls;
                    if (batch && !batch->records.empty()) {
                        times[index] = static_cast<double>(unixNowMs() - publishedAt);
                        return;
                    }
                    std::this_thread::sleep_for(seconds(1));
                }
            });
        }
        std::this_thread::sleep_for(seconds(2));
        requireValue([&] {
            return appendRecord(target, "baseline", std::string(200, 'x'));
        });
        publishedAt = unixNowMs();
    }
    const double elapsed = std::chrono::duration<double>(steadyNow() - startedAt).count();
    constexpr double bytesPerPoll = 400; // request and response head of one poll without records
    bytesPerSecond = static_cast<double>(polls) * bytesPerPoll / elapsed / static_cast<double>(clients);
    return times;
}

int runBench(std::size_t nodes, std::size_t dataCentres, std::size_t publishes)
{
    fleet running;
    const time_point startedAt = steadyNow();
    startFleet(running, nodes, dataCentres);
    if (!waitForMembers(running, dataCentres)) {
        std::cerr << "the nodes did not find each other in time\n";
        return 1;
    }
    print("join_time", std::chrono::duration<double>(steadyNow() - startedAt).count(), "s");
    std::string before;
    std::uint64_t version = 0;
    const auto publishRound = [&](std::size_t round) {
        const std::string after = treeText(dataCentres, round);
        version = publish(running, before, after, version);
        before = after;
        return awaitVersion(running, version, unixNowMs());
    };
    if (publishRound(0).empty()) {
        std::cerr << "the first version did not come into force in time\n";
        return 1;
    }
    std::this_thread::sleep_for(settleTime);
    const auto idleBefore = measureAll(running);
    std::this_thread::sleep_for(idleTime);
    printUsage("idle", idleBefore, measureAll(running), std::chrono::duration<double>(idleTime).count());
    std::vector<double> times;
    const auto busyBefore = measureAll(running);
    const time_point busyAt = steadyNow();
    for (std::size_t round = 1; round <= publishes; ++round) {
        const std::vector<double> each = publishRound(round);
        if (each.empty()) {
            std::cerr << "version " << version << " missed the bound of 6 s\n";
            return 1;
        }
        times.insert(times.end(), each.begin(), each.end());
        std::this_thread::sleep_for(publishGap);
    }
    printUsage("publishing",
               busyBefore,
               measureAll(running),
               std::chrono::duration<double>(steadyNow() - busyAt).count());
    printTimes("convergence", times);
    double baselineBytes = 0;
    const std::vector<double> baseline = pollBaseline(running, nodes, baselineBytes);
    printTimes("baseline_poll", baseline);
    print("baseline_poll_bytes_mean", baselineBytes / 1000, "KB/s");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto argument = [&](int index, std::size_t fallback) {
        return argc > index ? static_cast<std::size_t>(std::strtoul(argv[index], nullptr, 10)) : fallback;
    };
    const std::size_t nodes = argument(1, 25);
    const std::size_t dataCentres = argument(2, 3);
    const std::size_t publishes = argument(3, 10);
    print("seed", static_cast<double>(seed), "number");
    print("nodes", static_cast<double>(nodes), "processes");
    print("data_centres", static_cast<double>(dataCentres), "number");
    return runBench(nodes, dataCentres, publishes);
}
