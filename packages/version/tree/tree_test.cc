// Guards the tree against lost values, untyped values and dangling references.
#include <catch2/catch.hpp>

#include "version/tree/compile.h"
#include "version/tree/tree_text.h"

using namespace pistachioquay;

namespace {

const std::string goodTree = R"([limit.orders]
concurrency = 64
requests_per_s = 400

[objective.fast]
latency_ms = 300
target_percent = 99.9

[policy.lookup]
class = "lookup"
deadline_ms = 800
hedge_after_ms = 0
idempotent = true
retries = 2

[policy.order]
class = "interactive"
deadline_ms = 2000
idempotent = false

[data_centre.be-1.policy.lookup]
deadline_ms = 600

[data_centre.be-1.service.empty]

[data_centre.be-1.service.orders.policy.order]
deadline_ms = 1500

[data_centre.be-1.service.orders.route.find]
methods = "GET"
policy = "lookup"
prefix = "/orders"

[data_centre.be-1.service.orders.route.orders]
limit = "orders"
methods = "POST,PUT"
policy = "order"
prefix = "/orders"

[data_centre.be-2]
)";

config_tree read(const std::string &text)
{
    const auto tree = attempt([&] {
        return treeFromToml(text);
    });
    if (!tree) {
        FAIL(describe(tree.failure()));
    }
    return *tree;
}

} // namespace

TEST_CASE("the canonical text of a tree reads back to an equal tree")
{
    const config_tree tree = read(goodTree);
    CHECK(treeToToml(tree) == goodTree);
    CHECK(read(treeToToml(tree)) == tree);
    CHECK(countValues(tree) == 21);
}

TEST_CASE("a data centre compiles with its own overrides, and routes match whole segments")
{
    const auto config = attempt([] {
        return compileConfig(read(goodTree), "be-1", 7);
    });
    REQUIRE(config);
    CHECK(config->services.contains("empty"));
    const route *found = findRoute(*config, "GET", "/orders/7?x=/y");
    REQUIRE(found != nullptr);
    CHECK(found->applied.deadline == milliseconds(600));
    REQUIRE(findRoute(*config, "POST", "/orders") != nullptr);
    CHECK(findRoute(*config, "POST", "/orders")->bound.concurrency == 64);
    CHECK(findRoute(*config, "POST", "/orders/")->applied.deadline == milliseconds(1500));
    CHECK(findRoute(*config, "POST", "/ordersheet") == nullptr);
    CHECK(findRoute(*config, "DELETE", "/orders/7") == nullptr);
    CHECK(findRoute(*config, "GET", "") == nullptr);
    CHECK(config->services.at("orders").objectives.at("fast").targetPercent == Approx(99.9));
}
