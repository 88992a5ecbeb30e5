// Guards the promises of the mesh on the platform with real processes: nodes that die, leave or stand still, a store
// that is away, and requests that may run only once.
#include <catch2/catch.hpp>

#include <future>

#include "testing/platform/platform_mesh.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

constexpr milliseconds startBound{8000};
constexpr milliseconds configApplyLimit{2000};
constexpr milliseconds recoveryBound{15000};

std::vector<node_plan> twoDataCentres()
{
    return {{"a1", "orders", "dc-1"}, {"a2", "shop", "dc-1"}, {"b1", "orders", "dc-2"}};
}

std::vector<route_plan> usualRoutes()
{
    return {{"/orders/", "orders"}, {"/sign/", "orders", "unsafe"}, {"/shop/", "shop"}};
}

// A mesh with a configuration in force and requests that are served from every node.
class served_mesh : public platform_mesh
{
public:
    explicit served_mesh(const std::vector<node_plan> &nodes = twoDataCentres())
        : platform_mesh(nodes)
    {
        publish(5, usualRoutes());
        if (!waitReady(startBound)) {
            throw std::runtime_error("the mesh is not ready in time");
        }
        for (const std::string &name : names()) {
            if (!waitServed(name, startBound)) {
                throw std::runtime_error("requests at " + name + " are not served in time");
            }
        }
    }

    unsigned statusOf(const std::string &node, const std::string &target, const std::string &id)
    {
        return send(node, {.id = id, .target = target}).response.status;
    }

    bool waitServed(const std::string &node, milliseconds atMost)
    {
        return waitUntil(
            [&] {
                return statusOf(node, "/orders/warm", "warm-" + std::to_string(m_count++)) == 200
                    && statusOf(node, "/shop/warm", "warm-" + std::to_string(m_count++)) == 200;
            },
            atMost);
    }

    std::string nodeThatRan(const std::string &id)
    {
        for (const std::string &name : names()) {
            if (worker(name).seen(id).runs > 0) {
                return name;
            }
        }
        return {};
    }

private:
    unsigned m_count = 0;
};

} // namespace

TEST_CASE("requests reach a worker of their service from every node")
{
    served_mesh mesh;
    for (const std::string &name : mesh.names()) {
        const std::string id = "calm-" + name;
        const caller_result got = mesh.send(name, {.id = id, .target = "/orders/7?x=1"});
        CHECK(got.response.status == 200);
        CHECK(findHeader(got.response.headers, "Request-Attempt-Id") == id);
        CHECK(findHeader(got.response.headers, "Server-Signature").has_value());
        const std::string ran = mesh.nodeThatRan(id);
        REQUIRE_FALSE(ran.empty());
        CHECK(mesh.worker(ran).options().service == "orders");
        const seen_request seen = mesh.worker(ran).seen(id);
        CHECK(seen.callerService == (name == "a2" ? "shop" : "orders"));
        CHECK(seen.expectedWorker == mesh.worker(ran).options().id);
    }
    CHECK(mesh.statusOf("a1", "/unknown/7", "u-1") == 404);
}

TEST_CASE("a version is in force on every node within its bound, and an older one never follows")
{
    served_mesh mesh;
    std::vector<route_plan> routes = usualRoutes();
    routes.push_back({"/new/", "shop"});
    mesh.publish(9, routes);
    const bool isEverywhere = waitUntil(
        [&] {
            return std::ranges::all_of(mesh.names(), [&](const std::string &name) {
                return mesh.statusOf(name, "/new/1", "new-" + name) == 200;
            });
        },
        configApplyLimit);
    CHECK(isEverywhere);
    mesh.publish(7, usualRoutes());
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(mesh.statusOf("a1", "/new/1", "still") == 200);
    mesh.store().put("keyed.op", "config", "{\"version\":12,\"listeners\":7}");
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(mesh.statusOf("a1", "/new/1", "still-2") == 200);
}

TEST_CASE("a node that starts while the store is away serves what its peers know")
{
    served_mesh mesh;
    mesh.process("a1").kill();
    const store_mode away = GENERATE(store_mode::Silent, store_mode::Busy);
    mesh.store().setMode(away);
    CHECK(mesh.statusOf("b1", "/shop/1", "away-1") == 200);
    mesh.startNode("a1");
    // Its peers reach it with their datagrams; the store cannot tell it of them.
    CHECK(mesh.waitServed("a1", recoveryBound));
}

TEST_CASE("history that the store drops does not hide a version")
{
    served_mesh mesh;
    std::vector<route_plan> routes = usualRoutes();
    routes.push_back({"/new/", "shop"});
    mesh.publish(9, routes);
    mesh.store().forget("keyed.op");
    CHECK(waitUntil(
        [&] {
            return mesh.statusOf("b1", "/new/1", "dropped") == 200;
        },
        configApplyLimit));
}

TEST_CASE("a request that may run once runs once when the node beside its worker dies")
{
    served_mesh mesh({{"a1", "shop", "dc-1"}, {"a2", "shop", "dc-1"}, {"b1", "orders", "dc-2"}});
    auto sending = std::async(std::launch::async, [&] {
        return mesh.send("a1", {.id = "sign-1", .target = "/sign/1?run=800", .method = "POST", .body = "x"});
    });
    REQUIRE(waitUntil(
        [&] {
            return mesh.worker("b1").seen("sign-1").runs == 1;
        },
        milliseconds(3000)));
    mesh.process("b1").kill();
    const caller_result got = sending.get();
    CHECK(got.end == exchange_end::Complete);
    CHECK((got.response.status == 502 || got.response.status == 504));
    mesh.startNode("b1");
    REQUIRE(mesh.waitServed("a1", recoveryBound));
    CHECK(mesh.worker("b1").seen("sign-1").runs == 1);
}

TEST_CASE("a request that may be repeated is served elsewhere when the node beside its worker dies")
{
    served_mesh mesh({{"a1", "shop", "dc-1"}, {"a2", "orders", "dc-1"}, {"b1", "orders", "dc-1"}});
    auto sending = std::async(std::launch::async, [&] {
        return mesh.send("a1", {.id = "read-1", .target = "/orders/1?run=500"});
    });
    REQUIRE(waitUntil(
        [&] {
            return !mesh.nodeThatRan("read-1").empty();
        },
        milliseconds(3000)));
    mesh.process(mesh.nodeThatRan("read-1")).kill();
    CHECK(sending.get().response.status == 200);
}

TEST_CASE("a refusal says that nothing ran, and when to come back")
{
    served_mesh mesh({{"a1", "shop", "dc-1"}, {"b1", "orders", "dc-2"}});
    mesh.stopWorker("b1");
    const caller_result got = mesh.send("a1", {.id = "none-1", .target = "/sign/1", .method = "POST", .body = "x"});
    CHECK(got.response.status == 503);
    CHECK(findHeader(got.response.headers, "Retry-After").has_value());
}

TEST_CASE("a draining worker gets nothing after its bound, and the others serve")
{
    served_mesh mesh;
    REQUIRE(mesh.worker("a1").drain(milliseconds(4000)));
    const time_point acknowledged = steadyNow();
    for (int index = 0; index < 100; ++index) {
        CHECK(mesh.statusOf("a2", "/orders/1", "drain-" + std::to_string(index)) == 200);
    }
    CHECK(mesh.worker("a1").lastStart() < acknowledged + milliseconds(2000));
    CHECK(mesh.worker("b1").totalRuns() >= 90);
}

TEST_CASE("a node that is told to stop answers what it has, exits with 0, and its worker's work moves on")
{
    served_mesh mesh;
    auto sending = std::async(std::launch::async, [&] {
        return mesh.send("a1", {.id = "stop-1", .target = "/shop/1?run=1500"});
    });
    REQUIRE(waitUntil(
        [&] {
            return mesh.worker("a2").seen("stop-1").runs == 1;
        },
        milliseconds(3000)));
    REQUIRE(mesh.process("a1").send(SIGTERM));
    CHECK(waitUntil(
        [&] {
            return !mesh.isReady("a1");
        },
        milliseconds(1000)));
    CHECK(sending.get().response.status == 200);
    CHECK(mesh.process("a1").waitForExit(milliseconds(6000)) == exit_status{0, 0});
    CHECK(mesh.statusOf("a2", "/orders/1", "stop-2") == 200);
}

TEST_CASE("a node that stands still holds up no request that may be repeated")
{
    served_mesh mesh({{"a1", "shop", "dc-1"}, {"a2", "orders", "dc-1"}, {"b1", "orders", "dc-1"}});
    mesh.process("b1").send(SIGSTOP);
    unsigned served = 0;
    for (int index = 0; index < 10; ++index) {
        served += mesh.statusOf("a1", "/orders/1", "still-" + std::to_string(index)) == 200 ? 1U : 0U;
    }
    mesh.process("b1").send(SIGCONT);
    CHECK(served == 10);
}

TEST_CASE("lookups meet their target while a worker hangs with good health")
{
    served_mesh mesh({{"a1", "shop", "dc-1"}, {"a2", "orders", "dc-1"}, {"b1", "orders", "dc-1"}});
    mesh.worker("b1").hang();
    constexpr milliseconds targetLatency{1000}; // of the stand-in's routes
    for (int index = 0; index < 20; ++index) {
        const time_point sentAt = steadyNow();
        CHECK(mesh.statusOf("a1", "/orders/1", "hang-" + std::to_string(index)) == 200);
        CHECK(steadyNow() - sentAt < targetLatency);
    }
    CHECK(mesh.worker("b1").totalRuns() > 0);
}

TEST_CASE("a failed request is found in the logs by its id")
{
    served_mesh mesh({{"a1", "shop", "dc-1"}, {"b1", "orders", "dc-2"}});
    mesh.send("a1", {.id = "lost-1", .target = "/sign/1?lose=1", .method = "POST", .body = "x"});
    const bool isLogged = waitUntil(
        [&] {
            return mesh.log("a1").find("[outbound] ended id=lost-1") != std::string::npos
                && mesh.log("b1").find("[inbound] ran id=lost-1") != std::string::npos;
        },
        milliseconds(2000));
    CHECK(isLogged);
    CHECK(mesh.log("a1").find("b1:unknown") != std::string::npos);
}
