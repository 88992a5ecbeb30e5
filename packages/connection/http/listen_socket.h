// Opens listening sockets with typed errors.
//
//   BOOST_LEAF_AUTO(listening, openListenSocket(address));
//   LOG(INFO) << "[http] listening on " << toText(listening.address);
#pragma once

#include <utility>

#include "base/endpoint.h"
#include "base/error.h"

namespace pistachioquay {

// Owner of a file descriptor.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd)
        : m_fd(fd)
    {
    }
    unique_fd(unique_fd &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    unique_fd &operator=(unique_fd &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    unique_fd(const unique_fd &) = delete;
    unique_fd &operator=(const unique_fd &) = delete;
    ~unique_fd();

    // get returns the descriptor, -1 if there is none.
    int get() const
    {
        return m_fd;
    }
    // release gives up ownership.
    int release()
    {
        return std::exchange(m_fd, -1);
    }

private:
    int m_fd = -1;
};

// A socket that listens on `address`, which holds the port that the kernel chose if port 0 was asked for.
struct listen_socket
{
    unique_fd fd;
    endpoint address;
};

// openListenSocket binds and listens with SO_REUSEADDR. Thread safe. Fails with Unavailable if the port is in use, with
// InvalidArgument if the address is not an IPv4 number of this machine, and with Io otherwise.
result<listen_socket> openListenSocket(const endpoint &address);

} // namespace pistachioquay
