#include "process/node/sync_client.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "connection/wire/codec.h"
#include "connection/wire/socket.h"
#include "process/node/pause.h"

namespace pistachioquay {

namespace {

constexpr milliseconds connectTimeout{500};
constexpr milliseconds sendTimeout{500};
constexpr seconds responseTimeout{5};
constexpr milliseconds busyBackoffBase{20};
constexpr milliseconds maxBusyBackoff{1000};

} // namespace

sync_client::sync_client(std::string nodeId,
                         config_store &store,
                         version_event_queue &events,
                         std::function<void(const std::string &)> onMembers)
    : m_nodeId(std::move(nodeId))
    , m_store(store)
    , m_events(events)
    , m_onMembers(std::move(onMembers))
{
}

void sync_client::enqueuePull(const pull_target &target)
{
    m_requests.tryPush(target);
}

void sync_client::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (const auto target = m_requests.pop(stop)) {
            pullFrom(*target, stop);
        }
    }
}

result<pull_response>
sync_client::sendPullRequest(const endpoint &peer, const pull_request &request, time_point deadline)
{
    decode_counters counters;
    const std::string sent = encodeMessage(request, syncFormat);
    BOOST_LEAF_AUTO(stream, connectTcp(peer, std::min(deadline, steadyNow() + connectTimeout)));
    BOOST_LEAF_CHECK(sendFrame(stream, sent, std::min(deadline, steadyNow() + sendTimeout)));
    BOOST_LEAF_AUTO(frame, receiveFrame(stream, maxSyncFrameBytes, deadline));
    m_bytes += sent.size() + frame.size();
    return decodeMessage<pull_response>(frame, syncFormat, counters);
}

bool sync_client::sendCrashReports(const endpoint &peer, const std::vector<crash_report> &reports, time_point deadline)
{
    pull_request request;
    request.nodeId = m_nodeId;
    request.wantsRecords = false;
    request.crashReports = reports;
    const auto response = attempt([&] {
        return sendPullRequest(peer, request, deadline);
    });
    return response && !response->isBusy;
}

std::uint64_t sync_client::transferredBytes() const
{
    return m_bytes;
}

void sync_client::pullFrom(const pull_target &target, const std::stop_token &stop)
{
    const bool wantsRecords = target.position > m_store.progressForPeers().position;
    if (!wantsRecords && !target.wantsMembers) {
        return;
    }
    const pull_request request{m_nodeId, m_store.progress().position, wantsRecords, target.wantsMembers, {}};
    auto response = attempt([&] {
        return sendPullRequest(target.address, request, steadyNow() + responseTimeout);
    });
    if (!response) {
        VLOG(1) << "[sync] A pull from " << toText(target.address) << " failed. " << describe(response.failure());
        return;
    }
    if (response->isBusy) {
        pauseFor(fullJitter(busyBackoffBase, maxBusyBackoff, m_busyResponses, m_generator), stop);
        ++m_busyResponses;
        return;
    }
    m_busyResponses = 0;
    if (!response->memberList.empty()) {
        m_onMembers(response->memberList);
    }
    m_events.tryPush(peer_update{*std::move(response)});
}

} // namespace pistachioquay
