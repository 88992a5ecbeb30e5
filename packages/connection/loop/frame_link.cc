#include "connection/loop/frame_link.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pistachioquay {

using tcp = net::ip::tcp;

namespace {

constexpr std::size_t frameHeaderBytes = 5;
constexpr std::size_t readBufferBytes = 16UL * 1024;
constexpr std::size_t maxIdleCapacity = 64UL * 1024; // larger buffers are freed when they are empty
constexpr milliseconds unackedTimeout{2000}; // TCP closes the connection if sent bytes stay unacknowledged

std::size_t decodePayloadLength(std::string_view header)
{
    std::size_t length = 0;
    for (const char byte : header.substr(0, 4)) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}

void releaseIfLarge(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() > maxIdleCapacity) {
        buffer.shrink_to_fit();
    }
}

} // namespace

frame_link::frame_link(tcp::socket socket, link_handlers handlers)
    : m_socket(std::move(socket))
    , m_handlers(std::move(handlers))
    , m_lastProgress(steadyNow())
{
    boost::system::error_code ignored; // without this option the socket is only slower
    m_socket.set_option(tcp::no_delay(true), ignored);
    const int unackedMs = static_cast<int>(unackedTimeout.count());
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedMs, sizeof(unackedMs));
}

std::shared_ptr<frame_link> frame_link::make(tcp::socket socket, link_handlers handlers)
{
    std::shared_ptr<frame_link> link(new frame_link(std::move(socket), std::move(handlers)));
    net::co_spawn(
        link->m_socket.get_executor(),
        [link]() -> awaitable<void> {
            co_await link->readLoop();
        },
        net::detached);
    return link;
}

void frame_link::send(std::uint8_t kind, std::string_view payload)
{
    if (!m_isOpen) {
        return;
    }
    const std::size_t length = payload.size();
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        m_queued += static_cast<char>((length >> shift) & 0xffU);
    }
    m_queued += static_cast<char>(kind);
    m_queued += payload;
    if (!m_isWriting) {
        m_isWriting = true;
        net::co_spawn(
            m_socket.get_executor(),
            [link = shared_from_this()]() -> awaitable<void> {
                co_await link->writeLoop();
            },
            net::detached);
    }
}

awaitable<void> frame_link::writeLoop()
{
    while (m_isOpen && !m_queued.empty()) {
        std::swap(m_queued, m_writing);
        const auto [failure, bytes] = co_await net::async_write(m_socket, net::buffer(m_writing), awaitResult);
        if (m_writing.size() > readBufferBytes) {
            m_lastProgress = steadyNow();
        }
        m_writing.clear();
        releaseIfLarge(m_writing);
        if (failure) {
            close("write failed: " + failure.message());
        }
    }
    m_isWriting = false;
    if (m_closesAfterFlush) {
        close("closed by this node");
    }
}

// Passes each complete frame in `buffer` to `onFrame` and removes it; returns false if a frame exceeds the size limit.
bool frame_link::dispatchFrames(std::string &buffer)
{
    std::size_t offset = 0;
    while (m_isOpen && buffer.size() - offset >= frameHeaderBytes) {
        const std::string_view remaining = std::string_view(buffer).substr(offset);
        const std::size_t length = decodePayloadLength(remaining);
        if (length > maxFrameBytes) {
            return false;
        }
        if (remaining.size() < frameHeaderBytes + length) {
            break;
        }
        try {
            m_handlers.onFrame(*this,
                               static_cast<std::uint8_t>(remaining[4]),
                               remaining.substr(frameHeaderBytes, length));
        } catch (const std::exception &failure) {
            close(failure.what());
        }
        offset += frameHeaderBytes + length;
    }
    buffer.erase(0, offset);
    releaseIfLarge(buffer);
    return true;
}

awaitable<void> frame_link::readLoop()
{
    std::string buffer;
    std::array<char, readBufferBytes> chunk{};
    while (m_isOpen) {
        const auto [failure, bytes] = co_await m_socket.async_read_some(net::buffer(chunk), awaitResult);
        if (failure) {
            close(failure.message());
            co_return;
        }
        buffer.append(chunk.data(), bytes);
        m_lastProgress = steadyNow();
        if (!dispatchFrames(buffer)) {
            close("the peer sent a frame over the size limit");
        }
    }
}

void frame_link::closeAfterFlush()
{
    m_closesAfterFlush = true;
    if (!m_isWriting) {
        close("closed by this node");
    }
}

void frame_link::close(std::string_view reason)
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    boost::system::error_code ignored; // the link is closed even if this fails
    if (!m_closesAfterFlush) {
        // Linger 0 makes the close send a TCP reset and drop unsent data, so that no request arrives after its sender
        // has abandoned it.
        m_socket.set_option(net::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
    if (m_handlers.onClosed) {
        m_handlers.onClosed(*this, reason);
    }
    m_handlers.onClosed = nullptr;
}

awaitable<std::shared_ptr<frame_link>>
connectLink(net::any_io_executor executor, endpoint target, milliseconds timeout, link_handlers handlers)
{
    boost::system::error_code failure;
    const auto address = net::ip::make_address(target.ip, failure);
    if (failure) {
        co_return nullptr;
    }
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    const auto [connectFailure] = co_await stream.async_connect(tcp::endpoint(address, target.port), awaitResult);
    if (connectFailure) {
        co_return nullptr;
    }
    co_return frame_link::make(stream.release_socket(), std::move(handlers));
}

} // namespace pistachioquay
