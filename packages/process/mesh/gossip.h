// Exchanges datagrams with other nodes: node records, load reports and crash reports. Private to the mesh library.
//
//   gossip_channel gossip(context, inbound, {.onMessage = handleMessage});
//   BOOST_LEAF_CHECK(gossip.open());
//   gossip.start();                               // until `stop`
#pragma once

#include <functional>

#include <boost/asio/ip/udp.hpp>

#include "process/mesh/context.h"
#include "process/mesh/inbound.h"

namespace pistachioquay::internal {

// Callbacks for what arrives in datagrams beside records and crash reports. `from` is the address to answer.
struct gossip_events
{
    std::function<void(const std::vector<rollout_record> &, time_point now)> onRollouts; // before records are merged
    std::function<void(const gossip_message &, time_point now)> onMessage; // after its records are merged
    std::function<void(const freshness_query &, const endpoint &from, time_point now)> onFreshnessQuery;
    std::function<void(const freshness_answer &, const endpoint &from, time_point now)> onFreshnessAnswer;
    std::function<void(const allowance_ask &, const endpoint &from)> onAllowanceAsk;
    std::function<void(const allowance_answer &)> onAllowanceAnswer;
};

// What a datagram carries besides the own record.
struct datagram_plan
{
    bool wantsReply = false;
    bool isReaderAnnouncement = false;
    std::size_t recordCount = 0; // records of other nodes
    const node_record *receiver = nullptr; // set in replies: adds what this node holds for the receiver
    std::vector<crash_report> crashReports;
};

// Not thread safe: belongs to one loop.
class gossip_channel
{
public:
    gossip_channel(mesh_context &context, inbound_handler &inbound, gossip_events events);

    // open binds the datagram port.
    result<void> open();
    // start starts the background tasks on the loop.
    void start();
    // stop closes the datagram port and wakes the gossip task, which ends if the node is stopped.
    void stop();
    // send sends a datagram with the own record to a node.
    void send(const endpoint &to, const datagram_plan &plan);
    // sendDatagram sends any datagram. One that cannot be sent now is treated as lost.
    void sendDatagram(const endpoint &to, const mesh_datagram &datagram);
    // announce sends the own record to all nodes at once, for a change that cannot wait for the gossip rounds.
    void announce();
    // announceStoreRead tells the nodes of the own data centre that this node has read the platform for them.
    void announceStoreRead();
    // announceCrash sends a crash report to all nodes at once.
    void announceCrash(const crash_report &report);
    // requestRecords asks some nodes for their records, and for what they hold for this node.
    void requestRecords(time_point now);
    // ownRecord returns the record of this node with a new revision.
    node_record ownRecord(time_point now);
    // raiseStartOrder puts the own records after those of a process with the given start.
    void raiseStartOrder(std::uint64_t above);
    std::uint64_t startOrder() const
    {
        return m_startOrder;
    }

private:
    awaitable<void> receiveLoop();
    awaitable<void> gossipLoop();
    void onDatagram(std::string_view bytes, const endpoint &from);
    void onGossip(const gossip_message &message, time_point now);
    void sendBytes(const endpoint &to, std::string_view bytes);
    void applyMergeResult(const node_record &record, const merge_result &merged, time_point now);
    std::vector<crash_report> chooseCrashReports();
    void mergeCrashReports(const gossip_message &message, time_point now);

    mesh_context &m_context;
    inbound_handler &m_inbound;
    gossip_events m_events;
    net::ip::udp::socket m_socket;
    net::steady_timer m_gossipTimer;
    std::uint64_t m_startOrder = 0; // `started` of the own record
    std::uint32_t m_revision = 0; // of the own record
    decode_counters m_decodeCounters;
};

} // namespace pistachioquay::internal
