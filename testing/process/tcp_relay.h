// Passes TCP connections on to a target until a test closes it, which cuts off whoever uses its address.
//
//   tcp_relay relay(log.address);
//   settings.platformLog = relay.address();
//   relay.close();
//   relay.open();
#pragma once

#include <atomic>
#include <utility>

#include "testing/harness/raw_socket.h"

namespace pistachioquay::testing {

class tcp_relay
{
public:
    explicit tcp_relay(endpoint target)
        : m_target(std::move(target))
        , m_server([this](raw_connection &client, int) {
            pass(client);
        })
    {
    }

    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;
    ~tcp_relay()
    {
        close(); // ends the threads of `m_server`
    }

    endpoint address() const
    {
        return m_server.address();
    }

    // close ends all connections and each new one at once. Thread safe.
    void close()
    {
        m_isOpen = false;
    }

    // open passes new connections on again. Thread safe.
    void open()
    {
        m_isOpen = true;
    }

private:
    void pass(raw_connection &client)
    {
        raw_connection server(m_target);
        while (m_isOpen && move(client, server) && move(server, client)) {
        }
    }

    // move passes on what `from` has sent so far; false when a side has ended.
    static bool move(raw_connection &from, raw_connection &to)
    {
        constexpr milliseconds step{5};
        if (!from.isReadable(step)) {
            return true;
        }
        const std::string bytes = from.receiveSome(milliseconds(0));
        return !bytes.empty() && to.send(bytes);
    }

    endpoint m_target;
    std::atomic<bool> m_isOpen = true;
    raw_server m_server;
};

} // namespace pistachioquay::testing
