// Guards what must hold about configuration versions while the log, the network or a record is faulty: nodes keep the
// version in force, converge within the bound, never go back, and never apply a bad version in part.
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>

#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "testing/harness/json.h"
#include "testing/process/tcp_relay.h"
#include "testing/process/version_checks.h"
#include "version/fold/envelope.h"
#include "version/tree/tree_text.h"

using namespace pistachioquay;

namespace {

log_target targetOf(const mesh &running)
{
    return {running.log.address, milliseconds(5000)};
}

std::uint64_t nextOffset(const mesh &running)
{
    return requireValue([&] {
               return readLastRecord(targetOf(running), "config");
           })
        .next;
}

struct command_result
{
    int code = -1;
    std::string output;
};

// Publishes a tree with the command line program.
command_result publishByCommand(const mesh &running, std::string_view prefix, std::uint64_t base)
{
    const std::string settings = running.folder->file("cli.toml");
    const std::string tree = running.folder->file("tree.toml");
    const std::string output = running.folder->file("cli.log");
    std::remove(output.c_str());
    std::ofstream(settings) << "[platform]\nlog = \"" << toText(running.log.address)
                            << "\"\n[operator]\nname = \"awa\"\n";
    std::ofstream(tree) << "# base_version = " << base << "\n" << treeWithPrefix(prefix);
    auto child = requireValue([&] {
        return startProcess(
            {programPath("packages/pistachioquay/pistachioquay"), {"--settings", settings, "publish", tree}, output});
    });
    const auto status = child.waitForExit(milliseconds(30'000));
    return {status ? status->code : -1, child.log()};
}

// Time left of the convergence bound that began at `since`.
milliseconds restOfBound(time_point since)
{
    return std::max(milliseconds(0), convergenceBound - std::chrono::duration_cast<milliseconds>(steadyNow() - since));
}

void checkServed(const mesh &running, std::string_view path, std::uint64_t version)
{
    for (const worker_node &each : running.nodes) {
        INFO(each.node.settings.nodeId);
        CHECK(servedVersion(each.node, path) == version);
    }
}

// Bytes of a record that makes `toml` out of `before`.
std::string recordOf(std::string_view toml, std::string_view before, std::uint64_t base)
{
    random_generator generator = seededFromDevice();
    const auto treeOf = [](std::string_view text) {
        return requireValue([&] {
            return treeFromToml(text);
        });
    };
    return encodeRecord({randomId(generator), base, "test", diffTrees(treeOf(before), treeOf(toml))});
}

std::uint64_t appendConfig(const mesh &running, std::string_view bytes)
{
    return requireValue([&] {
        return appendRecord(targetOf(running), "config", bytes);
    });
}

bool waitForNumber(const mesh &running, const char *key, std::int64_t least)
{
    return waitUntil(
        [&] {
            return std::ranges::all_of(running.nodes, [&](const worker_node &each) {
                return statusNumber(each.node, key) >= least;
            });
        },
        convergenceBound);
}

} // namespace

TEST_CASE("nodes serve the version in force while the log is down and converge after its return")
{
    mesh running = startMesh({{"be-1", "orders", 4}, {"be-2", "orders", 2}});
    version_publisher publisher{running};
    const std::uint64_t first = publisher.publish("/one");
    REQUIRE(waitForVersion(running, first, convergenceBound));
    const version_watch watch(running);

    REQUIRE(setLogFaults(running, R"({"outage": true})"));
    const command_result refused = publishByCommand(running, "/two", first);
    INFO(refused.output);
    CHECK(refused.code != 0);
    CHECK(refused.output.find("accepted at") == std::string::npos);
    checkServed(running, "/one", first);
    std::this_thread::sleep_for(milliseconds(3000)); // lets the back-off of the readers grow
    checkServed(running, "/one", first);

    REQUIRE(setLogFaults(running, R"({"outage": false})"));
    const time_point returned = steadyNow();
    CHECK(nextOffset(running) == first + 1);
    const std::uint64_t second = publisher.publish("/two");
    CHECK(waitForVersion(running, second, restOfBound(returned)));
    checkServed(running, "/two", second);

    // The same with a closed port. A publish that is refused is not in the log, so it is tried until the log takes it.
    REQUIRE(setLogFaults(running, R"({"refuse_ms": 3000})"));
    REQUIRE(waitUntil(
        [&] {
            return !waitForPort(running.log.address, milliseconds(0));
        },
        convergenceBound));
    CHECK_THROWS(publisher.publish("/three"));
    checkServed(running, "/two", second);
    REQUIRE(waitForPort(running.log.address, convergenceBound));
    const time_point reopened = steadyNow();
    const std::uint64_t third = publisher.publish("/three");
    CHECK(waitForVersion(running, third, restOfBound(reopened)));
    checkServed(running, "/three", third);
    CHECK(watch.regressions() == std::vector<std::string>{});
}

TEST_CASE("a version of a slow log is in force within the bound after its acknowledgement")
{
    mesh running = startMesh({{"be-1", "orders", 4}, {"be-2", "orders", 2}});
    version_publisher publisher{running};
    REQUIRE(setLogFaults(running, R"({"delay_ms": 1000})"));
    for (const std::string_view prefix : {"/one", "/two", "/three"}) {
        const std::uint64_t version = publisher.publish(prefix);
        CHECK(waitForVersion(running, version, convergenceBound));
        checkServed(running, prefix, version);
    }
}

TEST_CASE("a publish whose append response is lost appears once and is reported as it is")
{
    mesh running = startMesh({{"be-1", "orders", 2}});
    version_publisher publisher{running};
    const std::uint64_t first = publisher.publish("/one");
    REQUIRE(waitForVersion(running, first, convergenceBound));

    REQUIRE(setLogFaults(running, R"({"lose_responses": 1})"));
    const command_result published = publishByCommand(running, "/two", first);
    INFO(published.output);
    CHECK(published.code == 0);
    CHECK(published.output == "accepted at version " + std::to_string(first + 1) + "\n");
    CHECK(nextOffset(running) == first + 2);
    CHECK(waitForVersion(running, first + 1, convergenceBound));
    checkServed(running, "/two", first + 1);
    CHECK(statusNumber(running.nodes.front().node, "rejected_records") == 0);

    // A response that is lost for good leaves no doubt either while the log can be read.
    REQUIRE(setLogFaults(running, R"({"lose_responses": -1})"));
    const command_result again = publishByCommand(running, "/three", first + 1);
    INFO(again.output);
    CHECK(again.code == 0);
    CHECK(again.output == "accepted at version " + std::to_string(first + 2) + "\n");
    CHECK(nextOffset(running) == first + 3);
}

TEST_CASE("a bad record is never in force in part and the next good version is")
{
    mesh running = startMesh({{"be-1", "orders", 3}, {"be-2", "orders", 2}});
    version_publisher publisher{running};
    const std::uint64_t inForce = publisher.publish("/one");
    REQUIRE(waitForVersion(running, inForce, convergenceBound));
    const version_watch watch(running);

    // Valid on its own, so a node that ignored the damage would put the prefix in force.
    const std::string good = recordOf(treeWithPrefix("/bad"), publisher.text, inForce);
    std::string corrupt = good;
    corrupt.at(corrupt.size() / 2) = static_cast<char>(corrupt.at(corrupt.size() / 2) ^ 0x20);
    std::string dangling = treeWithPrefix("/bad");
    dangling += "[data_centre.be-2.service.orders.route.lost]\nprefix = \"/lost\"\npolicy = \"missing\"\n";
    const std::vector<std::string> bad{corrupt,
                                       good.substr(0, good.size() - 7),
                                       recordOf(dangling, publisher.text, inForce)};
    for (std::size_t index = 0; index < bad.size(); ++index) {
        INFO("bad record " << index);
        const std::uint64_t offset = appendConfig(running, bad.at(index));
        CHECK(waitForNumber(running, "position", static_cast<std::int64_t>(offset) + 1));
        CHECK(waitForNumber(running, "rejected_records", static_cast<std::int64_t>(index) + 1));
        checkServed(running, "/one", inForce);
        checkServed(running, "/bad", 0);
        for (const worker_node &each : running.nodes) {
            CHECK(statusNumber(each.node, "version") == static_cast<std::int64_t>(inForce));
        }
    }
    const std::uint64_t second = publisher.publish("/two");
    CHECK(waitForVersion(running, second, convergenceBound));
    checkServed(running, "/two", second);
    checkServed(running, "/one", 0);
    CHECK(watch.regressions() == std::vector<std::string>{});
}

TEST_CASE("a record with a newer schema stops the fold and the node stays whole at its version")
{
    mesh running = startMesh({{"be-1", "orders", 3}, {"be-2", "orders", 2}});
    version_publisher publisher{running};
    const std::uint64_t first = publisher.publish("/one");
    REQUIRE(waitForVersion(running, first, convergenceBound));
    const std::uint64_t blocked = appendConfig(running, sealEnvelope(recordMagic, recordSchema + 1, "future"));
    publisher.publish("/two");
    // All of these nodes are readers; a plain node does not get the record from its peers and so does not report it.
    const auto isBlocked = [](const worker_node &each) {
        return flagIn(parseJson(statusOf(each.node)).get(), "schema_blocked", false);
    };
    CHECK(waitUntil(
        [&] {
            return std::ranges::all_of(running.nodes, [&](const worker_node &each) {
                return isBlocked(each);
            });
        },
        convergenceBound));
    std::this_thread::sleep_for(milliseconds(2000)); // a node that skipped the record would advance in this time
    checkServed(running, "/one", first);
    checkServed(running, "/two", 0);
    for (const worker_node &each : running.nodes) {
        CHECK(statusNumber(each.node, "position") == static_cast<std::int64_t>(blocked));
    }
}

TEST_CASE("a data centre cut off from the platform gets new versions through another one")
{
    mesh running = startMesh({{"be-1", "orders", 3}});
    testing::tcp_relay relay(running.log.address);
    for (const char *name : {"cut-a", "cut-b", "cut-c"}) {
        addNode(running, {"be-2", "orders"}, name, [&](node_settings &settings) {
            settings.platformLog = relay.address();
        });
    }
    version_publisher publisher{running};
    REQUIRE(waitForVersion(running, publisher.publish("/one"), startBound));
    const version_watch watch(running);
    relay.close();
    const auto cannotReadLog = [](const worker_node &each) {
        return each.node.settings.dataCentre != "be-2"
            || each.node.process.log().find("Cannot read the platform log") != std::string::npos;
    };
    // Until a reader's poll has failed, it might still get the version from the log.
    REQUIRE(waitUntil(
        [&] {
            return std::ranges::all_of(running.nodes, cannotReadLog);
        },
        convergenceBound));
    for (const std::string_view prefix : {"/two", "/three", "/four"}) {
        const std::uint64_t version = publisher.publish(prefix);
        CHECK(waitForVersion(running, version, convergenceBound));
        checkServed(running, prefix, version);
    }
    relay.open();
    const std::uint64_t last = publisher.publish("/five");
    CHECK(waitForVersion(running, last, convergenceBound));
    CHECK(watch.regressions() == std::vector<std::string>{});
}
