// Guards against requests that match the wrong route or host, and splits that stray from their weights.
#include <catch2/catch.hpp>

#include "version/routes/routes.h"

using namespace pistachioquay;

namespace {

route_table tableWith(const std::vector<std::string> &prefixes)
{
    route_table table;
    table.version = 1;
    for (const std::string &prefix : prefixes) {
        route_config route;
        route.prefix = prefix;
        route.name = prefix;
        route.targets = {{"orders", 1}};
        table.hosts["shop.example"][prefix] = route;
    }
    return table;
}

std::string routeOf(const route_table &table, std::string_view host, std::string_view target)
{
    const route_config *found = findRoute(table, host, target);
    return found == nullptr ? "none" : found->name;
}

} // namespace

TEST_CASE("the longest prefix of whole segments wins")
{
    const route_table table = tableWith({"/a/", "/a/b/"});
    CHECK(routeOf(table, "shop.example", "/a/b/c") == "/a/b/");
    CHECK(routeOf(table, "shop.example", "/a/bc/d") == "/a/");
    CHECK(routeOf(table, "shop.example", "/a/b/") == "/a/b/");
    CHECK(routeOf(table, "shop.example", "/a/b") == "/a/");
    CHECK(routeOf(table, "shop.example", "/a") == "none");
    CHECK(routeOf(table, "shop.example", "/x/a/") == "none");
}

TEST_CASE("a query takes no part in the match")
{
    const route_table table = tableWith({"/a/", "/b/"});
    CHECK(routeOf(table, "shop.example", "/a/x?next=/b/") == "/a/");
    CHECK(routeOf(table, "shop.example", "/c?next=/a/") == "none");
}

TEST_CASE("hosts match without regard to case, port and final dot")
{
    const route_table table = tableWith({"/a/"});
    CHECK(routeOf(table, "Shop.Example:8080", "/a/x") == "/a/");
    CHECK(routeOf(table, "shop.example.", "/a/x") == "/a/");
    CHECK(routeOf(table, "other.example", "/a/x") == "none");
    CHECK(routeOf(table, "", "/a/x") == "none");
}

TEST_CASE("every span of requests follows the weights of a split")
{
    route_config route;
    route.name = "split";
    route.targets = {{"old", 90}, {"new", 10}};
    traffic_split_state state;
    for (int span = 0; span < 5; ++span) {
        unsigned toNew = 0;
        for (int index = 0; index < 20; ++index) {
            toNew += chooseTarget(state, route) == "new" ? 1U : 0U;
        }
        CHECK(toNew == 2);
    }
}

TEST_CASE("changed weights hold from the next request on")
{
    route_config route;
    route.name = "split";
    route.targets = {{"old", 90}, {"new", 10}};
    traffic_split_state state;
    chooseTarget(state, route);
    route.targets = {{"old", 0}, {"new", 100}};
    for (int index = 0; index < 10; ++index) {
        CHECK(chooseTarget(state, route) == "new");
    }
}
