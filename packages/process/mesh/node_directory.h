// Finds other nodes by the address records that all nodes keep in the platform's store. Writes the own record again
// after a return of the store, which may have lost it. Private to the mesh library.
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
    awaitable<bool> publishRecord();
    awaitable<void> publishAgain();
    awaitable<void> readAndJoin();
    awaitable<void> sleepUntil(time_point until);
    void contactNodes(const std::vector<node_record> &published);
    awaitable<std::optional<std::vector<node_record>>> readDirectory();

    mesh_context &m_context;
    gossip_channel &m_gossip;
    departure_keeper &m_departures;
    decode_counters m_decodeCounters;
    net::steady_timer m_timer; // of the join task; cancelled when the store has returned
    time_point m_readAt; // when the directory is to be read next
    std::optional<time_point> m_firstReadAt;
    bool m_isPublished = false;
    bool m_mayBeLost = false; // the store has returned since the own record was written
};

} // namespace pistachioquay::internal
