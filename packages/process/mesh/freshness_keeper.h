// Keeps the proof young by which this node accepts keys of client accounts: asks other nodes, and answers them. Private
// to the mesh library.
//
//   freshness_keeper freshness(context, gossip);
//   freshness.start();                            // until the node is stopped
//
// Without a limit in the settings it does nothing, except that it answers others that it has no proof.
#pragma once

#include <optional>

#include "process/mesh/context.h"
#include "process/mesh/gossip.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class freshness_keeper
{
public:
    freshness_keeper(mesh_context &context, gossip_channel &gossip);

    // start starts asking other nodes on the loop.
    void start();
    // recordReader records the node that has just read the platform for the own data centre. A node without a proof
    // asks it at once: the reader may be the first one that reaches the store after an outage.
    void recordReader(const node_record &reader);
    void onQuery(const freshness_query &query, const endpoint &from);
    void onAnswer(const freshness_answer &answer);

private:
    awaitable<void> queryLoop();
    void ask(const endpoint &node, boot_time now);
    std::optional<endpoint> chooseAnyNode();
    void logChange(boot_time now);

    mesh_context &m_context;
    gossip_channel &m_gossip;
    std::optional<endpoint> m_reader; // its address for datagrams
    bool m_wasProven = false; // when it was last logged
};

} // namespace pistachioquay::internal
