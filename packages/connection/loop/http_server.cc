#include "connection/loop/http_server.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>

#include "connection/loop/beast_message.h"

namespace pistachioquay {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;

namespace {

constexpr milliseconds writeTimeout{10000}; // the connection is closed if the caller reads nothing for this long
constexpr milliseconds drainTimeout{500}; // to read the rest of a request that was rejected before all of it arrived
constexpr std::size_t maxDrainBytes = 1024UL * 1024;
constexpr milliseconds acceptRetryDelay{50}; // pause after a failed accept, as for lack of descriptors
constexpr milliseconds deadlineCheckInterval{200}; // time between checks of the timeouts of all connections
// The server closes an idle connection only after 1.25 times the idle timeout, because callers may send a request up to
// the end of the timeout.
constexpr double idleTimeoutFactor = 1.25;
constexpr std::size_t readBytes = 8192; // size of one read from the socket
constexpr std::size_t maxUnparsedBytes = 128UL * 1024; // bounds the memory of a head or a chunk header without end
// Bytes that are read ahead of the request limit. A disconnect is noticed at once as long as the caller sends less.
constexpr std::size_t maxReadAheadBytes = 32UL * 1024;
constexpr milliseconds disconnectPollInterval{100}; // once `maxReadAheadBytes` are buffered

unsigned statusForReadError(const beast::error_code &failure)
{
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return 431;
    }
    if (failure == http::error::body_limit) {
        return 413;
    }
    return 400;
}

bool isProtocolError(const beast::error_code &failure)
{
    return failure.category() == http::make_error_code(http::error::bad_method).category()
        && failure != http::error::end_of_stream && failure != http::error::partial_message;
}

// Returns whether the peer has closed its side, even if unread bytes precede the close.
bool hasPeerClosed(tcp::socket &socket)
{
    pollfd watched{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

} // namespace

whole_response textReply(unsigned status, std::string text, std::string_view contentType)
{
    return {status, {{"Content-Type", std::string(contentType)}}, std::move(text), false};
}

namespace {

class server_connection;

} // namespace

struct async_http_server::state : std::enable_shared_from_this<async_http_server::state>
{
    state(net::any_io_executor loopExecutor, async_http_server_options serverOptions, request_handler requestHandler)
        : executor(std::move(loopExecutor))
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , acceptor(executor)
        , deadlineTimer(executor)
    {
    }

    server_limits limits() const
    {
        return options.bounds ? options.bounds() : server_limits{};
    }

    awaitable<void> acceptLoop();
    awaitable<void> deadlineLoop();

    net::any_io_executor executor;
    async_http_server_options options;
    request_handler handler;
    tcp::acceptor acceptor;
    net::steady_timer deadlineTimer;
    server_counts counts;
    std::size_t bufferedBytes = 0;
    bool isClosing = false;
    bool isStopped = false;
    bool isCheckingDeadlines = false;
    std::set<server_connection *> connections;
};

namespace {

// Serves the requests of one connection. One coroutine reads them, each handler runs in a coroutine of its own, and the
// responses are written in the order of the requests. The connection is closed once the reading has ended and all
// requests that were read are answered.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<async_http_server::state> server, tcp::socket socket);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    awaitable<void> run();
    // closeIfOverdue closes the connection if a timeout has expired.
    void closeIfOverdue(time_point now);
    // abort closes the connection without further responses and reports the disconnect to all handlers.
    void abort();

private:
    using parser_type = http::request_parser<http::string_body>;

    // A request that was read and has not been answered yet.
    struct open_exchange
    {
        whole_request request;
        unsigned version = 11;
        bool keepsAlive = false; // as the caller asks
        bool isHead = false;
        std::size_t reservedBytes = 0; // part of the server's `bufferedBytes`
        caller_connection caller;
        std::optional<whole_response> response;
    };

    awaitable<void> readRequests();
    awaitable<bool> waitForFirstByte();
    awaitable<bool> readRequest(parser_type &parser);
    awaitable<bool> readBody(parser_type &parser, const server_limits &limits);
    bool reserve(std::size_t bytes);
    void rejectRequest(unsigned status);
    bool mayOverlap(const open_exchange &exchange) const;
    void startHandler(const std::shared_ptr<open_exchange> &exchange);
    awaitable<bool> waitUntilOpen(std::size_t maxOpen);
    awaitable<void> writeResponses();
    awaitable<bool> write(open_exchange &exchange, bool keepsOpen);
    awaitable<void> drain();
    void cancelRead();

    std::shared_ptr<async_http_server::state> m_server;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer{maxUnparsedBytes};
    std::string m_peerIp;
    std::deque<std::shared_ptr<open_exchange>> m_open; // in the order of the requests
    std::size_t m_reservedBytes = 0; // for the request that is being read
    bool m_hasReadingEnded = false; // no further request is read
    bool m_isAborted = false;
    bool m_isWriting = false;
    bool m_isCallerDone = false; // the caller sends nothing after the last request that was read
    bool m_isWaitingForRequest = false; // the next request has not begun
    bool m_isWatching = false; // the reader waits for responses to be written
    net::steady_timer m_watchTimer;
    time_point m_idleSince;
    time_point m_readDeadline = time_point::max();
    time_point m_writeDeadline = time_point::max();
};

server_connection::server_connection(std::shared_ptr<async_http_server::state> server, tcp::socket socket)
    : m_server(std::move(server))
    , m_socket(std::move(socket))
    , m_watchTimer(m_server->executor)
    , m_idleSince(steadyNow())
{
    ++m_server->counts.open;
    m_server->connections.insert(this);
    beast::error_code ignored; // without this option the socket is only slower
    m_socket.set_option(tcp::no_delay(true), ignored);
    const auto peer = m_socket.remote_endpoint(ignored);
    m_peerIp = ignored ? std::string() : peer.address().to_string();
}

server_connection::~server_connection()
{
    --m_server->counts.open;
    m_server->bufferedBytes -= m_reservedBytes;
    m_server->connections.erase(this);
}

void server_connection::abort()
{
    if (std::exchange(m_isAborted, true)) {
        return;
    }
    m_hasReadingEnded = true;
    beast::error_code ignored; // the socket is closed even if this fails
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_watchTimer.cancel();
    const auto open = m_open; // a handler that ends removes its exchange
    for (const auto &exchange : open) {
        exchange->caller.markGone();
    }
}

void server_connection::closeIfOverdue(time_point now)
{
    const auto idleTimeout = std::chrono::duration_cast<duration>(m_server->limits().idleTimeout * idleTimeoutFactor);
    const bool isIdle = m_isWaitingForRequest && m_open.empty() && m_buffer.size() == 0;
    if (now > m_writeDeadline || (isIdle && now - m_idleSince > idleTimeout)) {
        abort();
    } else if (now > m_readDeadline) {
        if (m_open.empty()) {
            abort();
        } else if (!m_isWriting) {
            // Requests that were read before the overdue one are still answered.
            m_readDeadline = time_point::max();
            m_hasReadingEnded = true;
            cancelRead();
        }
    }
}

// Ends a pending read. A pending write would end as well, so it must not be called during one.
void server_connection::cancelRead()
{
    beast::error_code ignored; // fails only if the socket is closed, which ends the read too
    m_socket.cancel(ignored);
    m_watchTimer.cancel();
}

// Reads until a byte of the next request is buffered; false if the caller has closed the connection.
awaitable<bool> server_connection::waitForFirstByte()
{
    if (m_buffer.size() == 0) {
        m_isWaitingForRequest = true;
        const auto [failure, bytes] = co_await m_socket.async_read_some(m_buffer.prepare(readBytes), awaitResult);
        m_isWaitingForRequest = false;
        m_buffer.commit(bytes);
        co_return !failure;
    }
    co_return true;
}

// Counts body bytes against the limit of the server; false if it is exceeded.
bool server_connection::reserve(std::size_t bytes)
{
    const std::size_t added = bytes - std::min(bytes, m_reservedBytes);
    if (m_server->bufferedBytes + added > m_server->options.maxBufferedBytes) {
        return false;
    }
    m_reservedBytes += added;
    m_server->bufferedBytes += added;
    return true;
}

awaitable<bool> server_connection::readRequest(parser_type &parser)
{
    const server_limits limits = m_server->limits();
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    m_readDeadline = steadyNow() + limits.headerTimeout;
    auto [failure, bytes] = co_await http::async_read_header(m_socket, m_buffer, parser, awaitResult);
    m_readDeadline = time_point::max();
    if (failure) {
        if (isProtocolError(failure)) {
            rejectRequest(statusForReadError(failure));
        }
        co_return false;
    }
    if (parser.content_length().value_or(0) > limits.bodyBytes) {
        rejectRequest(413);
        co_return false;
    }
    if (!reserve(parser.content_length().value_or(0))) {
        ++m_server->counts.refusedForMemory;
        rejectRequest(503);
        co_return false;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done()) {
        if (!co_await waitUntilOpen(0) || m_hasReadingEnded) {
            co_return false;
        }
        http::response<http::empty_body> interim(http::status::continue_, 11);
        m_writeDeadline = steadyNow() + writeTimeout;
        co_await http::async_write(m_socket, interim, awaitResult);
        m_writeDeadline = time_point::max();
    }
    co_return co_await readBody(parser, limits);
}

awaitable<bool> server_connection::readBody(parser_type &parser, const server_limits &limits)
{
    while (!parser.is_done()) {
        m_readDeadline = steadyNow() + limits.idleTimeout;
        auto [failure, bytes] = co_await http::async_read_some(m_socket, m_buffer, parser, awaitResult);
        m_readDeadline = time_point::max();
        if (failure) {
            if (isProtocolError(failure)) {
                rejectRequest(statusForReadError(failure));
            }
            co_return false;
        }
        if (!reserve(parser.get().body().size())) {
            ++m_server->counts.refusedForMemory;
            rejectRequest(503);
            co_return false;
        }
    }
    co_return true;
}

// Queues the final response of the connection: nothing that follows the rejected request can be understood.
void server_connection::rejectRequest(unsigned status)
{
    ++m_server->counts.rejected;
    if (m_hasReadingEnded) {
        return;
    }
    const auto exchange = std::make_shared<open_exchange>();
    exchange->response = textReply(status, std::string(http::obsolete_reason(http::int_to_status(status))) + "\n");
    if (status == 503) {
        exchange->response->headers.push_back({"Retry-After", "0.2"});
    }
    m_hasReadingEnded = true;
    m_open.push_back(exchange);
}

// Returns whether the request may run beside others of the connection. If it may and it is open, all open ones may.
bool server_connection::mayOverlap(const open_exchange &exchange) const
{
    return m_server->options.mayOverlap && m_server->options.mayOverlap(exchange.request);
}

void server_connection::startHandler(const std::shared_ptr<open_exchange> &exchange)
{
    ++m_server->counts.requests;
    m_open.push_back(exchange);
    net::co_spawn(
        m_server->executor,
        [self = shared_from_this(), exchange]() -> awaitable<void> {
            whole_response response;
            try {
                response = co_await self->m_server->handler(exchange->request, exchange->caller);
            } catch (const std::exception &) {
                response = textReply(500, "internal error\n");
            }
            exchange->caller.onDisconnect(nullptr);
            exchange->request.body = {};
            exchange->response = std::move(response);
            self->m_server->bufferedBytes -= std::exchange(exchange->reservedBytes, 0);
            try {
                co_await self->writeResponses();
            } catch (const std::exception &) { // for example a status that HTTP cannot express
                self->abort();
            }
        },
        net::detached);
}

// Waits until at most `maxOpen` requests are open. Meanwhile it reads ahead, since only a read shows that the caller
// has closed the connection; returns false if it has.
awaitable<bool> server_connection::waitUntilOpen(std::size_t maxOpen)
{
    while (m_open.size() > maxOpen && !m_isAborted) {
        m_isWatching = true;
        if (m_buffer.size() < maxReadAheadBytes) {
            const auto [failure, bytes] = co_await m_socket.async_read_some(m_buffer.prepare(readBytes), awaitResult);
            m_isWatching = false;
            m_buffer.commit(bytes);
            if (failure && failure != net::error::operation_aborted) {
                abort();
            }
        } else {
            m_watchTimer.expires_after(disconnectPollInterval);
            co_await m_watchTimer.async_wait(awaitResult);
            m_isWatching = false;
            if (!m_isAborted && hasPeerClosed(m_socket)) {
                abort();
            }
        }
    }
    co_return !m_isAborted;
}

awaitable<bool> server_connection::write(open_exchange &exchange, bool keepsOpen)
{
    auto message = toBeast(std::move(*exchange.response), exchange.version, keepsOpen);
    if (exchange.isHead && message.body().empty()) {
        message.erase(http::field::content_length); // a GET may have a body, whose length is not known here
    }
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(exchange.isHead);
    while (exchange.isHead ? !serializer.is_header_done() : !serializer.is_done()) {
        m_writeDeadline = steadyNow() + writeTimeout;
        const auto [failure, bytes] = co_await http::async_write_some(m_socket, serializer, awaitResult);
        m_writeDeadline = time_point::max();
        if (failure) {
            co_return false;
        }
    }
    co_return true;
}

// Writes the responses that are due. Only one call at a time writes: the others leave their responses to it.
awaitable<void> server_connection::writeResponses()
{
    if (std::exchange(m_isWriting, true)) {
        co_return;
    }
    while (!m_isAborted && !m_open.empty() && m_open.front()->response) {
        const std::shared_ptr<open_exchange> exchange = m_open.front();
        // A connection that shuts down still answers the requests that were read; only the last response closes it.
        const bool isClosing = exchange->response->closesConnection || m_server->isClosing;
        m_hasReadingEnded = m_hasReadingEnded || isClosing;
        const bool isLast = m_hasReadingEnded && m_open.size() == 1;
        if (exchange->response->status == 0 || !co_await write(*exchange, !isLast)) {
            abort();
            break;
        }
        m_open.pop_front();
        m_idleSince = steadyNow();
        if (isLast) {
            break;
        }
    }
    m_isWriting = false;
    const bool isDone = m_open.empty() && m_hasReadingEnded; // the reader may wait for a request that is not served
    if (m_isWatching || isDone) {
        cancelRead();
    }
}

// Reads and discards what the caller still sends: closing a connection with unread bytes sends a TCP reset, and the
// caller might lose the last response.
awaitable<void> server_connection::drain()
{
    std::size_t left = maxDrainBytes;
    m_readDeadline = steadyNow() + drainTimeout;
    beast::error_code ignored; // the connection is closed even if this fails
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    while (left > 0 && !m_isAborted) {
        m_buffer.clear();
        const auto [failure, bytes] = co_await m_socket.async_read_some(m_buffer.prepare(readBytes), awaitResult);
        if (failure) {
            break;
        }
        left -= std::min(left, bytes);
    }
}

awaitable<void> server_connection::readRequests()
{
    while (!m_hasReadingEnded && !m_server->isStopped) {
        const std::size_t maxOpen = std::max<std::size_t>(m_server->options.maxPipelined, 1) - 1;
        if (!co_await waitUntilOpen(maxOpen) || !co_await waitForFirstByte() || m_hasReadingEnded) {
            break;
        }
        // The parser and the request may be large, so they are allocated only while a request is read.
        auto parser = std::make_unique<parser_type>();
        if (!co_await readRequest(*parser)) {
            break;
        }
        const auto exchange = std::make_shared<open_exchange>();
        exchange->version = parser->get().version();
        exchange->keepsAlive = parser->get().keep_alive();
        exchange->isHead = parser->get().method() == http::verb::head;
        exchange->request = fromBeast(parser->release());
        exchange->request.sender = m_peerIp;
        parser.reset();
        const bool mayStartNow = m_open.empty() || (mayOverlap(*m_open.back()) && mayOverlap(*exchange));
        if (!mayStartNow && !co_await waitUntilOpen(0)) {
            break;
        }
        // A request behind a response that has closed the connection counts as unread, so it must not run.
        if (m_hasReadingEnded) {
            break;
        }
        exchange->reservedBytes = std::exchange(m_reservedBytes, 0);
        m_isCallerDone = !exchange->keepsAlive;
        m_hasReadingEnded = m_isCallerDone;
        startHandler(exchange);
    }
}

awaitable<void> server_connection::run()
{
    const auto self = shared_from_this();
    co_await readRequests();
    const bool isCallerGone = !m_hasReadingEnded;
    m_hasReadingEnded = true;
    if (isCallerGone) {
        abort();
    }
    co_await writeResponses();
    co_await waitUntilOpen(0);
    if (!m_isAborted && !m_isCallerDone) {
        co_await drain();
    }
    abort();
}

} // namespace

awaitable<void> async_http_server::state::deadlineLoop()
{
    const auto self = shared_from_this();
    isCheckingDeadlines = true;
    while (!isStopped && !connections.empty()) {
        deadlineTimer.expires_after(deadlineCheckInterval);
        co_await deadlineTimer.async_wait(awaitResult);
        const time_point now = steadyNow();
        const std::vector<server_connection *> checked(connections.begin(), connections.end());
        for (server_connection *connection : checked) {
            if (connections.contains(connection)) {
                connection->closeIfOverdue(now);
            }
        }
    }
    isCheckingDeadlines = false;
}

awaitable<void> async_http_server::state::acceptLoop()
{
    const auto self = shared_from_this();
    while (!isStopped) {
        auto [failure, socket] = co_await acceptor.async_accept(awaitResult);
        if (failure == net::error::operation_aborted) {
            break;
        }
        if (failure) {
            net::steady_timer pause(executor, acceptRetryDelay);
            co_await pause.async_wait(awaitResult);
            continue;
        }
        ++counts.accepted;
        if (counts.open >= options.maxConnections) {
            continue;
        }
        net::co_spawn(
            executor,
            [connection = std::make_shared<server_connection>(self, std::move(socket))]() -> awaitable<void> {
                try {
                    co_await connection->run();
                } catch (const std::exception &) {
                    connection->abort();
                }
            },
            net::detached);
        if (!isCheckingDeadlines) {
            net::co_spawn(executor, deadlineLoop(), net::detached);
        }
    }
}

async_http_server::async_http_server(net::any_io_executor executor,
                                     async_http_server_options options,
                                     request_handler handler)
    : m_state(std::make_shared<state>(std::move(executor), std::move(options), std::move(handler)))
{
}

async_http_server::~async_http_server()
{
    stop();
}

result<void> async_http_server::start()
{
    beast::error_code failure;
    const tcp::endpoint local(net::ip::make_address(m_state->options.address.ip, failure),
                              m_state->options.address.port);
    tcp::acceptor &acceptor = m_state->acceptor;
    if (!failure) {
        acceptor.open(tcp::v4(), failure);
    }
    if (!failure) {
        acceptor.set_option(net::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
        acceptor.bind(local, failure);
    }
    if (!failure) {
        acceptor.listen(net::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return fail(error_kind::Unavailable,
                    "cannot listen on " + toText(m_state->options.address) + ": " + failure.message(),
                    "choose a free address of this VM in the settings");
    }
    net::co_spawn(m_state->executor, m_state->acceptLoop(), net::detached);
    return {};
}

void async_http_server::closeAfterResponse()
{
    m_state->isClosing = true;
}

void async_http_server::stop()
{
    m_state->isStopped = true;
    beast::error_code ignored; // the socket is closed even if this fails
    m_state->acceptor.close(ignored);
    m_state->deadlineTimer.cancel();
    const std::vector<server_connection *> open(m_state->connections.begin(), m_state->connections.end());
    for (server_connection *connection : open) {
        if (m_state->connections.contains(connection)) {
            connection->abort();
        }
    }
}

server_counts async_http_server::counts() const
{
    return m_state->counts;
}

endpoint async_http_server::address() const
{
    beast::error_code failure;
    const auto local = m_state->acceptor.local_endpoint(failure);
    return failure ? m_state->options.address : endpoint{local.address().to_string(), local.port()};
}

} // namespace pistachioquay
