// Settings of the daemon and of the command line, read from TOML and checked as a whole at start.
//
//   const auto settings = attempt([&] { return readNodeSettings(fileText); });
//   if (!settings) { std::cerr << describe(settings.failure()) << '\n'; return 2; }
//
// Unknown keys, wrong types, values out of range and missing addresses are errors that name the key and the remedy.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"

namespace pistachioquay {

// Settings of `pistachioquayd`.
struct node_settings
{
    std::string nodeId; // `node.id`; default "<service>@<peer address>"
    std::string dataCentre; // `node.data_centre`
    std::string service; // `node.service`
    endpoint callerAddress; // `listen.caller`
    endpoint peerAddress; // `listen.peer`
    endpoint controlAddress; // `listen.control`
    endpoint gossipAddress; // `listen.gossip`
    endpoint syncAddress; // `listen.sync`
    endpoint upstream; // `upstream.address`
    std::uint32_t slots = 0; // `upstream.slots`, requests that the worker runs at once
    endpoint platformLog; // `platform.log`
    milliseconds logRetention{86'400'000}; // `platform.retention_ms`, time that the log keeps records
    std::vector<endpoint> seeds; // `seeds.gossip`, gossip addresses of nodes to join by
    milliseconds drainTimeout{30'000}; // `limits.drain_ms`
    std::uint32_t maxConnections = 512; // `limits.connections`, for each HTTP port

    friend bool operator==(const node_settings &, const node_settings &) = default;
};

// Settings of `pistachioquay`.
struct cli_settings
{
    endpoint platformLog; // `platform.log`
    std::vector<endpoint> nodes; // `nodes.control`, control addresses to ask for status
    std::string author; // `operator.name`

    friend bool operator==(const cli_settings &, const cli_settings &) = default;
};

// readNodeSettings reads and checks the TOML text. Thread safe. Fails with InvalidSettings.
result<node_settings> readNodeSettings(std::string_view toml);

// readCliSettings reads and checks the TOML text. Thread safe. Fails with InvalidSettings.
result<cli_settings> readCliSettings(std::string_view toml);

} // namespace pistachioquay
