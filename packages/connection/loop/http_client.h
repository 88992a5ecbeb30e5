// HTTP/1.1 client on an event loop, with a pool of keep-alive connections to one target.
//
//   async_http_client worker(executor, {.target = address, .echoHeader = "X-Request-Id"});
//   const exchange_result got = co_await worker.send(request, {.deadline = now + seconds(1)}, cancellation);
//   if (got.end == exchange_end::Complete) use(got.response);
//
// A response is Complete only if its framing shows that all of it has arrived; a response without a length must end
// with an orderly close of the connection, not with a reset. A head that HTTP/1.1 does not allow, a status outside 100
// to 599, 101, and a transfer coding other than chunks make the exchange Lost. Trailers are dropped. See
// docs/design/whole-answers.md.
//
// If `echoHeader` is set, the target copies this header from request to response; a response with another value belongs
// to an earlier request and is skipped, and one without it cannot be attributed to any request, so the exchange is
// Lost: a refusal would otherwise say that this request was not run. A connection is reused only if its last exchange
// was complete and no unread bytes are left on it.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/endpoint.h"
#include "connection/loop/http_server.h"

namespace pistachioquay {

// How an exchange ended.
enum class exchange_end : std::uint8_t
{
    Complete,
    NotSent, // no connection could be opened, so the target has not received the request
    Refused, // like NotSent; the target's port is closed
    Lost, // the connection closed, or no complete response to this request arrived
    TimedOut,
    Cancelled,
};

// endName returns the lower-case name of `end` for logs. Thread safe.
std::string_view endName(exchange_end end);

struct exchange_result
{
    exchange_end end = exchange_end::Lost;
    whole_response response; // valid if `end` is Complete
    std::string detail; // the error otherwise
    bool wasReused = false; // the request was sent on a connection that had carried earlier ones
};

struct async_http_client_options
{
    endpoint target;
    std::string echoHeader; // see above; empty: responses are not checked
    milliseconds connectTimeout{500};
    milliseconds maxIdleTime{4000}; // of a connection; a shorter Keep-Alive timeout of the target takes precedence
    std::size_t maxIdleConnections = 64;
    std::size_t maxResponseBytes = 16UL * 1024 * 1024; // body of one response; a target may send bytes without end
    std::size_t maxBufferedBytes = 64UL * 1024 * 1024; // sum of the bodies of responses in progress
};

struct exchange_options
{
    time_point deadline;
    // Only connections that have been idle for at most this long are reused. A target may drop an idle connection
    // without notice, and a request lost with it may or may not have been executed.
    milliseconds maxIdleForReuse{4000};
    std::function<void()> onConnected; // called before the first byte is sent, if set
};

// Lets the owner of an exchange cancel it. Not thread safe: belongs to one loop.
class cancellation_token
{
public:
    // cancel marks the exchange as cancelled and calls the function set by onCancel, if any.
    void cancel()
    {
        m_isCancelled = true;
        if (m_action) {
            std::exchange(m_action, nullptr)();
        }
    }
    bool isCancelled() const
    {
        return m_isCancelled;
    }
    // onCancel sets a function that is called once on cancellation; an empty function removes it.
    void onCancel(std::function<void()> action)
    {
        m_action = std::move(action);
    }

private:
    bool m_isCancelled = false;
    std::function<void()> m_action;
};

struct client_counts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t discarded = 0; // idle connections that could not be reused
};

// Not thread safe: belongs to one loop.
class async_http_client
{
public:
    async_http_client(net::any_io_executor executor, async_http_client_options options);
    ~async_http_client();
    async_http_client(const async_http_client &) = delete;
    async_http_client &operator=(const async_http_client &) = delete;

    // send sends a request and waits for its response. `request` and `cancellation` must outlive the operation.
    awaitable<exchange_result>
    send(const whole_request &request, exchange_options options, cancellation_token &cancellation);
    // probe opens a connection and keeps it as an idle one. Returns Complete, or Refused or NotSent if the target does
    // not accept it.
    awaitable<exchange_end> probe(time_point deadline);
    // closeIdle closes the connections whose idle time has reached its limit.
    void closeIdle(time_point now);
    // closeAll closes all idle connections.
    void closeAll();
    const client_counts &counts() const
    {
        return m_counts;
    }
    const endpoint &target() const
    {
        return m_options.target;
    }

private:
    struct connection;
    struct request_write;
    struct response_parser;
    std::shared_ptr<connection> acquireIdle(milliseconds maxIdleTime);
    awaitable<std::shared_ptr<connection>> open(time_point deadline, exchange_result &result);
    awaitable<void> exchange(const std::shared_ptr<connection> &conn,
                             const whole_request &request,
                             time_point deadline,
                             exchange_result &result);
    void release(std::shared_ptr<connection> conn, const header_list &responseHeaders);
    awaitable<bool> readResponse(connection &conn, response_parser &parser, exchange_result &result);

    net::any_io_executor m_executor;
    async_http_client_options m_options;
    std::deque<std::shared_ptr<connection>> m_idle; // ordered by last use, the most recent at the back
    client_counts m_counts;
    std::size_t m_bufferedBytes = 0; // of responses in progress
};

} // namespace pistachioquay
