// Guards against requests that match the wrong route or host, and against traffic splits that deviate from their
// weights.
#include <catch2/catch.hpp>

#include "version/routes/routes.h"

using namespace pistachioquay;

namespace {

route_table makeTable(const std::vector<std::string> &prefixes)
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

std::string matchedRoute(const route_table &table, std::string_view host, std::string_view target)
{
    const route_config *found = findRoute(table, host, target);
    return found == nullptr ? "none" : found->name;
}

} // namespace

TEST_CASE("findRoute chooses the longest prefix that matches whole path segments")
{
    const route_table table = makeTable({"/a/", "/a/b/"});
    CHECK(matchedRoute(table, "shop.example", "/a/b/c") == "/a/b/");
    CHECK(matchedRoute(table, "shop.example", "/a/bc/d") == "/a/");
    CHECK(matchedRoute(table, "shop.example", "/a/b/") == "/a/b/");
    CHECK(matchedRoute(table, "shop.example", "/a/b") == "/a/");
    CHECK(matchedRoute(table, "shop.example", "/a") == "none");
    CHECK(matchedRoute(table, "shop.example", "/x/a/") == "none");
}

TEST_CASE("findRoute ignores the query string")
{
    const route_table table = makeTable({"/a/", "/b/"});
    CHECK(matchedRoute(table, "shop.example", "/a/x?next=/b/") == "/a/");
    CHECK(matchedRoute(table, "shop.example", "/c?next=/a/") == "none");
}

TEST_CASE("findRoute ignores letter case, port and trailing dot of the host")
{
    const route_table table = makeTable({"/a/"});
    CHECK(matchedRoute(table, "Shop.Example:8080", "/a/x") == "/a/");
    CHECK(matchedRoute(table, "shop.example.", "/a/x") == "/a/");
    CHECK(matchedRoute(table, "other.example", "/a/x") == "none");
    CHECK(matchedRoute(table, "", "/a/x") == "none");
}

TEST_CASE("a traffic split follows its weights in each batch of 20 requests")
{
    route_config route;
    route.name = "split";
    route.targets = {{"old", 90}, {"new", 10}};
    traffic_split_state state;
    for (int batch = 0; batch < 5; ++batch) {
        unsigned toNew = 0;
        for (int index = 0; index < 20; ++index) {
            toNew += chooseTarget(state, route) == "new" ? 1U : 0U;
        }
        CHECK(toNew == 2);
    }
}

TEST_CASE("changed weights of a traffic split apply to the next request")
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
