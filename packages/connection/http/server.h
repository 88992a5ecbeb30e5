// Streaming HTTP/1.1 server over libmicrohttpd: one thread per connection, which runs the handlers and may block in
// them. Bodies pass through in pieces, so a request needs bounded memory whatever its size.
//
//   http_server server({.address = {"127.0.0.1", 0}}, [](const request_head &head, const caller_watch &) {
//       exchange steps;
//       steps.onEnd = [target = head.target] { return textResponse(200, "text/plain", target); };
//       return steps;
//   });
//   BOOST_LEAF_CHECK(server.start());
#pragma once

#include <memory>

#include "base/clock.h"
#include "connection/http/caller_watch.h"
#include "connection/http/message.h"

namespace pistachioquay {

// The steps of one request, all called on the thread of its connection. Only `onEnd` is required.
struct exchange
{
    // Called before any byte of the body was taken. A response that it returns ends the request.
    std::function<std::optional<http_response>()> onHead;
    // Called for each piece of the body. After `false` the rest of the body is read and discarded.
    std::function<bool(std::string_view)> onBody;
    // Called once after the body; its response is streamed to the caller. Not called if the body was cut.
    std::function<http_response()> onEnd;
    // Called once when the request is over; true if the response was sent whole.
    std::function<void(bool)> onDone;
};

// Makes the steps of a request. The references live until `onDone` returns.
using http_handler = std::function<exchange(const request_head &, const caller_watch &)>;

// How connections are served. EventLoop (one thread for all) exists to compare: handlers must not block there.
enum class server_threads
{
    PerConnection,
    EventLoop,
};

// Settings of a server.
struct server_options
{
    endpoint address;
    std::uint32_t maxConnections = 256;
    seconds idleTimeout{60}; // longer than a client keeps a connection, so that the client closes first
    seconds stallTimeout{5}; // a body that makes no progress for this time is cut
    server_threads threads = server_threads::PerConnection;
};

class http_server
{
public:
    http_server(server_options options, http_handler handler);
    http_server(http_server &&) noexcept;
    http_server &operator=(http_server &&) noexcept;
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    ~http_server();

    // start opens the port and serves. Not thread safe. Fails with Unavailable if the port is in use.
    result<void> start();

    // closeConnectionsAfterResponse makes each further response close its connection. Thread safe.
    void closeConnectionsAfterResponse();

    // stop cuts what is still running (watches report it) and waits for the threads. Not thread safe; can be repeated.
    void stop();

    // address returns the address with the port in use. Thread safe after `start`.
    endpoint address() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pistachioquay
