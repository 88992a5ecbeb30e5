// Thread edge of membership: owns the UDP socket, one thread, and the state that the pure functions work on.
//
//   const auto started = attempt([&] { return startGossip(options, [&](const pull &wanted) { pulls.tryPush(wanted); });
//   }); gossip_service &gossip = **started; gossip.setLocal(version, position, member_state::Ready, load); const
//   std::shared_ptr<const worker_view> view = gossip.view();
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "connection/wire/socket.h"
#include "process/membership/membership.h"

namespace pistachioquay {

// What the status page shows.
struct gossip_status
{
    std::vector<member> live;
    std::size_t known = 0; // with dead and left members
    std::vector<std::string> readers;
    version_seen highest; // that any node of the data centre announced
    version_seen ownHighest; // that peers remember of the own node id
    std::map<std::string, std::int64_t> linkAgeMs; // by data centre
    bool isAnswered = false;
    duration sinceFirstAnswer{0}; // zero if no peer responded yet
    decode_counters garbled;
    membership_counters counters;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sendErrors = 0;
};

// Runs membership until it is destroyed. All functions are thread safe.
class gossip_service
{
public:
    // A handler is called for each pull, on the thread that caused it; it must not block or call back.
    using pull_handler = std::function<void(const pull &)>;

    gossip_service(udp_socket socket, const membership_options &options, pull_handler onPull);
    gossip_service(const gossip_service &) = delete;
    gossip_service &operator=(const gossip_service &) = delete;
    ~gossip_service();

    // setLocal, beginDrain, leave, onRendezvous and onMemberList call the functions of the same names.
    void setLocal(std::uint64_t version, std::uint64_t position, member_state worker, const worker_load &load);
    void beginDrain();
    void leave();
    void onRendezvous(const std::vector<endpoint> &endpoints);
    void onMemberList(const member_list &list);

    // view returns the last published view; never null.
    std::shared_ptr<const worker_view> view() const;
    // isAccepting answers without waiting for the gossip thread.
    bool isAccepting() const;
    // The queries below take the lock of the state for less than a millisecond.
    bool isReader(std::string_view duty) const;
    std::vector<member> readersOf(std::string_view duty) const;
    std::vector<member> liveMembers() const;
    member_list memberList() const;
    version_seen highestSeen(std::string_view nodeId) const;
    gossip_status status() const;
    // address returns the bound address.
    endpoint address() const;

private:
    template<class Decide>
    void run(Decide decide);
    void loop(const std::stop_token &stop);
    void receiveUntil(time_point deadline);
    void publish();
    void perform(const membership_actions &actions);

    udp_socket m_socket;
    pull_handler m_onPull;
    mutable std::mutex m_mutex; // guards m_state and m_generator
    membership_state m_state;
    random_generator m_generator;
    std::atomic<std::shared_ptr<const worker_view>> m_view;
    std::atomic<time_point::rep> m_gateUntil = 0; // zero: open
    std::atomic<time_point::rep> m_lastEvent = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<std::uint64_t> m_sentBytes = 0;
    std::atomic<std::uint64_t> m_receivedBytes = 0;
    std::atomic<std::uint64_t> m_sendErrors = 0;
    std::jthread m_thread;
};

// startGossip binds to `options.self.gossip` and starts the thread; port 0 takes a free one. Fails like `bindUdp`.
result<std::unique_ptr<gossip_service>> startGossip(membership_options options, gossip_service::pull_handler onPull);

} // namespace pistachioquay
