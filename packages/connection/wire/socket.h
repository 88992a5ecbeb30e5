// UDP socket and TCP frames, with bounded sizes and waits.
//
//   const auto socket = attempt([&] { return bindUdp(address); });
//   const auto sent = attempt([&] { return sendDatagram(*socket, peer, bytes); });
//   const auto frame = attempt([&] { return receiveFrame(stream, maxFrameBytes, steadyNow() + seconds(5)); });
//
// Deadlines are absolute times. A descriptor belongs to one object, is closed by it, and may be used by one thread at a
// time unless a function says otherwise.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"

namespace pistachioquay {

inline constexpr std::size_t maxDatagramBytes = 1'200; // stays below the path MTU, so no datagram is fragmented

// Owns a file descriptor.
class descriptor
{
public:
    descriptor() = default;
    explicit descriptor(int value);
    descriptor(descriptor &&other) noexcept;
    descriptor &operator=(descriptor &&other) noexcept;
    descriptor(const descriptor &) = delete;
    descriptor &operator=(const descriptor &) = delete;
    ~descriptor();

    // value returns the descriptor, -1 if there is none.
    int value() const
    {
        return m_value;
    }

private:
    int m_value = -1;
};

// A bound UDP socket. Any thread may send; one thread receives.
struct udp_socket
{
    descriptor handle;
    endpoint address;
};

// A listening TCP socket.
struct tcp_listener
{
    descriptor handle;
    endpoint address;
};

// A connected TCP socket.
struct tcp_stream
{
    descriptor handle;
    endpoint peer;
};

struct received_datagram
{
    endpoint from;
    std::string bytes;
};

// bindUdp binds to `address`; port 0 takes a free one, and `address` of the result tells it. Thread safe. Fails with
// Unavailable if the port is in use, InvalidArgument for a bad address, Io otherwise.
result<udp_socket> bindUdp(const endpoint &address);

// sendDatagram sends at most `maxDatagramBytes`. Thread safe. Fails with InvalidArgument for more, Io otherwise.
result<void> sendDatagram(const udp_socket &socket, const endpoint &to, std::string_view bytes);

// receiveDatagram waits at most `timeout`; empty if nothing came. A datagram over `maxDatagramBytes` is returned cut to
// `maxDatagramBytes` + 1, which its checksum refuses. Fails with Io.
result<std::optional<received_datagram>> receiveDatagram(const udp_socket &socket, duration timeout);

// listenTcp listens at `address`; port 0 takes a free one. Thread safe. Fails like `bindUdp`.
result<tcp_listener> listenTcp(const endpoint &address);

// acceptTcp waits at most `timeout` for a connection; empty if none came. Fails with Io or ResourceExhausted.
result<std::optional<tcp_stream>> acceptTcp(const tcp_listener &listener, duration timeout);

// connectTcp connects until `deadline`. Thread safe. Fails with Timeout, Unavailable (refused) or Io.
result<tcp_stream> connectTcp(const endpoint &to, time_point deadline);

// sendFrame sends the length and `bytes`. Fails with Timeout, Unavailable (closed by the peer), InvalidArgument or Io.
result<void> sendFrame(const tcp_stream &stream, std::string_view bytes, time_point deadline);

// receiveFrame receives one frame of at most `maxBytes`. Memory grows with the bytes that arrive, not with the length
// that the frame claims. Fails with Timeout, Corrupt (not a frame, or too long), Unavailable (closed early) or Io.
result<std::string> receiveFrame(const tcp_stream &stream, std::size_t maxBytes, time_point deadline);

} // namespace pistachioquay
