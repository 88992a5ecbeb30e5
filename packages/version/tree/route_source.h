// Routes of a data centre as the tree states them, before their policies and limits are resolved.
//
//   const auto sources = routeSourcesOf(tree, "be-1", *dataCentre);
//   BOOST_LEAF_CHECK(checkOverlaps("be-1", sources));
#pragma once

#include <string_view>
#include <vector>

#include "base/error.h"
#include "version/tree/compiled_config.h"
#include "version/tree/config_tree.h"

namespace pistachioquay::internal {

// One route in force. The texts belong to the tree.
struct route_source
{
    std::string_view name;
    std::string_view container; // service place that contains the route; empty: the data centre or the deployment
    bool isOwn = false; // set at the data centre itself, not at the deployment; only used for messages
    std::string_view prefix;
    std::string_view methods;
    std::string_view service; // empty: missing
    std::string_view policy;
    std::string_view limit;
};

// The values in force for one service of a data centre.
struct value_scope
{
    const value_map *deployment = nullptr;
    const value_map *dataCentre = nullptr;
    const value_map *service = nullptr;
};

// routeSourcesOf lists the routes in force in a data centre: its effective ones, then those of its services. Thread
// safe.
std::vector<route_source> routeSourcesOf(const config_tree &tree, const data_centre_tree &dataCentre);

// checkOverlaps fails with InvalidTree if two routes have equal prefixes and overlapping methods. Thread safe.
result<void> checkOverlaps(std::string_view dataCentre, const std::vector<route_source> &sources);

// resolveRoute checks one route and returns it with its policy and limit. Thread safe. Fails with InvalidTree.
result<route> resolveRoute(const config_tree &tree,
                           std::string_view name,
                           const data_centre_tree &dataCentre,
                           const route_source &source);

// methodsFromText splits a list of methods. Thread safe.
std::vector<std::string> methodsFromText(std::string_view text);

} // namespace pistachioquay::internal
