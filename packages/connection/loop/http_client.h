// HTTP/1.1 client on an event loop, with connections that are kept for further requests.
//
//   async_http_client worker(executor, {.target = address, .echoHeader = "X-Request-Id"});
//   const exchange_result got = co_await worker.send(request, {.deadline = now + seconds(1)}, control);
//   if (got.end == exchange_end::Complete) use(got.response);
//
// A response counts as Complete only if all of it has arrived by its framing; one without a length must end with an
// orderly close. With `echoHeader` set, a response whose value differs from that of the request belongs to an earlier
// request and is skipped. A connection is kept only after a complete exchange with nothing left on it.
#pragma once

#include <deque>
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
    NotSent, // no connection could be made: the target has not seen the request
    Refused, // like NotSent, because the target's port is closed
    Lost, // the connection ended, or what came is no complete response to this request
    TimedOut,
    Cancelled,
};

// endName returns the lower-case name of an end for logs. Thread safe.
std::string_view endName(exchange_end end);

struct exchange_result
{
    exchange_end end = exchange_end::Lost;
    whole_response response; // if Complete
    std::string detail; // what went wrong otherwise
    bool wasReused = false; // the connection had served earlier requests
};

struct async_http_client_options
{
    endpoint target;
    std::string echoHeader; // empty: responses are not compared
    milliseconds connectTimeout{500};
    milliseconds idleKept{4000}; // connections that were idle for longer are closed, unless the target says less
    std::size_t maxIdle = 64;
    std::size_t maxResponseBytes = 64UL * 1024 * 1024;
};

struct exchange_options
{
    time_point deadline;
    // Only connections that were in use this recently are used again. A target may drop an idle connection without
    // notice, and a request that is lost with it may have run.
    milliseconds maxIdleForReuse{4000};
};

// Lets the owner of an exchange end it early. Belongs to the loop.
class cancellation_token
{
public:
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
    std::uint64_t discarded = 0; // kept connections that were no longer usable
};

// Not thread safe: belongs to one loop.
class async_http_client
{
public:
    async_http_client(net::any_io_executor executor, async_http_client_options options);
    ~async_http_client();
    async_http_client(const async_http_client &) = delete;
    async_http_client &operator=(const async_http_client &) = delete;

    // send exchanges one request. The request must live until the operation ends.
    awaitable<exchange_result>
    send(const whole_request &request, exchange_options options, cancellation_token &control);
    // closeIdle closes the connections that were idle for too long.
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
    std::shared_ptr<connection> takeIdle(milliseconds within);
    awaitable<std::shared_ptr<connection>> open(time_point deadline, exchange_result &result);
    awaitable<void>
    exchange(const std::shared_ptr<connection> &used, const whole_request &request, exchange_result &result);
    void keep(std::shared_ptr<connection> used, const whole_response &response);

    net::any_io_executor m_executor;
    async_http_client_options m_options;
    std::deque<std::shared_ptr<connection>> m_idle; // the most recently used last
    client_counts m_counts;
};

} // namespace pistachioquay
