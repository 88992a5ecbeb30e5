// Plain TCP sockets for tests that need malformed, cut or late HTTP messages. All waits are bounded.
//
//   raw_server server([](raw_connection &peer, int index) {
//       peer.receiveUntil("\r\n\r\n");
//       peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
//   });
//   raw_connection client(server.address());
#pragma once

#include <atomic>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "connection/http/listen_socket.h"

namespace pistachioquay::testing {

inline constexpr milliseconds longestWait{10000};

// One connection; closes on destruction.
class raw_connection
{
public:
    explicit raw_connection(unique_fd fd)
        : m_fd(std::move(fd))
    {
    }
    explicit raw_connection(const endpoint &target)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        ::inet_pton(AF_INET, target.ip.c_str(), &address.sin_addr);
        if (::connect(m_fd.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            m_fd = unique_fd();
        }
    }

    // send writes all bytes; false if the connection broke.
    bool send(std::string_view text)
    {
        while (!text.empty()) {
            const ssize_t sent = ::send(m_fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // isReadable waits until there are bytes or the stream has ended.
    bool isReadable(milliseconds wait)
    {
        pollfd watched{m_fd.get(), POLLIN, 0};
        return ::poll(&watched, 1, static_cast<int>(wait.count())) > 0;
    }

    // receiveSome waits for bytes; empty at the end of the stream or after the longest wait.
    std::string receiveSome(milliseconds wait = longestWait)
    {
        pollfd watched{m_fd.get(), POLLIN, 0};
        char buffer[16384];
        if (::poll(&watched, 1, static_cast<int>(wait.count())) <= 0) {
            return {};
        }
        const ssize_t got = ::recv(m_fd.get(), buffer, sizeof buffer, 0);
        return got > 0 ? std::string(buffer, static_cast<std::size_t>(got)) : std::string();
    }

    // receiveUntil reads until the text so far contains `marker`, or the stream ends; returns all of it.
    std::string receiveUntil(std::string_view marker)
    {
        std::string text;
        while (text.find(marker) == std::string::npos) {
            const std::string piece = receiveSome();
            if (piece.empty()) {
                break;
            }
            text += piece;
        }
        return text;
    }

    // receiveAll reads until the stream ends.
    std::string receiveAll()
    {
        std::string text;
        for (std::string piece = receiveSome(); !piece.empty(); piece = receiveSome()) {
            text += piece;
        }
        return text;
    }

    // isClosedByPeer waits until the peer closes; false after the longest wait.
    bool isClosedByPeer()
    {
        pollfd watched{m_fd.get(), POLLRDHUP, 0};
        return ::poll(&watched, 1, static_cast<int>(longestWait.count())) > 0;
    }

    void close()
    {
        m_fd = unique_fd();
    }

    // shutdownSend sends a FIN; the connection still receives.
    void shutdownSend()
    {
        ::shutdown(m_fd.get(), SHUT_WR);
    }

    // reset closes the connection with a TCP reset. Bytes that were sent and not acknowledged yet are lost.
    void reset()
    {
        const linger discardUnsent{1, 0};
        ::setsockopt(m_fd.get(), SOL_SOCKET, SO_LINGER, &discardUnsent, sizeof discardUnsent);
        close();
    }

private:
    unique_fd m_fd;
};

// Accepts connections on a free port, or on the given address, and runs the script for each on its own thread. `index`
// counts connections from 0.
class raw_server
{
public:
    using script = std::function<void(raw_connection &, int)>;

    explicit raw_server(script onConnection, const endpoint &address = {"127.0.0.1", 0})
        : m_script(std::move(onConnection))
    {
        auto opened = attempt([&] {
            return openListenSocket(address);
        });
        m_listening = std::move(*opened);
        m_acceptor = std::jthread([this](const std::stop_token &stop) {
            acceptUntil(stop);
        });
    }
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;
    ~raw_server()
    {
        m_acceptor = {};
        m_handlers.clear();
    }

    endpoint address() const
    {
        return m_listening.address;
    }
    int connections() const
    {
        return m_count;
    }

private:
    void acceptUntil(const std::stop_token &stop)
    {
        constexpr int pollMs = 20;
        while (!stop.stop_requested()) {
            pollfd watched{m_listening.fd.get(), POLLIN, 0};
            if (::poll(&watched, 1, pollMs) <= 0) {
                continue;
            }
            unique_fd accepted(::accept4(m_listening.fd.get(), nullptr, nullptr, SOCK_CLOEXEC));
            m_handlers.emplace_back([this, index = m_count++, fd = std::move(accepted)]() mutable {
                raw_connection peer(std::move(fd));
                m_script(peer, index);
            });
        }
    }

    script m_script;
    listen_socket m_listening;
    std::atomic<int> m_count = 0;
    std::vector<std::jthread> m_handlers;
    std::jthread m_acceptor;
};

// A port that refuses connections as long as the object lives: bound, but not listening, so that no other program can
// take it meanwhile.
class refusing_port
{
public:
    refusing_port()
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const bool isBound = ::bind(m_fd.get(), reinterpret_cast<const sockaddr *>(&address), size) == 0;
        if (!isBound || ::getsockname(m_fd.get(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            throw std::runtime_error("no port could be bound on loopback");
        }
        m_port = ntohs(address.sin_port);
    }

    // address returns the address that refuses.
    endpoint address() const
    {
        return {"127.0.0.1", m_port};
    }

private:
    unique_fd m_fd;
    std::uint16_t m_port = 0;
};

} // namespace pistachioquay::testing
