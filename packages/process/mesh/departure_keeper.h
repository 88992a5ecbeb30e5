// Keeps the departures of the own worker beyond the life of this process: has them held by the platform's store or by
// other nodes, writes them again after a return of the store, and recovers them after a restart. Private to the mesh
// library.
//
//   departure_keeper departures(context, inbound, gossip);
//   if (co_await departures.hold(departure)) acknowledge();
#pragma once

#include <map>
#include <memory>
#include <set>

#include "process/mesh/context.h"
#include "process/mesh/gossip.h"
#include "process/mesh/inbound.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class departure_keeper
{
public:
    departure_keeper(mesh_context &context, inbound_handler &inbound, gossip_channel &gossip);

    // hold has a departure of the worker held by the platform's store or by other nodes, so that it outlives this
    // process. Returns false if nobody has confirmed it in time; the attempts at the store go on.
    awaitable<bool> hold(worker_departure departure);
    // maintain ends the recovery of departures after the start, and removes old departures.
    void maintain(time_point now);
    // applyHeld applies what another node holds for this one.
    void applyHeld(const gossip_message &message, time_point now);
    // recordStoreRead records the first read of the store, with the departures of the own worker that it holds.
    void recordStoreRead(const std::vector<worker_departure> &stored, time_point now);

private:
    std::shared_ptr<departure_hold> startStoring(const worker_departure &departure, milliseconds delay);
    awaitable<void> store(worker_departure departure, std::shared_ptr<departure_hold> hold, milliseconds delay);
    void storeAgain();
    void recoverFrom(const std::vector<worker_departure> &departures, time_point now);

    mesh_context &m_context;
    inbound_handler &m_inbound;
    gossip_channel &m_gossip;
    time_point m_startedAt;
    departure_recovery m_recovery;
    std::map<std::string, std::shared_ptr<departure_hold>> m_holds; // by key of the departure in the store
    std::set<std::string> m_storing; // keys of departures that are being written to the store
};

} // namespace pistachioquay::internal
