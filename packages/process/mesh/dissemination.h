// Disseminates the state of the mesh between nodes: joins the parts that each spread one kind of state. Private to the
// mesh library.
//
//   dissemination_tasks dissemination(context, inbound, links, allowances);
//   BOOST_LEAF_CHECK(dissemination.gossip.open());
//   dissemination.start();                        // until `gossip.stop`
#pragma once

#include "process/mesh/allowances.h"
#include "process/mesh/config_spread.h"
#include "process/mesh/departure_keeper.h"
#include "process/mesh/freshness_keeper.h"
#include "process/mesh/gossip.h"
#include "process/mesh/node_directory.h"
#include "process/mesh/rollout_keeper.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class dissemination_tasks
{
public:
    dissemination_tasks(mesh_context &context,
                        inbound_handler &inbound,
                        peer_links &links,
                        allowance_keeper &allowances);

    // start starts the background tasks of all parts on the loop.
    void start();

    gossip_channel gossip;
    rollout_keeper rollouts;
    config_spread configs;
    departure_keeper departures;
    node_directory directory;
    freshness_keeper freshness;

private:
    gossip_events events();

    mesh_context &m_context;
    allowance_keeper &m_allowances;
};

} // namespace pistachioquay::internal
