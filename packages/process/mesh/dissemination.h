// Spreads what nodes know: records of nodes by datagrams, and the configuration by the platform and by links. Private
// to the mesh library.
//
//   spread_duty spread(context, inbound, links);
//   co_await spread.run();                        // until the node stops
#pragma once

#include <deque>

#include <boost/asio/ip/udp.hpp>

#include "process/mesh/context.h"
#include "process/mesh/inbound.h"
#include "process/mesh/peer_links.h"
#include "process/store_reading/store_reading.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class spread_duty
{
public:
    spread_duty(mesh_context &context, inbound_side &inbound, peer_links &links);

    // open binds the datagram port.
    result<void> open();
    // start runs the duties on the loop.
    void start();
    // announce sends the own record to all nodes at once, after a change that they must know of.
    void announce();
    // takeConfig takes over a configuration of another node; older ones are ignored.
    void takeConfig(const config_message &message);
    // configFor returns the configuration for a node that asks for it.
    config_message configFor(const config_request &request);
    // withdraw removes the own address record from the platform.
    awaitable<void> withdraw();
    void stop();

private:
    awaitable<void> receiveLoop();
    awaitable<void> gossipLoop();
    awaitable<void> readLoop();
    awaitable<void> joinLoop();
    node_record ownRecord(time_point now);
    void onDatagram(std::string_view bytes, const endpoint &from);
    void onMerged(const node_record &record, const merge_result &report, time_point now);
    void noteVersion(const node_record &record);
    void send(const endpoint &to, bool wantsReply, bool isStoreWord, std::size_t newsCount);
    void sendStoreWord();
    void raiseStarted(std::uint64_t above);
    void applyConfig(std::string bytes, std::string_view source);
    std::optional<std::string> textOf(const config_message &message) const;
    awaitable<bool> publishIfNeeded(const std::vector<node_record> &published);
    void greet(const std::vector<node_record> &published);
    awaitable<std::optional<std::vector<node_record>>> readDirectory();
    std::size_t ownRank(time_point now) const;

    mesh_context &m_context;
    inbound_side &m_inbound;
    peer_links &m_links;
    net::ip::udp::socket m_socket;
    net::steady_timer m_gossipTimer;
    std::uint64_t m_started = 0;
    std::uint32_t m_revision = 0;
    std::uint64_t m_position = 0; // in the platform's log of configurations
    std::deque<std::pair<std::uint64_t, std::string>> m_texts; // newest last, by version
    std::uint64_t m_rejectedHash = 0; // of the last text that could not be decoded
    time_point m_wordAt; // last word of a reader of the own data centre
    time_point m_startedAt;
    std::uint64_t m_readVersion = 0; // in force when this node last read the platform
    std::optional<time_point> m_behindSince; // a newer version than that in force was heard of
    time_point m_pulledAt;
    std::uint64_t m_pulledVersion = 0;
    bool m_isStoreReached = false;
    decode_counters m_garbled;
};

} // namespace pistachioquay::internal
