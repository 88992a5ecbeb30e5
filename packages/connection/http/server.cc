#include "connection/http/server.h"

#include <atomic>
#include <cstring>

#include <glog/logging.h>
#include <microhttpd.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace pistachioquay {

namespace {

constexpr std::size_t connectionMemoryBytes = 32UL * 1024; // also bounds the size of all headers together
constexpr std::size_t responsePieceBytes = 16UL * 1024;
constexpr std::size_t threadStackBytes = 256UL * 1024;
constexpr seconds discardTimeout{10}; // bounds how long an unwanted body is read before its connection is cut

} // namespace

struct http_server::state
{
    server_options options;
    http_handler handler;
    endpoint bound;
    unique_fd stopEvent;
    std::atomic<bool> isClosing = false;
    MHD_Daemon *daemon = nullptr;
};

namespace internal {

// One request on its connection's thread.
struct server_request
{
    server_options options;
    std::string target;
    MHD_Connection *connection = nullptr;
    request_head head;
    caller_watch watch;
    exchange steps;
    std::optional<http_response> held; // response that waits until the body was discarded
    body_reader read;
    bool isStarted = false;
    bool isDiscarding = false;
    bool isCut = false;
    time_point discardUntil;
};

namespace {

// Setting 0 first makes libmicrohttpd count the time anew, so time spent in a handler is not held against the caller.
void restartTimeout(MHD_Connection *connection, seconds timeout)
{
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    if (timeout > seconds::zero()) {
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, static_cast<unsigned>(timeout.count()));
    }
}

MHD_Result collectHeader(void *list, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<header_list *>(list)->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

std::optional<std::uint64_t> bodyLengthOf(const header_list &headers)
{
    if (findHeader(headers, "transfer-encoding")) {
        return std::nullopt;
    }
    const auto length = findHeader(headers, "content-length");
    return length ? parseCount(*length) : 0;
}

ssize_t readBody(void *cls, std::uint64_t, char *buffer, std::size_t size)
{
    auto *const request = static_cast<server_request *>(cls);
    const read_result got = request->read(std::span(buffer, size));
    restartTimeout(request->connection, request->options.idleTimeout);
    if (got.state == read_state::Data) {
        return static_cast<ssize_t>(got.bytes);
    }
    if (got.state == read_state::End) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    request->isCut = true;
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

MHD_Response *createResponse(server_request &request, http_response &response)
{
    if (!response.read) {
        return MHD_create_response_from_buffer(response.text.size(), response.text.data(), MHD_RESPMEM_MUST_COPY);
    }
    request.read = std::move(response.read);
    const std::uint64_t size = response.head.bodyLength.value_or(MHD_SIZE_UNKNOWN);
    return MHD_create_response_from_callback(size, responsePieceBytes, &readBody, &request, nullptr);
}

MHD_Result sendResponse(server_request &request, http_response response, bool isClosing)
{
    MHD_Response *const created = createResponse(request, response);
    if (created == nullptr) {
        return MHD_NO;
    }
    for (const header_field &field : response.head.headers) {
        MHD_add_response_header(created, field.name.c_str(), field.value.c_str());
    }
    if (isClosing) {
        MHD_add_response_header(created, "Connection", "close");
    }
    restartTimeout(request.connection, request.options.idleTimeout);
    const MHD_Result queued = MHD_queue_response(request.connection, response.head.status, created);
    MHD_destroy_response(created);
    return queued;
}

MHD_Result takeBody(server_request &request, std::string_view piece)
{
    if (request.isDiscarding) {
        return steadyNow() < request.discardUntil ? MHD_YES : MHD_NO;
    }
    const bool isWanted = request.steps.onBody && request.steps.onBody(piece);
    restartTimeout(request.connection, request.options.stallTimeout);
    if (!isWanted) {
        request.isDiscarding = true;
        request.discardUntil = steadyNow() + discardTimeout;
    }
    return MHD_YES;
}

} // namespace

} // namespace internal

namespace {

using internal::server_request;

void beginRequest(const http_handler &handler, int stopEvent, server_request &request, const char *method)
{
    request.isStarted = true;
    request.head.method = method;
    request.head.target = request.target;
    MHD_get_connection_values(request.connection, MHD_HEADER_KIND, &internal::collectHeader, &request.head.headers);
    request.head.bodyLength = internal::bodyLengthOf(request.head.headers);
    const auto expected = findHeader(request.head.headers, "expect");
    request.head.expectsContinue = expected && isSameHeaderName(*expected, "100-continue");
    const MHD_ConnectionInfo *const info =
        MHD_get_connection_info(request.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    request.watch = caller_watch(info->connect_fd, stopEvent);
    request.steps = handler(request.head, request.watch);
}

MHD_Result handleHead(server_request &request, bool isClosing)
{
    if (request.steps.onHead) {
        request.held = request.steps.onHead();
    }
    internal::restartTimeout(request.connection, request.options.stallTimeout);
    if (!request.held) {
        return MHD_YES;
    }
    if (request.held->head.status == 0) {
        return MHD_NO;
    }
    // libmicrohttpd closes the connection after a response that is queued before the body. Only a sender that waits for
    // "100 Continue" gets it then; from any other sender the body is read first, or a reset could destroy the response.
    if (request.head.bodyLength != 0 && request.head.expectsContinue) {
        return internal::sendResponse(request, std::move(*request.held), isClosing);
    }
    request.isDiscarding = true;
    request.discardUntil = steadyNow() + discardTimeout;
    return MHD_YES;
}

MHD_Result handleEnd(server_request &request, bool isClosing)
{
    internal::restartTimeout(request.connection, seconds::zero());
    http_response response = request.held ? std::move(*request.held) : request.steps.onEnd();
    if (response.head.status == 0) {
        return MHD_NO;
    }
    return internal::sendResponse(request, std::move(response), isClosing);
}

} // namespace

http_server::http_server(server_options options, http_handler handler)
    : m_state(std::make_unique<state>())
{
    m_state->options = std::move(options);
    m_state->handler = std::move(handler);
}

http_server::http_server(http_server &&) noexcept = default;
http_server &http_server::operator=(http_server &&) noexcept = default;

http_server::~http_server()
{
    if (m_state) {
        stop();
    }
}

result<void> http_server::start()
{
    BOOST_LEAF_AUTO(listening, openListenSocket(m_state->options.address));
    m_state->bound = listening.address;
    m_state->stopEvent = unique_fd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    const auto onTarget = [](void *cls, const char *target, MHD_Connection *connection) -> void * {
        auto *const request = new server_request;
        request->options = static_cast<state *>(cls)->options;
        request->target = target;
        request->connection = connection;
        return request;
    };
    const auto onRequest = [](void *cls,
                              MHD_Connection *,
                              const char *,
                              const char *method,
                              const char *,
                              const char *body,
                              std::size_t *bodySize,
                              void **context) -> MHD_Result {
        auto *const owner = static_cast<state *>(cls);
        auto *const request = static_cast<server_request *>(*context);
        if (!request->isStarted) {
            beginRequest(owner->handler, owner->stopEvent.get(), *request, method);
            return handleHead(*request, owner->isClosing);
        }
        if (*bodySize > 0) {
            const std::string_view piece(body, *bodySize);
            *bodySize = 0;
            return internal::takeBody(*request, piece);
        }
        return handleEnd(*request, owner->isClosing);
    };
    const auto onDone = [](void *, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code) {
        const std::unique_ptr<server_request> request(static_cast<server_request *>(*context));
        *context = nullptr;
        if (request && request->steps.onDone) {
            request->steps.onDone(code == MHD_REQUEST_TERMINATED_COMPLETED_OK && !request->isCut);
        }
        if (request) {
            internal::restartTimeout(connection, request->options.idleTimeout);
        }
    };
    using target_callback = void *(*)(void *, const char *, MHD_Connection *);
    const server_options &options = m_state->options;
    const unsigned threading = options.threads == server_threads::PerConnection
        ? MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD
        : MHD_USE_EPOLL_INTERNAL_THREAD;
    m_state->daemon = MHD_start_daemon(threading | MHD_USE_ITC,
                                       0,
                                       nullptr,
                                       nullptr,
                                       static_cast<MHD_AccessHandlerCallback>(onRequest),
                                       m_state.get(),
                                       MHD_OPTION_LISTEN_SOCKET,
                                       listening.fd.get(),
                                       MHD_OPTION_URI_LOG_CALLBACK,
                                       static_cast<target_callback>(onTarget),
                                       m_state.get(),
                                       MHD_OPTION_NOTIFY_COMPLETED,
                                       static_cast<MHD_RequestCompletedCallback>(onDone),
                                       m_state.get(),
                                       MHD_OPTION_CONNECTION_LIMIT,
                                       options.maxConnections,
                                       MHD_OPTION_CONNECTION_TIMEOUT,
                                       static_cast<unsigned>(options.idleTimeout.count()),
                                       MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                       connectionMemoryBytes,
                                       MHD_OPTION_THREAD_STACK_SIZE,
                                       threadStackBytes,
                                       MHD_OPTION_END);
    if (m_state->daemon == nullptr) {
        return fail(error_kind::Internal,
                    "cannot start the HTTP server on " + toText(m_state->bound),
                    "check the limits of threads and open files");
    }
    listening.fd.release();
    return {};
}

void http_server::closeConnectionsAfterResponse()
{
    m_state->isClosing = true;
}

void http_server::stop()
{
    if (m_state->daemon == nullptr) {
        return;
    }
    m_state->isClosing = true;
    const std::uint64_t one = 1;
    if (::write(m_state->stopEvent.get(), &one, sizeof one) != sizeof one) {
        LOG(WARNING) << "[http] the stop event was not written";
    }
    MHD_stop_daemon(m_state->daemon);
    m_state->daemon = nullptr;
}

endpoint http_server::address() const
{
    return m_state->bound;
}

} // namespace pistachioquay
