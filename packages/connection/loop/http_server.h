// HTTP/1.1 server on an event loop. Requests are read whole, within bounds, before the handler sees them.
//
//   async_http_server server(executor, options, [&](const whole_request &request, caller_connection &caller) ->
//   awaitable<whole_response> {
//       co_return textReply(200, "ready");
//   });
//   const auto started = attempt([&] { return server.start(); });
//
// While a handler works on a request the connection is watched, so that `caller` tells when its caller left. A response
// is written whole; nothing of it is sent if the handler throws. A request that breaks the protocol or a bound of size
// gets a 4xx response and never reaches the handler; one that takes too long to arrive ends its connection.
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
    std::string sender; // IP number that the request came from; not sent on

    friend bool operator==(const whole_request &, const whole_request &) = default;
};

// A response with its whole body; framing headers are added when it is sent.
struct whole_response
{
    unsigned status = 0;
    header_list headers;
    std::string body;
    bool closesConnection = false;

    friend bool operator==(const whole_response &, const whole_response &) = default;
};

// textReply builds a response with a text body. Thread safe.
whole_response textReply(unsigned status, std::string text, std::string_view contentType = "text/plain");

// Whether the caller of a request is still there. Belongs to the loop.
class caller_connection
{
public:
    bool isGone() const
    {
        return m_isGone;
    }
    // onDisconnect sets what is called once when the caller leaves; an empty function removes it.
    void onDisconnect(std::function<void()> action)
    {
        m_action = std::move(action);
    }
    // leave notes that the caller has left.
    void leave()
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

// Bounds on what callers send; they are read for each request, so that a change holds at once.
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
    std::size_t maxConnections = 3000; // further ones are closed at once
    std::size_t maxBufferedBytes = 64UL * 1024 * 1024; // of request bodies on all connections; beyond it 503
    std::function<server_limits()> bounds; // empty: the defaults
};

struct server_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t rejected = 0; // requests that broke the protocol or a bound
    std::uint64_t overMemory = 0;
    std::uint64_t open = 0;
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

    // start listens. Fails with Unavailable if the address is in use.
    result<void> start();
    // closeAfterResponse makes every further response end its connection, for a shutdown.
    void closeAfterResponse();
    // stop closes the port and all connections.
    void stop();
    // counts returns the totals since the start.
    server_counts counts() const;
    // address returns the bound address.
    endpoint address() const;

    struct state; // private to the library

private:
    std::shared_ptr<state> m_state;
};

} // namespace pistachioquay
