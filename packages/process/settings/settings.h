// Settings of the daemon and of the command-line program, read from TOML and fully validated at start.
//
//   const auto settings = attempt([&] { return readNodeSettings(fileText); });
//   if (!settings) { std::cerr << describe(settings.failure()) << '\n'; return 2; }
//
// Unknown keys, wrong types, values out of range and missing required keys are errors. The error names the key and says
// how to correct it.
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
    std::uint32_t slots = 0; // `upstream.slots`, requests that the upstream runs concurrently
    endpoint platformLog; // `platform.log`
    milliseconds logRetention{86'400'000}; // `platform.retention_ms`, how long the log retains records
    std::vector<endpoint> seeds; // `seeds.gossip`, gossip addresses of the nodes contacted first to join the mesh
    milliseconds drainTimeout{30'000}; // `limits.drain_ms`
    std::uint32_t maxConnections = 512; // `limits.connections`, maximum for each HTTP port

    friend bool operator==(const node_settings &, const node_settings &) = default;
};

// Settings of `pistachioquay`.
struct cli_settings
{
    endpoint platformLog; // `platform.log`
    std::vector<endpoint> nodes; // `nodes.control`, control addresses of the nodes to query for status
    std::string author; // `operator.name`, written to published records as their author

    friend bool operator==(const cli_settings &, const cli_settings &) = default;
};

// readNodeSettings parses and validates the TOML text. Thread safe. Fails with InvalidSettings.
result<node_settings> readNodeSettings(std::string_view toml);

// readCliSettings parses and validates the TOML text. Thread safe. Fails with InvalidSettings.
result<cli_settings> readCliSettings(std::string_view toml);

} // namespace pistachioquay
