// Finds other nodes by the address records that all nodes keep in the platform's store. Private to the mesh library.
//
//   node_directory directory(context, gossip, departures);
//   directory.start();
#pragma once

#include "process/mesh/context.h"
#include "process/mesh/departure_keeper.h"
#include "process/mesh/gossip.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class node_directory
{
public:
    node_directory(mesh_context &context, gossip_channel &gossip, departure_keeper &departures);

    // start starts reading the directory on the loop.
    void start();
    // unpublishRecord removes the own address record from the platform.
    awaitable<void> unpublishRecord();

private:
    awaitable<void> joinLoop();
    awaitable<bool> publishIfNeeded(const std::vector<node_record> &published);
    void contactNodes(const std::vector<node_record> &published);
    awaitable<std::optional<std::vector<node_record>>> readDirectory();

    mesh_context &m_context;
    gossip_channel &m_gossip;
    departure_keeper &m_departures;
    decode_counters m_decodeCounters;
};

} // namespace pistachioquay::internal
