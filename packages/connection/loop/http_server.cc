#include "connection/loop/http_server.h"

#include <optional>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include "connection/loop/beast_message.h"

namespace pistachioquay {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;

namespace {

constexpr milliseconds writeTimeout{10000}; // the connection is closed if the caller does not read the response in time
constexpr milliseconds drainTimeout{500}; // to read the rest of a request that was rejected before all of it arrived
constexpr std::size_t maxDrainBytes = 1024UL * 1024;
constexpr milliseconds acceptRetryDelay{50}; // after a failed accept, for example for lack of file descriptors
// The server closes an idle connection only after 1.25 times the idle timeout, because callers may send a request up to
// the end of the timeout.
constexpr double idleTimeoutFactor = 1.25;

unsigned statusForReadError(const beast::error_code &failure)
{
    if (failure == http::error::header_limit) {
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

bool isPeerGone(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool hasUnreadBytes(tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace

whole_response textReply(unsigned status, std::string text, std::string_view contentType)
{
    return {status, {{"Content-Type", std::string(contentType)}}, std::move(text), false};
}

struct async_http_server::state : std::enable_shared_from_this<async_http_server::state>
{
    state(net::any_io_executor loopExecutor, async_http_server_options serverOptions, request_handler requestHandler)
        : executor(std::move(loopExecutor))
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , acceptor(executor)
    {
    }

    server_limits limits() const
    {
        return options.bounds ? options.bounds() : server_limits{};
    }

    awaitable<void> acceptLoop();

    net::any_io_executor executor;
    async_http_server_options options;
    request_handler handler;
    tcp::acceptor acceptor;
    server_counts counts;
    std::size_t bufferedBytes = 0;
    bool isClosing = false;
    bool isStopped = false;
    std::set<tcp::socket *> sockets;
};

namespace {

// Serves the requests of one connection.
class server_connection
{
public:
    server_connection(std::shared_ptr<async_http_server::state> server, tcp::socket socket);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    awaitable<void> run();

private:
    using parser_type = http::request_parser<http::string_body>;

    awaitable<bool> waitForFirstByte();
    awaitable<bool> readRequest(parser_type &parser);
    awaitable<bool> serveRequest();
    awaitable<bool> rejectRequest(unsigned status);
    awaitable<whole_response> handle(const whole_request &request);
    awaitable<bool> write(whole_response response, unsigned version, bool isHead, bool keepAlive);
    void watchForDisconnect(const std::shared_ptr<caller_connection> &caller);
    awaitable<void> drain();

    std::shared_ptr<async_http_server::state> m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::size_t m_reservedBytes = 0; // part of `bufferedBytes` that belongs to the current request
    std::string m_peerIp;
    std::shared_ptr<bool> m_isServing; // set while the handler runs; disconnects are reported only while it is set
};

server_connection::server_connection(std::shared_ptr<async_http_server::state> server, tcp::socket socket)
    : m_server(std::move(server))
    , m_stream(std::move(socket))
{
    ++m_server->counts.open;
    m_server->sockets.insert(&m_stream.socket());
    beast::error_code ignored; // without this option the socket is only slower
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    const auto peer = m_stream.socket().remote_endpoint(ignored);
    m_peerIp = ignored ? std::string() : peer.address().to_string();
}

server_connection::~server_connection()
{
    --m_server->counts.open;
    m_server->bufferedBytes -= m_reservedBytes;
    m_server->sockets.erase(&m_stream.socket());
}

awaitable<bool> server_connection::waitForFirstByte()
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    const time_point idleSince = steadyNow();
    for (;;) {
        const auto timeout = std::chrono::duration_cast<duration>(m_server->limits().idleTimeout * idleTimeoutFactor);
        m_stream.expires_at(idleSince + timeout);
        const auto [failure, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(8192), awaitResult);
        m_buffer.commit(bytes);
        if (!failure) {
            co_return true;
        }
        // The idle timeout may have been raised while the connection was idle.
        const auto currentTimeout =
            std::chrono::duration_cast<duration>(m_server->limits().idleTimeout * idleTimeoutFactor);
        if (failure != beast::error::timeout || currentTimeout <= timeout) {
            co_return false;
        }
    }
}

awaitable<bool> server_connection::readRequest(parser_type &parser)
{
    const server_limits limits = m_server->limits();
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    m_stream.expires_after(limits.headerTimeout);
    auto [headFailure, headBytes] = co_await http::async_read_header(m_stream, m_buffer, parser, awaitResult);
    if (headFailure) {
        if (isProtocolError(headFailure)) {
            co_await rejectRequest(statusForReadError(headFailure));
        }
        co_return false;
    }
    if (const auto length = parser.content_length()) {
        if (*length > limits.bodyBytes) {
            co_await rejectRequest(413);
            co_return false;
        }
        if (m_server->bufferedBytes + *length > m_server->options.maxBufferedBytes) {
            ++m_server->counts.refusedForMemory;
            co_await rejectRequest(503);
            co_return false;
        }
        m_reservedBytes = *length;
        m_server->bufferedBytes += m_reservedBytes;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done()) {
        http::response<http::empty_body> interim(http::status::continue_, 11);
        co_await http::async_write(m_stream, interim, awaitResult);
    }
    while (!parser.is_done()) {
        m_stream.expires_after(limits.idleTimeout);
        auto [failure, bytes] = co_await http::async_read_some(m_stream, m_buffer, parser, awaitResult);
        if (failure) {
            if (isProtocolError(failure)) {
                co_await rejectRequest(statusForReadError(failure));
            }
            co_return false;
        }
    }
    co_return true;
}

// Reads and discards the rest of a rejected request: closing a connection with unread bytes sends a TCP reset, and the
// caller might lose the response.
awaitable<void> server_connection::drain()
{
    std::size_t left = maxDrainBytes;
    m_stream.expires_after(drainTimeout);
    beast::error_code ignored; // the connection is closed even if this fails
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    while (left > 0) {
        m_buffer.clear();
        const auto [failure, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(16384), awaitResult);
        if (failure) {
            break;
        }
        left -= std::min(left, bytes);
    }
}

awaitable<bool> server_connection::rejectRequest(unsigned status)
{
    ++m_server->counts.rejected;
    whole_response response = textReply(status, std::string(http::obsolete_reason(http::int_to_status(status))) + "\n");
    if (status == 503) {
        response.headers.push_back({"Retry-After", "0.2"});
    }
    if (co_await write(std::move(response), 11, false, false)) {
        co_await drain();
    }
    co_return false;
}

// Reports to `caller` when the connection is closed. The wait ends when the caller sends more bytes or when handle()
// cancels it after the handler has returned.
void server_connection::watchForDisconnect(const std::shared_ptr<caller_connection> &caller)
{
    const std::weak_ptr<bool> isServing = m_isServing;
    m_stream.socket().async_wait(tcp::socket::wait_read, [caller, isServing, this](const beast::error_code &failure) {
        if (!failure && !isServing.expired() && isPeerGone(m_stream.socket())) {
            caller->markGone();
        }
    });
}

awaitable<whole_response> server_connection::handle(const whole_request &request)
{
    const auto caller = std::make_shared<caller_connection>();
    m_isServing = std::make_shared<bool>(true);
    m_stream.expires_never();
    if (m_buffer.size() == 0 && !hasUnreadBytes(m_stream.socket())) {
        watchForDisconnect(caller);
    }
    whole_response response;
    try {
        response = co_await m_server->handler(request, *caller);
    } catch (const std::exception &) {
        response = textReply(500, "internal error\n");
    }
    caller->onDisconnect(nullptr);
    m_isServing.reset();
    m_stream.socket().cancel();
    if (caller->isGone()) {
        response.status = 0;
    }
    co_return response;
}

awaitable<bool> server_connection::write(whole_response response, unsigned version, bool isHead, bool keepAlive)
{
    auto message = toBeast(std::move(response), version, keepAlive);
    m_stream.expires_after(writeTimeout);
    if (isHead) {
        http::response_serializer<http::string_body> serializer(message);
        const auto [failure, bytes] = co_await http::async_write_header(m_stream, serializer, awaitResult);
        co_return !failure;
    }
    const auto [failure, bytes] = co_await http::async_write(m_stream, message, awaitResult);
    co_return !failure;
}

awaitable<bool> server_connection::serveRequest()
{
    if (!co_await waitForFirstByte()) {
        co_return false;
    }
    // The parser and the request may be large, so they are allocated only while a request is served.
    auto parser = std::make_unique<parser_type>();
    if (!co_await readRequest(*parser)) {
        co_return false;
    }
    ++m_server->counts.requests;
    const unsigned version = parser->get().version();
    const bool keepAlive = parser->get().keep_alive();
    const bool isHead = parser->get().method() == http::verb::head;
    auto request = std::make_unique<whole_request>(fromBeast(parser->release()));
    request->sender = m_peerIp;
    parser.reset();
    whole_response response = co_await handle(*request);
    request.reset();
    m_server->bufferedBytes -= std::exchange(m_reservedBytes, 0);
    if (response.status == 0) {
        co_return false;
    }
    const bool keepsOpen = keepAlive && !response.closesConnection && !m_server->isClosing;
    co_return co_await write(std::move(response), version, isHead, keepsOpen) && keepsOpen;
}

awaitable<void> server_connection::run()
{
    while (!m_server->isStopped && co_await serveRequest()) {
    }
    beast::error_code ignored; // the connection is closed even if this fails
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace

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
        auto connection = std::make_unique<server_connection>(self, std::move(socket));
        net::co_spawn(
            executor,
            [owned = std::move(connection)]() mutable -> awaitable<void> {
                const auto running = std::move(owned);
                co_await running->run();
            },
            net::detached);
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
    for (tcp::socket *socket : m_state->sockets) {
        socket->shutdown(tcp::socket::shutdown_both, ignored);
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
