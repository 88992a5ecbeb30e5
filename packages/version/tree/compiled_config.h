// The configuration of one data centre, compiled from a version of the tree. Immutable: a request keeps a pointer to
// the value that it started with, and a new version replaces the pointer as a whole.
//
//   std::shared_ptr<const compiled_config> config = ...;
//   const route *found = findRoute(*config, "POST", "/orders/7");
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/work_class.h"

namespace pistachioquay {

// How requests of a route are treated.
struct policy
{
    work_class workClass = work_class::Interactive;
    bool isIdempotent = false;
    milliseconds deadline{1000};
    std::uint32_t retries = 0;
    milliseconds hedgeAfter{0}; // 0: no hedging

    friend bool operator==(const policy &, const policy &) = default;
};

// Upper bounds for all nodes of the data centre together; 0 means no bound.
struct limit
{
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t concurrency = 0;

    friend bool operator==(const limit &, const limit &) = default;
};

// Service-level objective of a service.
struct objective
{
    double targetPercent = 0;
    milliseconds latency{0};

    friend bool operator==(const objective &, const objective &) = default;
};

// One route with everything that it refers to resolved.
struct route
{
    std::string name;
    std::string prefix;
    std::vector<std::string> methods; // empty: all methods
    std::string service;
    std::string policyName;
    policy applied;
    std::string limitName; // empty: no limit
    limit bound;

    friend bool operator==(const route &, const route &) = default;
};

// One service of the data centre.
struct service_config
{
    std::string name;
    std::map<std::string, objective> objectives;

    friend bool operator==(const service_config &, const service_config &) = default;
};

// Everything in force for the nodes of one data centre at one version.
struct compiled_config
{
    std::uint64_t version = 0;
    std::string dataCentre;
    std::vector<route> routes; // longest prefix first, then by prefix and name
    std::map<std::string, service_config> services;

    friend bool operator==(const compiled_config &, const compiled_config &) = default;
};

// findRoute returns the route with the longest prefix that matches whole path segments of `path` (without its query)
// and accepts `method`; null if none does. The pointer lives as long as `config`. Thread safe.
const route *findRoute(const compiled_config &config, std::string_view method, std::string_view path);

} // namespace pistachioquay
