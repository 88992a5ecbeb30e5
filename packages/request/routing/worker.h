// Ready workers known to a node, as membership publishes them to the request path: one immutable view that is replaced
// as a whole.
//
//   std::shared_ptr<const worker_view> view = ...;
//   const auto found = view->services.find("orders");
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"

namespace pistachioquay {

// A worker and the node in front of it.
struct worker
{
    std::string nodeId;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string service;
    endpoint peerAddress;
    std::uint32_t slots = 0;
    time_point readySince; // when this node first saw the worker ready, by its own clock

    friend auto operator<=>(const worker &, const worker &) = default;
};

// Ready workers of a service: all of the same data centre, and for each other data centre the few that its summary
// contains.
struct service_workers
{
    std::vector<worker> local;
    std::vector<worker> remote;
    std::map<std::string, std::uint32_t> remoteSpareSlots; // by data centre

    friend bool operator==(const service_workers &, const service_workers &) = default;
};

// All services known to the node.
struct worker_view
{
    std::map<std::string, service_workers> services;

    friend bool operator==(const worker_view &, const worker_view &) = default;
};

} // namespace pistachioquay
