// Runs the membership protocol: owns the UDP socket, one thread, and the state that the functions of membership.h work
// on.
//
//   const auto onPull = [&](const pull &request) { pulls.tryPush(request); };
//   const auto started = attempt([&] { return startGossip(options, onPull); });
//   gossip_service &gossip = **started;
//   gossip.setLocal(version, position, member_state::Ready, load);
//   const std::shared_ptr<const worker_view> view = gossip.view();
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "connection/wire/socket.h"
#include "process/membership/membership.h"

namespace pistachioquay {

// Status of the gossip service, as the status page reports it.
struct gossip_status
{
    std::vector<member> live;
    std::size_t known = 0; // number of members, including this node and dead and left members
    std::vector<std::string> readers;
    announced_version highest; // highest that any node of the data centre announced
    announced_version ownHighest; // highest announced under this node's id, also by earlier processes
    std::map<std::string, std::int64_t> linkAgeMs; // time since a data centre was last heard from, by its name
    bool isAnswered = false; // a peer responded since the start, or since the last pause
    duration sinceFirstResponse{0}; // zero if no peer has responded yet
    decode_counters garbled;
    membership_counters counters;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sendErrors = 0;
};

// Runs the membership protocol until it is destroyed. All functions are thread safe.
class gossip_service
{
public:
    // The handler is called for each pull, on the thread that caused it. It must not block or call the service.
    using pull_handler = std::function<void(const pull &)>;

    gossip_service(udp_socket socket, const membership_options &options, pull_handler onPull);
    gossip_service(const gossip_service &) = delete;
    gossip_service &operator=(const gossip_service &) = delete;
    ~gossip_service();

    // setLocal, beginDrain, leave, onRendezvous and onMemberList call the functions of the same names in membership.h.
    void setLocal(std::uint64_t version, std::uint64_t position, member_state worker, const worker_load &load);
    void beginDrain();
    void leave();
    void onRendezvous(const std::vector<endpoint> &endpoints);
    void onMemberList(const member_list &list);

    // view returns the last published view. It is never null.
    std::shared_ptr<const worker_view> view() const;
    // isAccepting returns whether the node may take new requests. It does not take the lock of the state.
    bool isAccepting() const;
    // The functions below take the lock of the state, for less than a millisecond.
    bool isReader(std::string_view task) const;
    std::vector<member> readersOf(std::string_view task) const;
    std::vector<member> liveMembers() const;
    member_list memberList() const;
    announced_version highestSeen(std::string_view nodeId) const;
    gossip_status status() const;
    // address returns the address that the socket is bound to. It takes no lock.
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
    std::atomic<time_point::rep> m_gateUntil = 0; // isAccepting returns false until then; zero: no limit
    std::atomic<time_point::rep> m_lastEvent = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<std::uint64_t> m_sentBytes = 0;
    std::atomic<std::uint64_t> m_receivedBytes = 0;
    std::atomic<std::uint64_t> m_sendErrors = 0;
    std::jthread m_thread;
};

// startGossip binds to `options.self.gossip` and starts the thread. Port 0 selects a free port. Fails like `bindUdp`.
result<std::unique_ptr<gossip_service>> startGossip(membership_options options, gossip_service::pull_handler onPull);

} // namespace pistachioquay
