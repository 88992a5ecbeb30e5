// TCP connection between two nodes that multiplexes the frames of many requests in both directions.
//
//   auto link = frame_link::make(std::move(socket), {.onFrame = handleFrame, .onClosed = forgetLink});
//   link->send(kind, encodeMessage(message, format));
//
// A frame consists of the payload length (4 bytes, big-endian), the kind (1 byte) and the payload. Frames queued during
// a write are sent together in the next write.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/endpoint.h"
#include "connection/loop/async_event.h"

namespace pistachioquay {

inline constexpr std::size_t maxFrameBytes = 80UL * 1024 * 1024;

class frame_link;

struct link_handlers
{
    std::function<void(frame_link &, std::uint8_t kind, std::string_view payload)> onFrame;
    std::function<void(frame_link &, std::string_view reason)> onClosed; // called once, when the link closes
};

// Not thread safe: belongs to one loop.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    // make creates a link on a connected socket and starts reading frames.
    static std::shared_ptr<frame_link> make(net::ip::tcp::socket socket, link_handlers handlers);

    // send queues a frame for writing; it does nothing if the link is closed.
    void send(std::uint8_t kind, std::string_view payload);
    // close closes the connection and discards queued frames. If the link was open, it calls `onClosed` with `reason`.
    void close(std::string_view reason);
    // closeAfterFlush closes the link once all queued frames are written.
    void closeAfterFlush();

    bool isOpen() const
    {
        return m_isOpen;
    }
    // lastProgress returns when bytes were last received or a write of more than 16 KiB last ended. Large writes count
    // because a peer that reads slowly still makes progress.
    time_point lastProgress() const
    {
        return m_lastProgress;
    }
    std::size_t queuedBytes() const
    {
        return m_queued.size() + m_writing.size();
    }

private:
    frame_link(net::ip::tcp::socket socket, link_handlers handlers);
    awaitable<void> readLoop();
    awaitable<void> writeLoop();
    bool dispatchFrames(std::string &buffer);

    net::ip::tcp::socket m_socket;
    link_handlers m_handlers;
    std::string m_queued;
    std::string m_writing;
    bool m_isOpen = true;
    bool m_isWriting = false;
    bool m_closesAfterFlush = false;
    time_point m_lastProgress;
};

// connectLink connects to `target`; it returns null if that fails or takes longer than `timeout`.
awaitable<std::shared_ptr<frame_link>>
connectLink(net::any_io_executor executor, endpoint target, milliseconds timeout, link_handlers handlers);

} // namespace pistachioquay
