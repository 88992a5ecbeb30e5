// What the nodes say about their versions. Each node also lists the other nodes that it knows, so a few addresses of
// each data centre are enough.
//
//   const fleet_status fleet = readFleet(access);
//   const auto behind = nodesBehind(fleet, 12);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioquay/access.h"

namespace pistachioquay {

// One node.
struct node_status
{
    std::string node;
    std::string dataCentre;
    std::string service;
    std::string control; // address of its control port
    std::string state;
    std::uint64_t version = 0;
    std::uint64_t position = 0;
    std::uint64_t schema = 0; // newest schema of edit records that it reads; 0 is unknown

    friend bool operator==(const node_status &, const node_status &) = default;
};

// All nodes that were found.
struct fleet_status
{
    std::vector<node_status> nodes; // by data centre, service and node
    std::vector<std::string> failures; // addresses that did not respond, with the reason

    friend bool operator==(const fleet_status &, const fleet_status &) = default;
};

// parseStatus reads the body of one GET /v1/status: the node itself, then its members. Thread safe. Fails with Corrupt.
result<std::vector<node_status>> parseStatus(std::string_view body);

// readFleet asks the addresses of the settings. A node that several list is shown with its highest position. Thread
// safe.
fleet_status readFleet(const cli_access &access);

// nodesBehind returns the nodes whose version is older than `version`, except those that left. Thread safe.
std::vector<node_status> nodesBehind(const fleet_status &fleet, std::uint64_t version);

// schemaWarnings names the nodes that would stop at a record of `schema`. Thread safe.
std::vector<std::string> schemaWarnings(const fleet_status &fleet, std::uint32_t schema);

} // namespace pistachioquay
