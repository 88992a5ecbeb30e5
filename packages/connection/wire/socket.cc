#include "connection/wire/socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachioquay {

namespace {

constexpr std::uint32_t frameMagic = 0x5046'5150; // "PQFP"
constexpr std::size_t frameHeaderBytes = 8;
constexpr std::size_t chunkBytes = 65'536;
constexpr int listenBacklog = 128;
constexpr int udpBufferBytes = 1024 * 1024; // holds the drain notices of a whole data centre at once

boost::leaf::error_id systemError(const std::string &doing, int number)
{
    const std::string reason = std::error_code(number, std::system_category()).message();
    switch (number) {
    case EADDRINUSE:
        return fail(error_kind::Unavailable,
                    doing + ": the port is in use",
                    "stop the other process or choose another port in [listen]");
    case EADDRNOTAVAIL:
        return fail(error_kind::InvalidArgument,
                    doing + ": this machine does not have the address",
                    "give an address of this machine in [listen]");
    case ECONNREFUSED:
    case ECONNRESET:
    case EPIPE:
    case EHOSTUNREACH:
    case ENETUNREACH:
        return fail(error_kind::Unavailable, doing + ": " + reason, "check that the peer runs; try another one");
    case EMFILE:
    case ENFILE:
        return fail(error_kind::ResourceExhausted, doing + ": " + reason, "raise the limit of open files");
    default:
        return fail(error_kind::Io, doing + ": " + reason, "check the network of this machine");
    }
}

result<sockaddr_in> toSystem(const endpoint &address)
{
    sockaddr_in system{};
    system.sin_family = AF_INET;
    system.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr) != 1) {
        return fail(error_kind::InvalidArgument, "`" + address.ip + "` is not an IPv4 number", "give an IPv4 number");
    }
    return system;
}

endpoint fromSystem(const sockaddr_in &system)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &system.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(system.sin_port)};
}

// Waits until the descriptor is ready; false on timeout.
result<bool> waitFor(const descriptor &handle, short events, time_point deadline)
{
    while (true) {
        const std::int64_t left = std::max<std::int64_t>(0, millisBetween(steadyNow(), deadline + milliseconds(1)));
        pollfd entry{handle.value(), events, 0};
        const int ready = poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 60'000)));
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return systemError("waiting for a socket", errno);
        }
        if (steadyNow() >= deadline) {
            return false;
        }
    }
}

boost::leaf::error_id timedOut(const std::string &doing)
{
    return fail(error_kind::Timeout, doing + ": no progress before the deadline", "try another peer");
}

result<endpoint> boundAddress(const descriptor &handle)
{
    sockaddr_in system{};
    socklen_t size = sizeof(system);
    if (getsockname(handle.value(), reinterpret_cast<sockaddr *>(&system), &size) != 0) {
        return systemError("reading the bound address", errno);
    }
    return fromSystem(system);
}

result<descriptor> boundSocket(const endpoint &address, int type)
{
    BOOST_LEAF_AUTO(system, toSystem(address));
    descriptor handle(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (handle.value() < 0) {
        return systemError("opening a socket", errno);
    }
    const int on = 1;
    if (type == SOCK_STREAM) {
        setsockopt(handle.value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (bind(handle.value(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        return systemError("binding " + toText(address), errno);
    }
    return handle;
}

result<std::size_t> receiveSome(const tcp_stream &stream, char *to, std::size_t size, time_point deadline)
{
    while (true) {
        const ssize_t got = recv(stream.handle.value(), to, size, 0);
        if (got > 0) {
            return static_cast<std::size_t>(got);
        }
        if (got == 0) {
            return fail(error_kind::Unavailable, toText(stream.peer) + " closed the connection", "try another peer");
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return systemError("receiving from " + toText(stream.peer), errno);
        }
        BOOST_LEAF_AUTO(isReady, waitFor(stream.handle, POLLIN, deadline));
        if (!isReady) {
            return timedOut("receiving from " + toText(stream.peer));
        }
    }
}

result<void> sendAll(const tcp_stream &stream, std::string_view bytes, time_point deadline)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(stream.handle.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return systemError("sending to " + toText(stream.peer), errno);
        }
        BOOST_LEAF_AUTO(isReady, waitFor(stream.handle, POLLOUT, deadline));
        if (!isReady) {
            return timedOut("sending to " + toText(stream.peer));
        }
    }
    return {};
}

void appendNumber(std::string &out, std::uint32_t value)
{
    for (unsigned shift = 0; shift < 32; shift += 8) {
        out.push_back(static_cast<char>(value >> shift));
    }
}

std::uint32_t readNumber(std::string_view bytes)
{
    std::uint32_t value = 0;
    for (unsigned index = 0; index < 4; ++index) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    }
    return value;
}

result<void> receiveInto(std::string &bytes, std::size_t wanted, const tcp_stream &stream, time_point deadline)
{
    while (bytes.size() < wanted) {
        const std::size_t before = bytes.size();
        const std::size_t step = std::min(chunkBytes, wanted - before);
        bytes.resize(before + step);
        BOOST_LEAF_AUTO(got, receiveSome(stream, bytes.data() + before, step, deadline));
        bytes.resize(before + got);
    }
    return {};
}

} // namespace

descriptor::descriptor(int value)
    : m_value(value)
{
}

descriptor::descriptor(descriptor &&other) noexcept
    : m_value(std::exchange(other.m_value, -1))
{
}

descriptor &descriptor::operator=(descriptor &&other) noexcept
{
    std::swap(m_value, other.m_value);
    return *this;
}

descriptor::~descriptor()
{
    if (m_value >= 0) {
        close(m_value);
    }
}

result<udp_socket> bindUdp(const endpoint &address)
{
    BOOST_LEAF_AUTO(handle, boundSocket(address, SOCK_DGRAM));
    setsockopt(handle.value(), SOL_SOCKET, SO_RCVBUF, &udpBufferBytes, sizeof(udpBufferBytes));
    setsockopt(handle.value(), SOL_SOCKET, SO_SNDBUF, &udpBufferBytes, sizeof(udpBufferBytes));
    BOOST_LEAF_AUTO(bound, boundAddress(handle));
    return udp_socket{std::move(handle), bound};
}

result<void> sendDatagram(const udp_socket &socket, const endpoint &to, std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes) {
        return fail(error_kind::InvalidArgument,
                    "a datagram of " + std::to_string(bytes.size()) + " bytes is too long",
                    "send at most " + std::to_string(maxDatagramBytes) + " bytes");
    }
    BOOST_LEAF_AUTO(system, toSystem(to));
    const ssize_t sent = sendto(socket.handle.value(),
                                bytes.data(),
                                bytes.size(),
                                MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr *>(&system),
                                sizeof(system));
    if (sent < 0) {
        return systemError("sending to " + toText(to), errno);
    }
    return {};
}

result<std::optional<received_datagram>> receiveDatagram(const udp_socket &socket, duration timeout)
{
    const time_point deadline = steadyNow() + timeout;
    std::array<char, maxDatagramBytes + 1> buffer{};
    while (true) {
        sockaddr_in system{};
        socklen_t size = sizeof(system);
        const ssize_t got = recvfrom(socket.handle.value(),
                                     buffer.data(),
                                     buffer.size(),
                                     0,
                                     reinterpret_cast<sockaddr *>(&system),
                                     &size);
        if (got >= 0) {
            return received_datagram{fromSystem(system), std::string(buffer.data(), static_cast<std::size_t>(got))};
        }
        // ECONNREFUSED reports an earlier datagram to a closed port; it says nothing about this socket.
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ECONNREFUSED) {
            return systemError("receiving at " + toText(socket.address), errno);
        }
        BOOST_LEAF_AUTO(isReady, waitFor(socket.handle, POLLIN, deadline));
        if (!isReady) {
            return std::optional<received_datagram>();
        }
    }
}

result<tcp_listener> listenTcp(const endpoint &address)
{
    BOOST_LEAF_AUTO(handle, boundSocket(address, SOCK_STREAM));
    if (listen(handle.value(), listenBacklog) != 0) {
        return systemError("listening at " + toText(address), errno);
    }
    BOOST_LEAF_AUTO(bound, boundAddress(handle));
    return tcp_listener{std::move(handle), bound};
}

result<std::optional<tcp_stream>> acceptTcp(const tcp_listener &listener, duration timeout)
{
    const time_point deadline = steadyNow() + timeout;
    while (true) {
        sockaddr_in system{};
        socklen_t size = sizeof(system);
        descriptor handle(accept4(listener.handle.value(),
                                  reinterpret_cast<sockaddr *>(&system),
                                  &size,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (handle.value() >= 0) {
            const int on = 1;
            setsockopt(handle.value(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            return tcp_stream{std::move(handle), fromSystem(system)};
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ECONNABORTED) {
            return systemError("accepting at " + toText(listener.address), errno);
        }
        BOOST_LEAF_AUTO(isReady, waitFor(listener.handle, POLLIN, deadline));
        if (!isReady) {
            return std::optional<tcp_stream>();
        }
    }
}

result<tcp_stream> connectTcp(const endpoint &to, time_point deadline)
{
    BOOST_LEAF_AUTO(system, toSystem(to));
    descriptor handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (handle.value() < 0) {
        return systemError("opening a socket", errno);
    }
    const int on = 1;
    setsockopt(handle.value(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(handle.value(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        if (errno != EINPROGRESS) {
            return systemError("connecting to " + toText(to), errno);
        }
        BOOST_LEAF_AUTO(isReady, waitFor(handle, POLLOUT, deadline));
        if (!isReady) {
            return timedOut("connecting to " + toText(to));
        }
        int number = 0;
        socklen_t size = sizeof(number);
        getsockopt(handle.value(), SOL_SOCKET, SO_ERROR, &number, &size);
        if (number != 0) {
            return systemError("connecting to " + toText(to), number);
        }
    }
    return tcp_stream{std::move(handle), to};
}

result<void> sendFrame(const tcp_stream &stream, std::string_view bytes, time_point deadline)
{
    if (bytes.size() > UINT32_MAX) {
        return fail(error_kind::InvalidArgument, "a frame is longer than 4 GiB", "send it in parts");
    }
    std::string header;
    appendNumber(header, frameMagic);
    appendNumber(header, static_cast<std::uint32_t>(bytes.size()));
    BOOST_LEAF_CHECK(sendAll(stream, header, deadline));
    return sendAll(stream, bytes, deadline);
}

result<std::string> receiveFrame(const tcp_stream &stream, std::size_t maxBytes, time_point deadline)
{
    std::string header;
    BOOST_LEAF_CHECK(receiveInto(header, frameHeaderBytes, stream, deadline));
    if (readNumber(header) != frameMagic) {
        return fail(error_kind::Corrupt, toText(stream.peer) + " sent something else than a frame", "drop the peer");
    }
    const std::size_t size = readNumber(std::string_view(header).substr(4));
    if (size > maxBytes) {
        return fail(error_kind::Corrupt,
                    toText(stream.peer) + " sent a frame of " + std::to_string(size) + " bytes, over "
                        + std::to_string(maxBytes),
                    "drop the peer");
    }
    std::string bytes;
    BOOST_LEAF_CHECK(receiveInto(bytes, size, stream, deadline));
    return bytes;
}

} // namespace pistachioquay
