// Tests roll-outs on the platform with real processes: a good version takes over in time, a bad one is taken back while
// the store is away and stays so after a kill of all nodes, and its exposure is bounded over all nodes.
#include <catch2/catch.hpp>

#include <sstream>

#include "testing/platform/platform_mesh.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

constexpr milliseconds startTimeout{8000};
constexpr seconds orderTime{10};
const std::string order = R"({"service":"orders","targetVersion":"v2","durationS":10})";

// Nodes of service `orders` with workers of version v1 and v2, and one of another service, whose callers send requests.
class rollout_mesh : public platform_mesh
{
public:
    explicit rollout_mesh(unsigned failEvery)
        : platform_mesh({{"a1", "orders", "dc-1", "v1"},
                         {"a2", "orders", "dc-1", "v1"},
                         {"c1", "orders", "dc-1", "v2", failEvery},
                         {"c2", "orders", "dc-1", "v2", failEvery},
                         {"front", "shop", "dc-1", "v1"}})
    {
        store().put("keyed.op", "rollout/orders", order);
        publish(5, {{"/orders/", "orders"}, {"/shop/", "shop"}});
        if (!waitReady(startTimeout)) {
            throw std::runtime_error("the nodes did not become ready in time");
        }
    }

    std::string status()
    {
        return store().newestValue("keyed.status", "rollout/orders");
    }
    bool hasState(const std::string &state)
    {
        return status().find("\"" + state + "\"") != std::string::npos;
    }
    unsigned newRuns()
    {
        return worker("c1").totalRuns() + worker("c2").totalRuns();
    }
    unsigned oldRuns()
    {
        return worker("a1").totalRuns() + worker("a2").totalRuns();
    }
    // sendOne sends a request of a caller and counts those that did not succeed.
    void sendOne()
    {
        const std::string id = "r-" + std::to_string(m_sent++);
        m_failed += send("front", {.id = id, .target = "/orders/1?run=1"}).response.status == 200 ? 0 : 1;
    }
    // sendUntil sends requests until the roll-out has a state; false if it has none of them in time.
    bool sendUntil(const std::string &state, milliseconds atMost)
    {
        const time_point until = steadyNow() + atMost;
        while (!hasState(state) && steadyNow() < until) {
            sendOne();
        }
        return hasState(state);
    }
    // rolloutLog returns what the nodes have logged about roll-outs, for the report of a failure.
    std::string rolloutLog() const
    {
        std::string lines;
        for (const std::string &name : names()) {
            std::istringstream text(log(name));
            for (std::string line; std::getline(text, line);) {
                if (line.find("rollout") != std::string::npos) {
                    lines.append(name).append(": ").append(line).append("\n");
                }
            }
        }
        return lines;
    }
    unsigned failed() const
    {
        return m_failed;
    }

private:
    unsigned m_sent = 0;
    unsigned m_failed = 0;
};

} // namespace

TEST_CASE("a good version is completed in time, without a failed request, and then gets all of them")
{
    rollout_mesh mesh(0);
    REQUIRE(mesh.sendUntil("running", orderTime));
    const bool isCompleted = mesh.sendUntil("completed", orderTime);
    INFO(mesh.rolloutLog());
    REQUIRE(isCompleted);
    const unsigned before = mesh.oldRuns();
    const unsigned failedBefore = mesh.failed();
    for (unsigned sent = 0; sent < 50; ++sent) {
        mesh.sendOne();
    }
    CHECK(mesh.oldRuns() == before);
    CHECK(mesh.failed() == failedBefore);
    CHECK(mesh.log("front").find("rollout") != std::string::npos);
}

TEST_CASE("a bad version is taken back within its exposure while the store is away, and stays so after a kill of all")
{
    rollout_mesh mesh(2);
    REQUIRE(mesh.sendUntil("running", orderTime));
    mesh.store().setMode(store_mode::Busy);
    const auto isTakenBack = [&] {
        mesh.sendOne();
        return mesh.log("front").find("rolling-back") != std::string::npos;
    };
    const bool wasTakenBack = waitUntil(isTakenBack, orderTime);
    INFO(mesh.rolloutLog());
    REQUIRE(wasTakenBack);
    const unsigned exposed = mesh.newRuns();
    CHECK(exposed > 0);
    CHECK(exposed < 50); // of these, half have failed
    for (unsigned sent = 0; sent < 100; ++sent) {
        mesh.sendOne();
    }
    CHECK(mesh.newRuns() == exposed);
    CHECK(mesh.hasState("running"));
    mesh.store().setMode(store_mode::Up);
    REQUIRE(mesh.sendUntil("rolled_back", orderTime));

    for (const std::string &name : mesh.names()) {
        mesh.process(name).kill();
    }
    for (const std::string &name : mesh.names()) {
        mesh.startNode(name);
    }
    REQUIRE(mesh.waitReady(startTimeout));
    const unsigned oldBefore = mesh.oldRuns();
    const auto isServed = [&] {
        mesh.sendOne();
        return mesh.oldRuns() >= oldBefore + 100;
    };
    CHECK(waitUntil(isServed, startTimeout));
    CHECK(mesh.newRuns() == exposed);
}

TEST_CASE("a node that is killed while it decides does not keep a bad version from being recorded as taken back")
{
    rollout_mesh mesh(2);
    REQUIRE(mesh.sendUntil("running", orderTime));
    // The nodes beside the new workers see its failures first, and decide first.
    const auto hasDecided = [&] {
        mesh.sendOne();
        return mesh.log("c1").find("rolling-back") != std::string::npos
            || mesh.log("c2").find("rolling-back") != std::string::npos;
    };
    REQUIRE(waitUntil(hasDecided, orderTime));
    mesh.process("c1").kill();
    mesh.process("c2").kill();
    CHECK(mesh.sendUntil("rolled_back", orderTime));
}

// Guards against an end of a roll-out that the operator never reads, because the store lost it, and against an order
// that no node carries out, because its offset was given out before.
TEST_CASE("after a return of the store, the end of a roll-out is recorded again, and a further order is carried out")
{
    rollout_mesh mesh(2);
    REQUIRE(mesh.sendUntil("running", orderTime));
    mesh.store().takeCopy();
    mesh.publish(6, {{"/orders/", "orders"}, {"/shop/", "shop"}});
    mesh.publish(7, {{"/orders/", "orders"}, {"/shop/", "shop"}});
    mesh.store().put("keyed.op", "rollout/orders", order);
    REQUIRE(mesh.sendUntil("rolled_back", orderTime));
    const unsigned exposed = mesh.newRuns();
    mesh.store().setMode(store_mode::Away);
    std::this_thread::sleep_for(milliseconds(700));
    mesh.store().returnFromCopy();
    mesh.publish(7, {{"/orders/", "orders"}, {"/shop/", "shop"}});
    CHECK(mesh.hasState("running"));
    const bool isRecordedAgain = mesh.sendUntil("rolled_back", milliseconds(5000));
    INFO(mesh.rolloutLog());
    CHECK(isRecordedAgain);
    CHECK(mesh.newRuns() == exposed);
    mesh.store().put("keyed.op", "rollout/orders", R"({"service":"orders","targetVersion":"v3","durationS":10})");
    CHECK(waitUntil(
        [&] {
            return mesh.status().find("\"v3\"") != std::string::npos;
        },
        milliseconds(5000)));
}
