// The routes of one configuration version, by host and path prefix. Immutable: a request keeps a pointer to the table
// that it started with, and a new version replaces the pointer as a whole.
//
//   const route_config *found = findRoute(table, "shop.example:8080", "/orders/7?full=1");
//   const std::string &service = chooseTarget(splits, *found);          // exact by weight over any span of requests
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

// Whether a request may run again after it ran, or may have run.
enum class retry_policy : std::uint8_t
{
    Retryable,
    AtMostOnce,
};

// One service of a split; a route without a split has one with weight 1.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service &, const weighted_service &) = default;
};

// How requests under one host and prefix are treated.
struct route_config
{
    std::string name;
    std::string prefix; // begins and ends with a slash
    retry_policy repeat = retry_policy::AtMostOnce;
    milliseconds targetLatency{0}; // a response within this time earns its full worth
    std::uint32_t priority = 0; // 0 is the most urgent
    milliseconds timeout{0}; // longest time from the arrival at a node to the final response
    std::uint32_t maxWorkers = 1; // that one request of a caller may be sent to
    std::vector<weighted_service> targets;

    friend auto operator<=>(const route_config &, const route_config &) = default;
};

// Bounds on what callers send.
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
    std::uint64_t version = 0; // 0: no configuration is known yet
    caller_limits limits;
    std::unordered_map<std::string, std::map<std::string, route_config, std::less<>>> hosts; // by host, then prefix

    friend bool operator==(const route_table &, const route_table &) = default;
};

// normalizeHost returns the lower-case host of a `Host` header, without port and final dot. Thread safe.
std::string normalizeHost(std::string_view host);

// findRoute returns the route with the longest prefix of the path of `target`; null if there is none. The pointer lives
// as long as `table`. Thread safe.
const route_config *findRoute(const route_table &table, std::string_view host, std::string_view target);

// routeCount returns the number of routes. Thread safe.
std::size_t routeCount(const route_table &table);

// Where each split stands. Belongs to one loop.
struct traffic_split_state
{
    struct position
    {
        std::vector<weighted_service> targets;
        std::vector<std::int64_t> credit;
    };
    std::unordered_map<std::string, position> routes; // by route name
};

// chooseTarget picks the service of the next request by smooth weighted round robin, so that every span of requests
// follows the weights. A change of the weights starts the split anew. Not thread safe.
const std::string &chooseTarget(traffic_split_state &state, const route_config &route);

} // namespace pistachioquay
