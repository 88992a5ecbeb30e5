// Guards the whole path with separate processes: a published tree reaches every node, and a caller's request is served
// by an upstream through it.
#include <catch2/catch.hpp>

#include "testing/process/mesh.h"

using namespace pistachioquay;

namespace {

constexpr std::string_view firstTree = R"(
[policy.browse]
class = "interactive"
idempotent = true
deadline_ms = 2000
retries = 2
hedge_after_ms = 0

[data_centre.be-1.service.catalogue.route.items]
prefix = "/items"
policy = "browse"
[data_centre.be-1.service.orders]
[data_centre.be-2.service.catalogue.route.items]
prefix = "/items"
policy = "browse"
)";

constexpr std::string_view secondTree = R"(
[policy.browse]
class = "interactive"
idempotent = true
deadline_ms = 2000
retries = 2
hedge_after_ms = 0

[data_centre.be-1.service.catalogue.route.items]
prefix = "/stock"
policy = "browse"
[data_centre.be-1.service.orders]
[data_centre.be-2.service.catalogue.route.items]
prefix = "/stock"
policy = "browse"
)";

} // namespace

TEST_CASE("a published tree is in force on every node and a request is served through two nodes")
{
    mesh running = startMesh({{"be-1", "orders", 1}, {"be-1", "catalogue", 2}, {"be-2", "catalogue", 1}});
    const http_answer early = httpGet(running.nodes.front().node.settings.callerAddress, "/items/1");
    CHECK(early.status == 503);
    CHECK(headerOf(early, "x-pq-outcome") == "not-run");

    const std::uint64_t first = publishText(running, firstTree, "", 0);
    REQUIRE(waitForVersion(running, first, convergenceBound));
    for (const worker_node &each : running.nodes) {
        const http_answer answer = httpGet(each.node.settings.callerAddress, "/items/7");
        CHECK(answer.status == 200);
        CHECK(answer.isWhole);
        CHECK(headerOf(answer, "x-pq-version") == std::to_string(first));
    }

    const std::uint64_t second = publishText(running, secondTree, firstTree, first);
    REQUIRE(waitForVersion(running, second, convergenceBound));
    CHECK(httpGet(running.nodes.front().node.settings.callerAddress, "/items/7").status == 404);
    CHECK(httpGet(running.nodes.front().node.settings.callerAddress, "/stock/7").status == 200);

    for (worker_node &each : running.nodes) {
        each.node.process.send(SIGTERM);
        CHECK(each.node.process.waitForExit(milliseconds(10'000)) == exit_status{0, 0});
    }
}
