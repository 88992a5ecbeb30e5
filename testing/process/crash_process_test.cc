// Guards the workers against one request that crashes each of them and is sent again and again, and the requests beside
// it against being refused for it.
#include <catch2/catch.hpp>

#include <algorithm>

#include "testing/process/mesh.h"

using namespace pistachioquay;

namespace {

constexpr std::string_view lookupTree = R"(
[policy.lookup]
class = "lookup"
idempotent = true
deadline_ms = 3000
retries = 3

[data_centre.be-1.service.sizes.route.sizes]
prefix = "/sizes"
policy = "lookup"
)";

std::size_t countDead(mesh &running)
{
    return static_cast<std::size_t>(std::ranges::count_if(running.nodes, [](worker_node &each) {
        return !each.upstream.process.isRunning();
    }));
}

} // namespace

TEST_CASE("a request that crashes its worker crashes at most two, and the others go on")
{
    mesh running = startMesh({{"be-1", "sizes", 5}});
    const std::uint64_t version = publishText(running, lookupTree, "", 0);
    REQUIRE(waitForVersion(running, version, convergenceBound));
    for (std::size_t repeat = 0; repeat < 12; ++repeat) {
        const worker_node &through = running.nodes[repeat % running.nodes.size()];
        const http_answer answer = httpGet(through.node.settings.callerAddress, "/sizes/bad", {{"X-Test-Crash", "1"}});
        CHECK(answer.status != 200);
    }
    CHECK(countDead(running) <= 2);
    const http_answer refused =
        httpGet(running.nodes[0].node.settings.callerAddress, "/sizes/bad", {{"X-Test-Crash", "1"}});
    CHECK(refused.body.find("crashed two workers") != std::string::npos);
    for (const worker_node &each : running.nodes) {
        const http_answer answer = httpGet(each.node.settings.callerAddress, "/sizes/good");
        INFO(answer.body);
        CHECK(answer.status == 200);
    }
}
