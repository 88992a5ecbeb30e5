// Guards configuration versions when processes die, are paused or start anew, and when records expire: a node never
// goes back to an older version under its id, and the version in force outlives the records that made it.
#include <catch2/catch.hpp>

#include <algorithm>

#include "connection/log_client/log_client.h"
#include "testing/process/tcp_relay.h"
#include "testing/process/version_checks.h"

using namespace pistachioquay;

namespace {

constexpr std::int64_t retentionMs = 8000;
// Age of a snapshot that leaves time for a node to start before the snapshot expires.
constexpr std::int64_t freshSnapshotMs = 2000;

void killNode(worker_node &each)
{
    each.node.process.kill();
}

// The first `readers` readers and the first `others` other nodes of a data centre.
std::vector<worker_node *>
pickNodes(mesh &running, std::string_view dataCentre, std::size_t readers, std::size_t others)
{
    std::vector<worker_node *> picked;
    for (worker_node &each : running.nodes) {
        if (each.node.settings.dataCentre != dataCentre) {
            continue;
        }
        std::size_t &wanted = isReader(each.node) ? readers : others;
        if (wanted > 0) {
            --wanted;
            picked.push_back(&each);
        }
    }
    REQUIRE(readers + others == 0);
    return picked;
}

log_batch lastOf(const mesh &running, std::string_view stream)
{
    return requireValue([&] {
        return readLastRecord({running.log.address, milliseconds(5000)}, stream);
    });
}

bool hasFreshSnapshot(const mesh &running)
{
    const log_batch last = lastOf(running, "snapshots");
    return !last.records.empty() && unixNowMs() - last.records.back().timeMs < freshSnapshotMs;
}

} // namespace

TEST_CASE("half of the nodes are killed during publishes and restarted at once")
{
    mesh running = startMesh({{"be-1", "orders", 6}, {"be-2", "orders", 2}});
    version_publisher publisher{running};
    REQUIRE(waitForVersion(running, publisher.publish("/first"), convergenceBound));
    const version_watch watch(running);
    for (int round = 0; round < 3; ++round) {
        const std::string prefix = "/round" + std::to_string(round);
        std::vector<worker_node *> victims = pickNodes(running, "be-1", 2, 1);
        victims.push_back(&running.nodes.back());
        publisher.publish(prefix + "a");
        std::ranges::for_each(victims, [&](worker_node *each) {
            killNode(*each);
            publisher.publish(prefix + "b" + std::to_string(each->node.settings.gossipAddress.port));
        });
        CHECK(waitForVersion(running, publisher.version, convergenceBound));
        for (worker_node *each : victims) {
            CHECK_FALSE(each->node.process.isRunning());
        }
        const std::uint64_t last = publisher.publish(prefix);
        std::ranges::for_each(victims, [&](worker_node *each) {
            restartNode(running, *each);
        });
        CHECK(waitForVersion(running, last, convergenceBound));
        for (const worker_node &each : running.nodes) {
            INFO(each.node.settings.nodeId << " in round " << round);
            CHECK(statusNumber(each.node, "version") == static_cast<std::int64_t>(last));
        }
        // Readers are picked anew in the next round, so the membership has to settle.
        CHECK(waitUntil(
            [&] {
                return std::ranges::count_if(running.nodes,
                                             [](const worker_node &each) {
                                                 return each.node.settings.dataCentre == "be-1" && isReader(each.node);
                                             })
                    == 3;
            },
            startBound));
    }
    for (const worker_node &each : running.nodes) {
        CHECK(waitUntil(
            [&] {
                return watch.highest(each.node.settings.nodeId) == static_cast<std::int64_t>(publisher.version);
            },
            convergenceBound));
    }
    CHECK(watch.regressions() == std::vector<std::string>{});
}

TEST_CASE("a paused reader and a paused plain node catch up and never go back")
{
    mesh running = startMesh({{"be-1", "orders", 5}, {"be-2", "orders", 1}});
    version_publisher publisher{running};
    REQUIRE(waitForVersion(running, publisher.publish("/one"), convergenceBound));
    const version_watch watch(running);
    const std::vector<worker_node *> paused = pickNodes(running, "be-1", 1, 1);
    std::ranges::for_each(paused, [](worker_node *each) {
        REQUIRE(each->node.process.send(SIGSTOP));
    });
    const time_point stopped = steadyNow();
    const std::uint64_t second = publisher.publish("/two");
    const auto isPaused = [&](const worker_node &each) {
        return std::ranges::find(paused, &each) != paused.end();
    };
    CHECK(waitUntil(
        [&] {
            return std::ranges::all_of(running.nodes, [&](const worker_node &each) {
                return isPaused(each) || statusNumber(each.node, "version") == static_cast<std::int64_t>(second);
            });
        },
        convergenceBound));
    std::this_thread::sleep_until(stopped + milliseconds(5000));
    std::ranges::for_each(paused, [](worker_node *each) {
        REQUIRE(each->node.process.send(SIGCONT));
    });
    CHECK(waitForVersion(running, second, convergenceBound));
    const std::uint64_t third = publisher.publish("/three");
    CHECK(waitForVersion(running, third, convergenceBound));
    CHECK(watch.regressions() == std::vector<std::string>{});
}

TEST_CASE("a version outlives its records, also after a log outage longer than the retention")
{
    const auto keepShort = [](node_settings &settings) {
        settings.logRetention = milliseconds(retentionMs);
    };
    mesh running = startMesh({}, {"--retention-ms=" + std::to_string(retentionMs)});
    running.nodes.reserve(8); // `addNode` returns references
    for (const char *name : {"a", "b", "c"}) {
        addNode(running, {"be-1", "orders"}, name, keepShort);
    }
    version_publisher publisher{running};
    publisher.publish("/one");
    const std::uint64_t second = publisher.publish("/two");
    REQUIRE(waitForVersion(running, second, startBound));
    const auto areRecordsExpired = [&] {
        const log_batch last = lastOf(running, "config");
        return last.first == last.next;
    };
    REQUIRE(waitUntil(areRecordsExpired, startBound));

    const worker_node &joined = addNode(running, {"be-1", "orders"}, "joined", keepShort);
    CHECK(waitForVersion(running, second, startBound));
    CHECK(servedVersion(joined.node, "/two") == second);

    REQUIRE(setLogFaults(running, R"({"outage": true})"));
    std::this_thread::sleep_for(milliseconds(retentionMs + 1000));
    REQUIRE(setLogFaults(running, R"({"outage": false})"));
    // Without living nodes the snapshot in the log is the only source.
    CHECK(waitUntil(
        [&] {
            return hasFreshSnapshot(running);
        },
        startBound));
    std::ranges::for_each(running.nodes, killNode);
    const worker_node &alone = addNode(running, {"be-1", "orders"}, "alone", [&](node_settings &settings) {
        keepShort(settings);
        settings.seeds.clear();
    });
    CHECK(waitForVersion(running, second, startBound));
    CHECK(servedVersion(alone.node, "/two") == second);
}

TEST_CASE("a node that comes back while the log is down does not route at an older version")
{
    mesh running = startMesh({{"be-1", "orders", 2}});
    testing::tcp_relay relay(running.log.address);
    addNode(running, {"be-1", "orders"}, "stale", [&](node_settings &settings) {
        settings.platformLog = relay.address();
    });
    version_publisher publisher{running};
    const std::uint64_t first = publisher.publish("/one");
    REQUIRE(waitForVersion(running, first, startBound));
    worker_node &witness = running.nodes.at(0);
    worker_node &restarted = running.nodes.at(1);
    worker_node &stale = running.nodes.at(2);
    const auto reports = [](const worker_node &each, std::uint64_t version) {
        return statusNumber(each.node, "version") == static_cast<std::int64_t>(version);
    };
    // The relay ends the long poll, whose response would otherwise wait in the socket of the stopped node.
    REQUIRE(stale.node.process.send(SIGSTOP));
    relay.close();
    const version_watch watch(running);
    const std::uint64_t second = publisher.publish("/two");
    REQUIRE(waitUntil(
        [&] {
            return reports(witness, second)
                && watch.highest(restarted.node.settings.nodeId) == static_cast<std::int64_t>(second);
        },
        convergenceBound));
    std::this_thread::sleep_for(milliseconds(1500)); // heartbeats with the version reach the stopped node's socket
    REQUIRE(setLogFaults(running, R"({"outage": true})"));
    REQUIRE(witness.node.process.send(SIGSTOP));
    restarted.node.process.kill();
    REQUIRE(stale.node.process.send(SIGCONT));
    restarted.node.settings.seeds = {stale.node.settings.gossipAddress};
    restartNode(running, restarted);
    // Longer than a starting node listens for further peers (1 s): only what the stale peer remembers holds it back.
    std::this_thread::sleep_for(milliseconds(2500));
    CHECK(reports(stale, first));
    CHECK(reports(restarted, 0));
    CHECK(servedVersion(restarted.node, "/one") == 0);
    REQUIRE(witness.node.process.send(SIGCONT));
    CHECK(waitForVersion(running, second, convergenceBound));
    CHECK(servedVersion(restarted.node, "/two") == second);
    CHECK(watch.regressions() == std::vector<std::string>{});
}
