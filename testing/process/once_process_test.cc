// Guards non-idempotent requests with an Idempotency-Key against a second run when the caller sends them again.
#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <sstream>

#include "testing/process/mesh.h"

using namespace pistachioquay;

namespace {

constexpr std::string_view orderTree = R"(
[policy.order]
class = "interactive"
idempotent = false
deadline_ms = 4000

[data_centre.be-1.service.orders.route.orders]
prefix = "/orders"
policy = "order"
)";

mesh startOrders()
{
    mesh running = startMesh({{"be-1", "orders", 2}});
    const std::uint64_t version = publishText(running, orderTree, "", 0);
    REQUIRE(waitForVersion(running, version, convergenceBound));
    return running;
}

http_answer order(const worker_node &through, const std::string &key, const std::string &serviceMs = "0")
{
    return httpPost(through.node.settings.callerAddress,
                    "/orders",
                    "one kit",
                    {{"Idempotency-Key", key}, {"X-Test-Request-Id", key}, {"X-Test-Service-Ms", serviceMs}});
}

// Runs of a key that the workers recorded when they started it.
std::size_t countRuns(const mesh &running, const std::string &key)
{
    std::size_t runs = 0;
    for (const worker_node &each : running.nodes) {
        std::istringstream lines(readFile(each.upstream.recordFile));
        for (std::string line; std::getline(lines, line);) {
            runs += line.find("start") != std::string::npos && line.find('"' + key + '"') != std::string::npos ? 1 : 0;
        }
    }
    return runs;
}

} // namespace

TEST_CASE("an order that is sent again through another node runs once")
{
    const mesh running = startOrders();
    CHECK(order(running.nodes[0], "k1").status == 200);
    const http_answer again = order(running.nodes[1], "k1");
    CHECK(again.status != 200);
    CHECK(headerOf(again, "x-pq-outcome") == "unknown");
    CHECK(countRuns(running, "k1") == 1);
    CHECK(order(running.nodes[1], "k2").status == 200);
}

TEST_CASE("copies of one order that arrive together run once")
{
    const mesh running = startOrders();
    constexpr std::size_t copies = 8;
    std::vector<std::future<http_answer>> open;
    open.reserve(copies);
    for (std::size_t copy = 0; copy < copies; ++copy) {
        open.push_back(std::async(std::launch::async, [&, copy] {
            return order(running.nodes[copy % 2], "same", "100");
        }));
    }
    const auto answered = std::ranges::count_if(open, [](auto &each) {
        return each.get().status == 200;
    });
    CHECK(answered == 1);
    CHECK(countRuns(running, "same") == 1);
}

TEST_CASE("an order whose node was killed while it ran does not run again, and its outcome is unknown")
{
    mesh running = startOrders();
    auto first = std::async(std::launch::async, [&] {
        return order(running.nodes[0], "lost", "1500");
    });
    REQUIRE(waitUntil(
        [&] {
            return countRuns(running, "lost") == 1;
        },
        milliseconds(3000)));
    const std::string line = readFile(running.nodes[0].upstream.recordFile);
    const std::size_t runner = line.find("\"lost\"") != std::string::npos ? 0 : 1;
    running.nodes[runner].node.process.kill();
    first.get();
    const http_answer again = order(running.nodes[1 - runner], "lost");
    CHECK(again.status != 200);
    CHECK(headerOf(again, "x-pq-outcome") == "unknown");
    CHECK(countRuns(running, "lost") == 1);
}

TEST_CASE("while the log is down no keyed order runs, and none is called not run")
{
    const mesh running = startOrders();
    REQUIRE(httpPost(running.log.address, "/test/faults", R"({"outage": true})").status == 200);
    const http_answer refused = order(running.nodes[0], "dark");
    CHECK(refused.status != 200);
    CHECK(headerOf(refused, "x-pq-outcome") == "unknown");
    CHECK(countRuns(running, "dark") == 0);
    REQUIRE(httpPost(running.log.address, "/test/faults", R"({"outage": false})").status == 200);
    REQUIRE(waitUntil(
        [&] {
            return order(running.nodes[1], "light").status == 200;
        },
        convergenceBound));
    CHECK(countRuns(running, "light") == 1);
}
