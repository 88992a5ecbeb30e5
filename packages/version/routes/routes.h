// Route table of one configuration version, looked up by host and path prefix. Tables are immutable: a request keeps a
// pointer to the table that was current when it arrived, and a new version replaces the shared pointer.
//
//   const route_config *found = findRoute(table, "shop.example:8080", "/orders/7?full=1");
//   const std::string &service = chooseTarget(splits, *found); // by weight, if the route splits its traffic
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "version/accounts/accounts.h"

namespace pistachioquay {

// Whether a request may be retried after an attempt that ran, or that may have run.
enum class retry_policy : std::uint8_t
{
    Retryable,
    AtMostOnce,
};

// One target service of a route and its share of the traffic. A route without a traffic split has one target of
// weight 1.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service &, const weighted_service &) = default;
};

// Settings of one route: how requests with its host and path prefix are handled.
struct route_config
{
    std::string name;
    std::string prefix; // starts and ends with a slash
    retry_policy repeat = retry_policy::AtMostOnce;
    milliseconds targetLatency{0}; // a response within this time has its full value
    std::uint32_t priority = 0; // 0 is the most urgent
    milliseconds timeout{0}; // longest time from arrival at a node to the final response
    std::uint32_t maxWorkers = 1; // workers that may receive attempts of one request
    bool allowsAnonymous = false; // needs no key, even if the configuration has accounts
    std::vector<weighted_service> targets;

    friend auto operator<=>(const route_config &, const route_config &) = default;
};

// Limits on the connections and requests of callers.
struct caller_limits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 64UL * 1024 * 1024;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};

    friend auto operator<=>(const caller_limits &, const caller_limits &) = default;
};

struct route_table
{
    std::uint64_t version = 0; // 0: no configuration received yet
    caller_limits limits;
    account_table accounts;
    std::unordered_map<std::string, std::map<std::string, route_config, std::less<>>> hosts; // by host, then prefix

    friend bool operator==(const route_table &, const route_table &) = default;
};

// normalizeHost normalizes the value of a `Host` header for lookup: lower case, without port and trailing dot. Thread
// safe.
std::string normalizeHost(std::string_view host);

// findRoute returns the route of `host` whose prefix is the longest one that matches the path of `target`; null if none
// matches. The pointer is valid as long as `table` exists. Thread safe.
const route_config *findRoute(const route_table &table, std::string_view host, std::string_view target);

// routeCount returns the number of routes of all hosts. Thread safe.
std::size_t routeCount(const route_table &table);

// State of the weighted round robin of each route that splits its traffic. Used by one event loop only.
struct traffic_split_state
{
    struct round_robin_state
    {
        std::vector<weighted_service> targets;
        std::vector<std::int64_t> currentWeights; // one for each target
    };
    std::unordered_map<std::string, round_robin_state> routes; // by route name
};

// chooseTarget returns the target service of the next request. It uses smooth weighted round robin, so that short
// sequences of requests follow the weights too. A change of the targets or weights resets the state. Not thread safe.
const std::string &chooseTarget(traffic_split_state &state, const route_config &route);

} // namespace pistachioquay
