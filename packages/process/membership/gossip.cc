#include "process/membership/gossip.h"

#include <algorithm>

#include <glog/logging.h>

namespace pistachioquay {

namespace {

constexpr milliseconds tickInterval{50};
constexpr int failuresPerLogLine = 1'000;

} // namespace

gossip_service::gossip_service(udp_socket socket, const membership_options &options, pull_handler onPull)
    : m_socket(std::move(socket))
    , m_onPull(std::move(onPull))
    , m_generator(seededFromDevice())
    , m_view(std::make_shared<const worker_view>())
{
    run([&](time_point now) {
        return startMembership(m_state, options, now);
    });
    m_thread = std::jthread([this](const std::stop_token &stop) {
        loop(stop);
    });
    LOG(INFO) << "[gossip] listening at " << toText(m_socket.address) << " with " << options.seeds.size() << " seeds";
}

gossip_service::~gossip_service()
{
    m_thread.request_stop();
}

void gossip_service::setLocal(std::uint64_t version,
                              std::uint64_t position,
                              member_state worker,
                              const worker_load &load)
{
    run([&](time_point now) {
        return pistachioquay::setLocal(m_state, version, position, worker, load, now, m_generator);
    });
}

void gossip_service::beginDrain()
{
    run([&](time_point now) {
        return pistachioquay::beginDrain(m_state, now);
    });
    LOG(INFO) << "[gossip] draining announced";
}

void gossip_service::leave()
{
    run([&](time_point now) {
        return pistachioquay::leave(m_state, now);
    });
    LOG(INFO) << "[gossip] leave announced";
}

void gossip_service::onRendezvous(const std::vector<endpoint> &endpoints)
{
    run([&](time_point now) {
        return pistachioquay::onRendezvous(m_state, endpoints, now);
    });
}

void gossip_service::onMemberList(const member_list &list)
{
    run([&](time_point now) {
        return pistachioquay::onMemberList(m_state, list, now);
    });
}

std::shared_ptr<const worker_view> gossip_service::view() const
{
    return m_view.load();
}

bool gossip_service::isAccepting() const
{
    // publish stores m_gateUntil before m_lastEvent, so a recent m_lastEvent implies that the matching gate is visible.
    const time_point lastEvent{duration(m_lastEvent.load())};
    const time_point gateUntil{duration(m_gateUntil.load())};
    const time_point now = steadyNow();
    return !m_isLeaving.load() && now - lastEvent <= pauseThreshold && now >= gateUntil;
}

bool gossip_service::isReader(std::string_view task) const
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::isReader(m_state, task);
}

std::vector<member> gossip_service::readersOf(std::string_view task) const
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::readersOf(m_state, task);
}

std::vector<member> gossip_service::liveMembers() const
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::liveMembers(m_state);
}

member_list gossip_service::memberList() const
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::memberList(m_state, steadyNow());
}

announced_version gossip_service::highestSeen(std::string_view nodeId) const
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::highestSeen(m_state, nodeId);
}

gossip_status gossip_service::status() const
{
    const std::lock_guard guard(m_mutex);
    const time_point now = steadyNow();
    gossip_status status;
    status.live = pistachioquay::liveMembers(m_state);
    status.known = m_state.members.size() + 1;
    for (const member &reader : pistachioquay::readersOf(m_state, configReaderTask)) {
        status.readers.push_back(reader.nodeId);
    }
    status.highest = highestAnnounced(m_state);
    status.ownHighest = m_state.ownHighest;
    for (const auto &[name, link] : m_state.links) {
        status.linkAgeMs.emplace(name, millisBetween(link.lastHeard, now));
    }
    status.isAnswered = m_state.hasPeerResponded;
    status.sinceFirstResponse = m_state.firstResponseAt == time_point{} ? duration(0) : now - m_state.firstResponseAt;
    status.garbled = m_state.malformed;
    status.counters = m_state.counters;
    status.sentBytes = m_sentBytes.load();
    status.receivedBytes = m_receivedBytes.load();
    status.sendErrors = m_sendErrors.load();
    return status;
}

endpoint gossip_service::address() const
{
    return m_socket.address;
}

// Calls `decide` under the lock, publishes the new view and state, and performs the actions outside the lock.
template<class Decide>
void gossip_service::run(Decide decide)
{
    membership_actions actions;
    {
        const std::lock_guard guard(m_mutex);
        actions = decide(steadyNow());
        if (actions.viewChanged) {
            m_view.store(std::make_shared<const worker_view>(workerView(m_state)));
        }
        publish();
    }
    perform(actions);
}

void gossip_service::publish()
{
    const time_point gateUntil = m_state.hasPeerResponded ? time_point{} : m_state.gateUntil;
    m_gateUntil.store(gateUntil.time_since_epoch().count());
    m_isLeaving.store(m_state.self.state >= member_state::Draining);
    m_lastEvent.store(m_state.lastEvent.time_since_epoch().count());
}

void gossip_service::perform(const membership_actions &actions)
{
    for (const datagram &out : actions.sends) {
        const auto sent = attempt([&] {
            return sendDatagram(m_socket, out.to, out.bytes);
        });
        if (sent) {
            m_sentBytes += out.bytes.size();
        } else {
            ++m_sendErrors;
            LOG_EVERY_N(WARNING, failuresPerLogLine) << "[gossip] " << describe(sent.failure());
        }
    }
    std::ranges::for_each(actions.pulls, m_onPull);
}

void gossip_service::receiveUntil(time_point deadline)
{
    while (steadyNow() < deadline) {
        auto received = attempt([&] {
            return receiveDatagram(m_socket, deadline - steadyNow());
        });
        if (!received) {
            LOG_EVERY_N(WARNING, failuresPerLogLine) << "[gossip] " << describe(received.failure());
            std::this_thread::sleep_until(deadline);
            return;
        }
        if (!*received) {
            return;
        }
        const received_datagram &in = **received;
        m_receivedBytes += in.bytes.size();
        run([&](time_point now) {
            return onDatagram(m_state, in.from, in.bytes, now, m_generator);
        });
    }
}

void gossip_service::loop(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        run([&](time_point now) {
            return onTick(m_state, now, m_generator);
        });
        receiveUntil(steadyNow() + tickInterval);
    }
}

result<std::unique_ptr<gossip_service>> startGossip(membership_options options, gossip_service::pull_handler onPull)
{
    BOOST_LEAF_AUTO(socket, bindUdp(options.self.gossip));
    options.self.gossip = socket.address;
    return std::make_unique<gossip_service>(std::move(socket), options, std::move(onPull));
}

} // namespace pistachioquay
