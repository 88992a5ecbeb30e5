// Spreads the versions of the configuration: reads them from the platform if this node is the reader of its data
// centre, and otherwise requests them from other nodes. Private to the mesh library.
//
//   config_spread configs(context, gossip, links, rollouts);
//   configs.start();
//   configs.pullIfNewer(record);                  // for each record of another node
#pragma once

#include <deque>

#include "process/mesh/context.h"
#include "process/mesh/gossip.h"
#include "process/mesh/peer_links.h"
#include "process/mesh/rollout_keeper.h"
#include "process/store_reading/store_reading.h"
#include "process/store_reading/version_log.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class config_spread
{
public:
    config_spread(mesh_context &context, gossip_channel &gossip, peer_links &links, rollout_keeper &rollouts);

    // start starts reading the platform on the loop.
    void start();
    // recordReaderAnnouncement records that the reader of the own data centre has just read the platform.
    void recordReaderAnnouncement(time_point now);
    // pullIfNewer requests the configuration from the node of a record if its version is newer than the applied one.
    void pullIfNewer(const node_record &record);
    // applyPeerConfig applies a configuration that another node sent; one that is not newer is ignored.
    void applyPeerConfig(const config_message &message);
    // configFor returns the answer to another node's request for the configuration.
    config_message configFor(const config_request &request);

private:
    awaitable<void> readLoop();
    std::optional<std::uint64_t> applyConfig(std::string bytes, std::string_view source);
    std::optional<std::string> configText(const config_message &message) const;
    bool recordRead(config_read read, boot_time sentAt, std::uint64_t appliedVersion);
    void logProof(const store_version_read &read, bool isProof);

    mesh_context &m_context;
    gossip_channel &m_gossip;
    peer_links &m_links;
    rollout_keeper &m_rollouts;
    version_log m_log; // of the platform's configurations
    bool m_isStoreBehind = false; // at the last read, see `isBehind`
    bool m_isProofLacking = false; // the last read proved nothing
    std::deque<std::pair<std::uint64_t, std::string>> m_recentConfigs; // version and text, newest last
    std::uint64_t m_rejectedHash = 0; // of the last text that was not decodable
    time_point m_storeReadAt; // when this data centre was last known to have read the platform
    time_point m_startedAt;
    std::optional<time_point> m_behindSince; // since a version newer than the applied one is known
    time_point m_pulledAt; // last configuration request to another node
    std::uint64_t m_pulledVersion = 0;
    bool m_isStoreReached = false;
};

} // namespace pistachioquay::internal
