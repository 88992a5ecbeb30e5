// Sync port of a node: hands records, snapshots and the member list to peers. Takes a bounded number of pulls at once
// and responds `busy` beyond, so that many peers that restart together do not slow the node down.
//
//   sync_server server(std::move(listener), {respond});
//   server.start();
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "base/ring.h"
#include "connection/wire/socket.h"
#include "process/spread/sync_messages.h"

namespace pistachioquay {

inline constexpr std::size_t syncWorkers = 2;
inline constexpr std::size_t queuedPulls = 16;

class sync_server
{
public:
    // `respond` is called from several threads at once.
    sync_server(tcp_listener listener, std::function<pull_response(const pull_request &)> respond);
    ~sync_server();
    sync_server(const sync_server &) = delete;
    sync_server &operator=(const sync_server &) = delete;

    // start runs the accepting thread and the workers. Called once.
    void start();

    // transferredBytes returns the bytes of all frames so far. Thread safe.
    std::uint64_t transferredBytes() const;

    // stop ends all threads; pulls that run are finished or time out. Can be repeated.
    void stop();

private:
    void acceptPulls(const std::stop_token &stop);
    void servePulls(const std::stop_token &stop);
    void serveOne(const tcp_stream &stream);

    tcp_listener m_listener;
    std::function<pull_response(const pull_request &)> m_respond;
    bounded_ring<std::shared_ptr<tcp_stream>> m_queue{queuedPulls};
    std::atomic<std::uint64_t> m_bytes = 0;
    std::vector<std::jthread> m_threads;
};

} // namespace pistachioquay
