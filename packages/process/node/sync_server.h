// Server of the sync port of a node: sends records, snapshots and the member list to peers that pull them, and receives
// crash reports. Accepts a bounded number of pulls at once and responds "busy" to further ones, so that many peers that
// restart together do not slow the node down.
//
//   sync_server server(std::move(listener), respond);
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

inline constexpr std::size_t syncWorkerThreads = 2;
inline constexpr std::size_t maxQueuedPulls = 16; // connections that wait for a worker thread

class sync_server
{
public:
    // `respond` is called from several threads at once.
    sync_server(tcp_listener listener, std::function<pull_response(const pull_request &)> respond);
    ~sync_server();
    sync_server(const sync_server &) = delete;
    sync_server &operator=(const sync_server &) = delete;

    // start starts the accepting thread and the worker threads. Called once.
    void start();

    // transferredBytes returns the bytes of all frames sent and received so far, without "busy" responses. Thread safe.
    std::uint64_t transferredBytes() const;

    // stop stops all threads after the pulls that they serve have finished or timed out. Can be repeated.
    void stop();

private:
    void acceptConnections(const std::stop_token &stop);
    void servePulls(const std::stop_token &stop);
    void servePull(const tcp_stream &stream);

    tcp_listener m_listener;
    std::function<pull_response(const pull_request &)> m_respond;
    bounded_ring<std::shared_ptr<tcp_stream>> m_queue{maxQueuedPulls};
    std::atomic<std::uint64_t> m_bytes = 0;
    std::vector<std::jthread> m_threads;
};

} // namespace pistachioquay
