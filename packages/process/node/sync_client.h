// Client of the sync ports of peers. Pulls records, a snapshot or the member list from peers, one pull at a time on one
// thread, and sends crash reports to them.
//
//   sync_client client(nodeId, store, events, onMembers);
//   client.enqueuePull({peer.syncAddress, position});
#pragma once

#include <atomic>
#include <functional>
#include <stop_token>
#include <string>

#include "base/endpoint.h"
#include "base/random.h"
#include "base/ring.h"
#include "process/node/config_store.h"
#include "process/node/version_events.h"

namespace pistachioquay {

inline constexpr std::size_t maxQueuedPullTargets = 32;

// Peer to pull from. Records are pulled only if the peer is ahead of this node.
struct pull_target
{
    endpoint address;
    std::uint64_t position = 0; // that the peer announced
    bool wantsMembers = false; // pull its member list too

    friend auto operator<=>(const pull_target &, const pull_target &) = default;
};

class sync_client
{
public:
    // `onMembers` receives each encoded member list; it is called from the client's thread.
    sync_client(std::string nodeId,
                config_store &store,
                version_event_queue &events,
                std::function<void(const std::string &)> onMembers);

    // enqueuePull queues a pull. It is dropped if the queue is full: the next heartbeat requests it again. Thread safe.
    void enqueuePull(const pull_target &target);

    // sendCrashReports sends crash reports to a peer and returns whether it acknowledged them before `deadline`.
    // Blocks; thread safe.
    bool sendCrashReports(const endpoint &peer, const std::vector<crash_report> &reports, time_point deadline);

    // transferredBytes returns the bytes of all frames sent and received so far. Thread safe.
    std::uint64_t transferredBytes() const;

    // run serves the queued pulls until stop is requested. Called once.
    void run(const std::stop_token &stop);

private:
    result<pull_response> sendPullRequest(const endpoint &peer, const pull_request &request, time_point deadline);
    void pullFrom(const pull_target &target, const std::stop_token &stop);

    std::string m_nodeId;
    config_store &m_store;
    version_event_queue &m_events;
    std::function<void(const std::string &)> m_onMembers;
    bounded_ring<pull_target> m_requests{maxQueuedPullTargets};
    random_generator m_generator = seededFromDevice();
    unsigned m_busyResponses = 0; // in a row
    std::atomic<std::uint64_t> m_bytes = 0;
};

} // namespace pistachioquay
