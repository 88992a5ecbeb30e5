#include "connection/loop/http_client.h"

#include <charconv>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "connection/loop/beast_message.h"

namespace pistachioquay {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;

namespace {

constexpr unsigned maxSkippedResponses = 3; // responses to earlier requests, and interim ones, that an exchange skips
constexpr unsigned firstInterimStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;
constexpr std::size_t maxUnparsedBytes = 128UL * 1024; // bounds the memory of a head or a chunk header without end
constexpr milliseconds keepAliveMargin{1000}; // a connection is closed this long before the target's Keep-Alive timeout
constexpr milliseconds unackedTimeout{2000}; // TCP closes the connection if sent bytes stay unacknowledged

// Returns whether the socket is open and has no unread bytes. Unread bytes on an idle connection belong to no request,
// so it cannot be reused.
bool isReusableSocket(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns whether a write can fail like this on a connection that ended with a FIN. A reset that follows a FIN is
// reported as broken_pipe; two errors are those of a write that this side has ended by closing the connection.
bool isPossibleAfterFin(const beast::error_code &writeFailure)
{
    return !writeFailure || writeFailure == net::error::broken_pipe || writeFailure == net::error::operation_aborted
        || writeFailure == net::error::bad_descriptor;
}

// Returns why no request of this client can have a response with this head; empty if one can. What follows such a head
// on the connection cannot be attributed to a request either.
std::string_view headDefect(const http::response_header<> &head)
{
    const unsigned status = head.result_int();
    if (status < firstInterimStatus || status > lastFinalStatus) {
        return "response with an invalid status";
    }
    if (head.result() == http::status::switching_protocols) {
        return "response that switches the protocol unasked";
    }
    // The client accepts no other coding, and undoes none.
    const auto codings = head.count(http::field::transfer_encoding);
    if (codings > 1 || (codings == 1 && !beast::iequals(head[http::field::transfer_encoding], "chunked"))) {
        return "response with an unsupported transfer coding";
    }
    return {};
}

// Returns the N of `timeout=N` in the Keep-Alive header, if there is one.
std::optional<seconds> keepAliveTimeout(const header_list &headers)
{
    const auto value = findHeader(headers, "Keep-Alive");
    if (!value) {
        return std::nullopt;
    }
    const auto position = value->find("timeout=");
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned count = 0;
    const char *first = value->data() + position + std::string_view("timeout=").size();
    const auto parsed = std::from_chars(first, value->data() + value->size(), count);
    return parsed.ec == std::errc{} ? std::optional(seconds(count)) : std::nullopt;
}

} // namespace

std::string_view endName(exchange_end end)
{
    switch (end) {
    case exchange_end::Complete:
        return "complete";
    case exchange_end::NotSent:
        return "not-sent";
    case exchange_end::Refused:
        return "connection-refused";
    case exchange_end::Lost:
        return "lost";
    case exchange_end::TimedOut:
        return "timed-out";
    case exchange_end::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

// The write of a request. It may go on while the response is read, since a target may respond before it has read all of
// the request.
struct async_http_client::request_write
{
    request_write(const net::any_io_executor &executor, const whole_request &request)
        : message(toBeast(request))
        , ended(executor)
    {
    }

    bool hasSucceeded() const
    {
        return ended.isNotified() && !failure;
    }

    http::request<http::string_body> message;
    async_event ended;
    beast::error_code failure; // valid once `ended` is notified
};

struct async_http_client::connection
{
    explicit connection(const net::any_io_executor &executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{maxUnparsedBytes};
    time_point idleSince;
    time_point closeAt;
    bool isReusable = false;
};

struct async_http_client::response_parser : http::response_parser<http::string_body>
{
    // takeResponse returns the whole response. The parser adds trailers to the headers, where they would count as
    // statements that the target has made before the body, so they are dropped.
    whole_response takeResponse()
    {
        http::response<http::string_body> message = release();
        if (headOfChunks) {
            message.base() = std::move(*headOfChunks);
        }
        return fromBeast(std::move(message));
    }

    std::optional<http::response_header<>> headOfChunks; // the head as it was before the first chunk
};

async_http_client::async_http_client(net::any_io_executor executor, async_http_client_options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
{
}

async_http_client::~async_http_client() = default;

std::shared_ptr<async_http_client::connection> async_http_client::acquireIdle(milliseconds maxIdleTime)
{
    const time_point now = steadyNow();
    closeIdle(now);
    while (!m_idle.empty()) {
        if (m_idle.back()->idleSince + maxIdleTime < now) {
            return nullptr;
        }
        auto candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (isReusableSocket(candidate->stream.socket())) {
            return candidate;
        }
        ++m_counts.discarded;
    }
    return nullptr;
}

void async_http_client::closeIdle(time_point now)
{
    std::erase_if(m_idle, [&](const auto &idle) {
        return idle->closeAt <= now;
    });
}

void async_http_client::closeAll()
{
    m_idle.clear();
}

awaitable<std::shared_ptr<async_http_client::connection>> async_http_client::open(time_point deadline,
                                                                                  exchange_result &result)
{
    auto conn = std::make_shared<connection>(m_executor);
    beast::error_code failure;
    const tcp::endpoint target(net::ip::make_address(m_options.target.ip, failure), m_options.target.port);
    conn->stream.expires_at(std::min(deadline, steadyNow() + m_options.connectTimeout));
    const auto [connectFailure] = co_await conn->stream.async_connect(target, awaitResult);
    if (connectFailure) {
        result.end = connectFailure == net::error::connection_refused ? exchange_end::Refused : exchange_end::NotSent;
        result.detail = connectFailure.message();
        co_return nullptr;
    }
    ++m_counts.opened;
    conn->stream.socket().set_option(tcp::no_delay(true), failure);
    const int unackedMs = static_cast<int>(unackedTimeout.count());
    ::setsockopt(conn->stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedMs, sizeof(unackedMs));
    co_return conn;
}

void async_http_client::release(std::shared_ptr<connection> conn, const header_list &responseHeaders)
{
    if (m_idle.size() >= m_options.maxIdleConnections) {
        return;
    }
    const time_point now = steadyNow();
    duration idleLimit = m_options.maxIdleTime;
    if (const auto targetTimeout = keepAliveTimeout(responseHeaders)) {
        idleLimit = std::min<duration>(idleLimit, *targetTimeout - keepAliveMargin);
    }
    if (idleLimit <= duration::zero()) {
        return;
    }
    conn->idleSince = now;
    conn->closeAt = now + idleLimit;
    conn->stream.expires_never();
    m_idle.push_back(std::move(conn));
}

// Reads a response. Returns false, with the end and its detail in `result`, if it does not arrive complete or exceeds
// the limits on bytes.
awaitable<bool> async_http_client::readResponse(connection &conn, response_parser &parser, exchange_result &result)
{
    std::size_t reserved = 0;
    beast::error_code failure;
    bool isHeadChecked = false;
    std::string_view defect;
    while (!parser.is_done() && !failure && defect.empty()) {
        const auto [readFailure, bytes] = co_await http::async_read_some(conn.stream, conn.buffer, parser, awaitResult);
        failure = readFailure;
        const std::size_t bodyBytes = parser.get().body().size();
        m_bufferedBytes += bodyBytes - reserved;
        reserved = bodyBytes;
        if (!failure && m_bufferedBytes > m_options.maxBufferedBytes) {
            failure = http::error::body_limit;
        }
        if (!failure && parser.is_header_done() && !std::exchange(isHeadChecked, true)) {
            defect = headDefect(parser.get());
            if (parser.chunked()) {
                parser.headOfChunks = parser.get().base();
            }
        }
    }
    m_bufferedBytes -= reserved;
    if (failure) {
        result.end = failure == beast::error::timeout ? exchange_end::TimedOut : exchange_end::Lost;
        result.detail = failure.message();
    } else if (!defect.empty()) {
        result.detail = defect;
    }
    co_return !failure && defect.empty();
}

// Writes the request and reads the response concurrently.
awaitable<void> async_http_client::exchange(const std::shared_ptr<connection> &conn,
                                            const whole_request &request,
                                            time_point deadline,
                                            exchange_result &result)
{
    connection &active = *conn;
    const auto writing = std::make_shared<request_write>(m_executor, request);
    http::async_write(active.stream, writing->message, [conn, writing](const beast::error_code &failure, std::size_t) {
        writing->failure = failure;
        writing->ended.notify();
    });
    const std::string_view expectedEcho =
        m_options.echoHeader.empty() ? "" : findHeader(request.headers, m_options.echoHeader).value_or("");
    for (unsigned skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        auto parser = std::make_unique<response_parser>();
        parser->body_limit(m_options.maxResponseBytes);
        if (request.method == "HEAD") {
            parser->skip(true);
        }
        if (!co_await readResponse(active, *parser, result)) {
            co_return;
        }
        if (parser->need_eof()) {
            // The kernel reports a reset to one call only. If the write of the request got it, the read has ended as
            // after a FIN. The write must end before it can tell, so a pending one is ended here.
            active.stream.close();
            const bool hasWriteEnded = co_await writing->ended.waitUntil(deadline);
            if (!hasWriteEnded || !isPossibleAfterFin(writing->failure)) {
                result.detail = "connection reset within a response without a length";
                co_return;
            }
        }
        const bool keepsAlive = parser->get().keep_alive() && !parser->need_eof();
        whole_response response = parser->takeResponse();
        if (response.status < firstFinalStatus) {
            continue;
        }
        const auto echoed = findHeader(response.headers, m_options.echoHeader);
        if (!expectedEcho.empty() && !echoed) {
            result.detail = "response without a request id";
            co_return;
        }
        if (!expectedEcho.empty() && *echoed != expectedEcho) {
            if (keepsAlive) {
                continue;
            }
            result.detail = "response to another request";
            co_return;
        }
        result.end = exchange_end::Complete;
        result.response = std::move(response);
        active.isReusable = keepsAlive && writing->hasSucceeded() && active.buffer.size() == 0 && skipped == 0;
        co_return;
    }
    result.detail = "too many interim responses or responses to other requests";
}

awaitable<exchange_end> async_http_client::probe(time_point deadline)
{
    exchange_result result;
    auto conn = co_await open(deadline, result);
    if (!conn) {
        co_return result.end;
    }
    release(std::move(conn), {});
    co_return exchange_end::Complete;
}

awaitable<exchange_result>
async_http_client::send(const whole_request &request, exchange_options options, cancellation_token &cancellation)
{
    exchange_result result;
    std::shared_ptr<connection> conn = acquireIdle(options.maxIdleForReuse);
    result.wasReused = conn != nullptr;
    if (conn) {
        ++m_counts.reused;
    } else {
        conn = co_await open(options.deadline, result);
    }
    if (!conn || cancellation.isCancelled()) {
        result.end = cancellation.isCancelled() ? exchange_end::Cancelled : result.end;
        co_return result;
    }
    conn->isReusable = false;
    if (options.onConnected) {
        options.onConnected();
    }
    conn->stream.expires_at(options.deadline);
    cancellation.onCancel([conn] {
        conn->stream.close();
    });
    co_await exchange(conn, request, options.deadline, result);
    cancellation.onCancel(nullptr);
    if (cancellation.isCancelled() && result.end != exchange_end::Complete) {
        result.end = exchange_end::Cancelled;
    }
    if (result.end == exchange_end::Complete && conn->isReusable) {
        release(std::move(conn), result.response.headers);
    } else {
        conn->stream.close();
    }
    co_return result;
}

} // namespace pistachioquay
