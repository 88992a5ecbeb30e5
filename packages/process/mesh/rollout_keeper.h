// Carries out the roll-outs of versions on this node: applies orders and the records of other nodes, decides by the
// evidence of all workers, and records the state in the platform's store. Private to the mesh library.
//
//   rollout_keeper rollouts(context, inbound, gossip);
//   rollouts.applyOrders(read.rolloutOrders, now);
//   rollouts.maintain(now);                       // a few times a second
#pragma once

#include <map>

#include "process/mesh/context.h"
#include "process/mesh/gossip.h"
#include "process/mesh/inbound.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class rollout_keeper
{
public:
    rollout_keeper(mesh_context &context, inbound_handler &inbound, gossip_channel &gossip);

    // applyOrders applies orders of the operator that were read from the platform's store.
    void applyOrders(const std::vector<rollout_order> &orders, time_point now);
    // applyRecords applies what another node tells about roll-outs. A record in doubt is left out; it comes again.
    void applyRecords(const std::vector<rollout_record> &records, time_point now);
    // maintain decides what is due, and starts to record it in the store.
    void maintain(time_point now);
    // metricsText returns the state and the evidence of all roll-outs in the Prometheus text format.
    std::string metricsText() const;

private:
    // Calls to the store for one service.
    struct store_duty
    {
        bool isRunning = false;
        time_point nextAt;
    };

    // An order that is applied when it is no longer in doubt.
    struct doubtful_order
    {
        rollout_record record;
        time_point readAt;
    };

    void applyDoubtful(time_point now);
    std::vector<observed_worker> observe(const known_rollout &rollout, time_point now) const;
    std::size_t rankOf(const rollout_record &record, time_point now) const;
    void updateCounting(time_point now);
    void announceBadRuns(time_point now);
    void maintainRollout(known_rollout &rollout, time_point now);
    bool needsStore(const known_rollout &rollout,
                    const std::vector<observed_worker> &workers,
                    std::size_t rank,
                    time_point now) const;
    awaitable<void> settle(std::string service);
    awaitable<void> settleEnd(rollout_record ended, rollout_status_read read);
    bool applyStored(known_rollout &rollout, const rollout_status_read &read, time_point now);
    awaitable<void> record(rollout_record record, rollout_phase phase, store_position position);
    void changePhase(known_rollout &rollout, const phase_change &change, std::string_view source, time_point now);
    void onChange(const known_rollout &rollout, std::string_view source, time_point now);

    mesh_context &m_context;
    inbound_handler &m_inbound;
    gossip_channel &m_gossip;
    std::map<std::string, store_duty> m_duties; // by service
    std::map<std::string, doubtful_order> m_doubtful; // by service; the newest, see `isInDoubt`
    std::uint64_t m_badRunsAnnounced = 0; // of the own worker, when its evidence was last sent to all nodes
    time_point m_announcedAt;
};

} // namespace pistachioquay::internal
