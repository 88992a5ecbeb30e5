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

constexpr unsigned maxSkipped = 3; // responses to earlier requests on one connection
constexpr milliseconds keepAliveMargin{1000}; // before the time at which the target closes an idle connection
constexpr milliseconds unackedTimeout{2000}; // sent bytes that the target does not acknowledge

// A kept connection is usable if it is open and has no bytes, which would belong to no request.
bool isQuiet(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Reads `timeout=N` of a Keep-Alive header.
std::optional<seconds> keepAliveTimeout(const header_list &headers)
{
    const auto value = findHeader(headers, "Keep-Alive");
    if (!value) {
        return std::nullopt;
    }
    const auto at = value->find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned count = 0;
    const char *first = value->data() + at + std::string_view("timeout=").size();
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

struct async_http_client::connection
{
    explicit connection(const net::any_io_executor &executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idleSince;
    time_point closeAt;
    bool isReusable = false;
    bool isWriting = false;
};

async_http_client::async_http_client(net::any_io_executor executor, async_http_client_options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
{
}

async_http_client::~async_http_client() = default;

std::shared_ptr<async_http_client::connection> async_http_client::takeIdle(milliseconds within)
{
    const time_point now = steadyNow();
    closeIdle(now);
    while (!m_idle.empty()) {
        if (m_idle.back()->idleSince + within < now) {
            return nullptr;
        }
        auto candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (isQuiet(candidate->stream.socket())) {
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
    auto made = std::make_shared<connection>(m_executor);
    beast::error_code failure;
    const tcp::endpoint target(net::ip::make_address(m_options.target.ip, failure), m_options.target.port);
    made->stream.expires_at(std::min(deadline, steadyNow() + m_options.connectTimeout));
    const auto [connectFailure] = co_await made->stream.async_connect(target, awaitResult);
    if (connectFailure) {
        result.end = connectFailure == net::error::connection_refused ? exchange_end::Refused : exchange_end::NotSent;
        result.detail = connectFailure.message();
        co_return nullptr;
    }
    ++m_counts.opened;
    made->stream.socket().set_option(tcp::no_delay(true), failure);
    const int unackedMs = static_cast<int>(unackedTimeout.count());
    ::setsockopt(made->stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedMs, sizeof(unackedMs));
    co_return made;
}

void async_http_client::keep(std::shared_ptr<connection> used, const whole_response &response)
{
    if (m_idle.size() >= m_options.maxIdle) {
        return;
    }
    const time_point now = steadyNow();
    duration kept = m_options.idleKept;
    if (const auto limit = keepAliveTimeout(response.headers)) {
        kept = std::min<duration>(kept, *limit - keepAliveMargin);
    }
    if (kept <= duration::zero()) {
        return;
    }
    used->idleSince = now;
    used->closeAt = now + kept;
    used->stream.expires_never();
    m_idle.push_back(std::move(used));
}

// Writes the request and reads the response at the same time, because a target may respond before it has read all.
awaitable<void> async_http_client::exchange(const std::shared_ptr<connection> &used,
                                            const whole_request &request,
                                            exchange_result &result)
{
    connection &on = *used;
    const auto message = std::make_shared<http::request<http::string_body>>(toBeast(request));
    const auto isWritten = std::make_shared<bool>(false);
    http::async_write(on.stream, *message, [used, message, isWritten](const beast::error_code &failure, std::size_t) {
        *isWritten = !failure;
    });
    const std::string_view expected =
        m_options.echoHeader.empty() ? "" : findHeader(request.headers, m_options.echoHeader).value_or("");
    for (unsigned skipped = 0; skipped <= maxSkipped; ++skipped) {
        auto parser = std::make_unique<http::response_parser<http::string_body>>();
        parser->body_limit(m_options.maxResponseBytes);
        if (request.method == "HEAD") {
            parser->skip(true);
        }
        const auto [failure, bytes] = co_await http::async_read(on.stream, on.buffer, *parser, awaitResult);
        if (failure) {
            result.end = failure == beast::error::timeout ? exchange_end::TimedOut : exchange_end::Lost;
            result.detail = failure.message();
            co_return;
        }
        const bool keepsAlive = parser->get().keep_alive() && !parser->need_eof();
        whole_response response = fromBeast(parser->release());
        const auto echoed = findHeader(response.headers, m_options.echoHeader);
        if (!expected.empty() && echoed && *echoed != expected) {
            if (keepsAlive) {
                continue;
            }
            result.detail = "response to another request";
            co_return;
        }
        result.end = exchange_end::Complete;
        result.response = std::move(response);
        on.isReusable = keepsAlive && *isWritten && on.buffer.size() == 0 && skipped == 0;
        co_return;
    }
    result.detail = "too many responses to other requests";
}

awaitable<exchange_result>
async_http_client::send(const whole_request &request, exchange_options options, cancellation_token &control)
{
    exchange_result result;
    std::shared_ptr<connection> used = takeIdle(options.maxIdleForReuse);
    result.wasReused = used != nullptr;
    if (used) {
        ++m_counts.reused;
    } else {
        used = co_await open(options.deadline, result);
    }
    if (!used || control.isCancelled()) {
        result.end = control.isCancelled() ? exchange_end::Cancelled : result.end;
        co_return result;
    }
    used->isReusable = false;
    used->stream.expires_at(options.deadline);
    control.onCancel([used] {
        used->stream.close();
    });
    co_await exchange(used, request, result);
    control.onCancel(nullptr);
    if (control.isCancelled() && result.end != exchange_end::Complete) {
        result.end = exchange_end::Cancelled;
    }
    if (result.end == exchange_end::Complete && used->isReusable) {
        keep(std::move(used), result.response);
    } else {
        used->stream.close();
    }
    co_return result;
}

} // namespace pistachioquay
