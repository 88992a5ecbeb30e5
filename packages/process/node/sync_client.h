// Pulls of a node: asks peers that are ahead for records, a snapshot or the member list, one at a time, on one thread.
//
//   sync_client client(store, ring, onMembers);
//   client.request({peer.syncAddress, position});
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

inline constexpr std::size_t queuedRequests = 32;

struct pull_target
{
    endpoint address;
    std::uint64_t position = 0; // of the peer
    bool wantsMembers = false;

    friend auto operator<=>(const pull_target &, const pull_target &) = default;
};

class sync_client
{
public:
    // `onMembers` gets an encoded member list; it is called from the client's thread.
    sync_client(std::string nodeId,
                config_store &store,
                version_ring &ring,
                std::function<void(const std::string &)> onMembers);

    // request queues a pull; it is dropped when the queue is full, because the next heartbeat asks again. Thread safe.
    void request(const pull_target &target);

    // push hands crash reports to a peer and returns whether it acknowledged them until `deadline`. Thread safe.
    bool push(const endpoint &peer, const std::vector<crash_report> &reports, time_point deadline);

    // transferredBytes returns the bytes of all frames so far. Thread safe.
    std::uint64_t transferredBytes() const;

    // run works until stop is requested. Called once.
    void run(const std::stop_token &stop);

private:
    result<pull_response> exchange(const endpoint &peer, const pull_request &request, time_point deadline);
    void handle(const pull_target &target, const std::stop_token &stop);

    std::string m_nodeId;
    config_store &m_store;
    version_ring &m_ring;
    std::function<void(const std::string &)> m_onMembers;
    bounded_ring<pull_target> m_requests{queuedRequests};
    random_generator m_generator = seededFromDevice();
    unsigned m_busyResponses = 0;
    std::atomic<std::uint64_t> m_bytes = 0;
};

} // namespace pistachioquay
