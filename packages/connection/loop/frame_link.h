// A connection between two nodes that carries frames of many requests at once, in both directions.
//
//   auto link = frame_link::make(std::move(socket), {.onFrame = handleFrame, .onClosed = forgetLink});
//   link->send(kind, encodeMessage(message, format));
//
// A frame is a length of 4 bytes (big-endian), a kind of 1 byte, and the payload. Frames that are queued while a write
// is under way leave together in the next one.
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
    std::function<void(frame_link &, std::string_view reason)> onClosed; // called once
};

// Not thread safe: belongs to one loop.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    // make takes over a connected socket and starts to read.
    static std::shared_ptr<frame_link> make(net::ip::tcp::socket socket, link_handlers handlers);

    // send queues a frame; nothing happens on a closed link.
    void send(std::uint8_t kind, std::string_view payload);
    // close ends the link; `onClosed` is called with the reason if the link was open.
    void close(std::string_view reason);
    // closeAfterFlush ends the link when all queued frames are written.
    void closeAfterFlush();

    bool isOpen() const
    {
        return m_isOpen;
    }
    // lastProgress returns when bytes last came, or were last taken by a peer that is slow to read them.
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
    bool takeFrames(std::string &buffer);

    net::ip::tcp::socket m_socket;
    link_handlers m_handlers;
    std::string m_queued;
    std::string m_writing;
    bool m_isOpen = true;
    bool m_isWriting = false;
    bool m_closesAfterFlush = false;
    time_point m_lastProgress;
};

// connectLink opens a link; null if the peer cannot be reached within `timeout`.
awaitable<std::shared_ptr<frame_link>>
connectLink(net::any_io_executor executor, endpoint target, milliseconds timeout, link_handlers handlers);

} // namespace pistachioquay
