// HTTP/1.1 server on an event loop. It reads each request completely, within size and time limits, before it calls the
// handler.
//
//   async_http_server server(
//       executor, options, [&](const whole_request &request, caller_connection &caller) -> awaitable<whole_response> {
//           co_return textReply(200, "ready");
//       });
//   const auto started = attempt([&] { return server.start(); });
//
// While a handler runs, the server watches the connection, and `caller` reports when it is closed. The response is sent
// only after the handler has returned; if the handler throws, the server responds with 500 instead. A request that
// violates the protocol or a size limit gets a 4xx response without a call of the handler; if a request takes too long
// to arrive, its connection is closed.
//
// Load pattern: callers send requests without waiting for the responses to earlier ones (pipelining), so that a request
// that is served only after its predecessor has the sum of both latencies. The server therefore reads up to
// `maxPipelined` requests ahead and runs those side by side for which `mayOverlap` returns true; it responds in the
// order of the requests. Other requests run alone: not before all earlier ones are answered, since a caller sends
// everything behind a response that closes the connection again. A connection that is to be closed, by a response with
// `closesConnection` or by `closeAfterResponse`, still answers each request that has started.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/endpoint.h"
#include "connection/http/message.h"
#include "connection/loop/async_event.h"

namespace pistachioquay {

// A request with its whole body.
struct whole_request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    std::string sender; // IP address that the request came from; not sent with the request

    friend bool operator==(const whole_request &, const whole_request &) = default;
};

// A response with its whole body. The framing headers are set when it is sent.
struct whole_response
{
    unsigned status = 0;
    header_list headers;
    std::string body;
    bool closesConnection = false;

    friend bool operator==(const whole_response &, const whole_response &) = default;
};

// textReply returns a response with a text body. Thread safe.
whole_response textReply(unsigned status, std::string text, std::string_view contentType = "text/plain");

// Tells whether the caller of a request has closed its connection. Not thread safe: belongs to one loop.
class caller_connection
{
public:
    bool isGone() const
    {
        return m_isGone;
    }
    // onDisconnect sets a function that is called once when the caller disconnects; an empty function removes it.
    void onDisconnect(std::function<void()> action)
    {
        m_action = std::move(action);
    }
    // markGone records that the caller has disconnected and calls the function set by onDisconnect.
    void markGone()
    {
        if (!m_isGone) {
            m_isGone = true;
            if (m_action) {
                std::exchange(m_action, nullptr)();
            }
        }
    }

private:
    bool m_isGone = false;
    std::function<void()> m_action;
};

// Limits on requests. They are read for each request, so that a change takes effect at once.
struct server_limits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 64UL * 1024 * 1024;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};

    friend auto operator<=>(const server_limits &, const server_limits &) = default;
};

struct async_http_server_options
{
    endpoint address;
    std::size_t maxConnections = 3000; // connections beyond it are closed at once
    std::size_t maxBufferedBytes = 64UL * 1024 * 1024; // sum of the bodies in progress; 503 beyond it
    std::function<server_limits()> bounds; // empty: the defaults of server_limits
    std::size_t maxPipelined = 16; // requests of one connection that are read and not answered yet
    // Returns whether a request may run beside others of its connection: it may run more than once. Empty: none may.
    std::function<bool(const whole_request &)> mayOverlap;
};

struct server_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t rejected = 0; // requests that violated the protocol, a size limit or maxBufferedBytes
    std::uint64_t refusedForMemory = 0; // requests beyond maxBufferedBytes
    std::uint64_t open = 0; // connections that are open now
};

// Not thread safe: belongs to one loop.
class async_http_server
{
public:
    using request_handler = std::function<awaitable<whole_response>(const whole_request &, caller_connection &)>;

    async_http_server(net::any_io_executor executor, async_http_server_options options, request_handler handler);
    async_http_server(const async_http_server &) = delete;
    async_http_server &operator=(const async_http_server &) = delete;
    ~async_http_server();

    // start binds the address and accepts connections. Fails with Unavailable if it cannot listen on the address.
    result<void> start();
    // closeAfterResponse makes the server read no further requests once it sends a response, and close each connection
    // when the requests that have started are answered, to prepare a shutdown.
    void closeAfterResponse();
    // stop closes the listening socket and all connections.
    void stop();
    // counts returns the totals since the server was created, and the number of open connections.
    server_counts counts() const;
    // address returns the bound address, or the configured one if the server does not listen.
    endpoint address() const;

    struct state; // private to the library

private:
    std::shared_ptr<state> m_state;
};

} // namespace pistachioquay
