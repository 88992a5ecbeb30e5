#include "testing/upstream/server.h"

#include <cstdlib>
#include <cstring>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/hash.h"
#include "testing/harness/json.h"
#include "testing/upstream/response_body.h"

namespace pistachioquay {

namespace internal {

struct hash_deleter
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

// One request on its way through the server.
struct exchange
{
    MHD_Connection *connection = nullptr;
    run_request request;
    bool isWork = false;
    bool isAnswered = false;
    bool holdsSlot = false;
    bool isWhole = false;
    std::string refusal;
    std::uint64_t run = 0;
    std::uint64_t bytes = 0;
    std::unique_ptr<XXH3_state_t, hash_deleter> hash{XXH3_createState()};
    std::string controlBody;
};

} // namespace internal

using internal::exchange;

namespace {

constexpr std::uint32_t statusUnavailable = 503;
constexpr std::size_t maxControlBytes = 65'536;

std::string headerOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
}

bool isWorkPath(std::string_view path)
{
    return !path.starts_with("/test/") && path != "/health" && path != "/load";
}

// Waits for `time` and tells whether the client closed its connection meanwhile.
bool isClosedWithin(MHD_Connection *connection, duration time)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    pollfd socket{info->connect_fd, POLLRDHUP, 0};
    const auto whole = std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    const auto inSeconds = std::chrono::duration_cast<seconds>(whole);
    const timespec limit{inSeconds.count(), (whole - inSeconds).count()};
    return ppoll(&socket, 1, &limit, nullptr) > 0;
}

MHD_Result send(exchange &exchange, std::uint32_t status, MHD_Response *response)
{
    MHD_add_response_header(response, "Content-Type", "application/json");
    if (!exchange.request.nodeRequestId.empty()) {
        MHD_add_response_header(response, "X-Pq-Request-Id", exchange.request.nodeRequestId.c_str());
    }
    if (!exchange.request.requestId.empty()) {
        MHD_add_response_header(response, "X-Test-Request-Id", exchange.request.requestId.c_str());
    }
    const MHD_Result queued = MHD_queue_response(exchange.connection, status, response);
    MHD_destroy_response(response);
    exchange.isAnswered = true;
    return queued;
}

MHD_Result sendText(exchange &exchange, std::uint32_t status, const std::string &body)
{
    return send(exchange, status, makeBody(body, {}));
}

MHD_Result sendRefusal(exchange &exchange)
{
    return sendText(exchange, statusUnavailable, "{\"error\": \"" + exchange.refusal + "\"}");
}

// Refuses an upload before its body arrives. Other requests are refused at their end, because libmicrohttpd closes the
// connection after a response that comes before the end of the request.
MHD_Result refuse(exchange &exchange, std::string_view why)
{
    exchange.refusal = why;
    const std::string length = headerOf(exchange.connection, "Content-Length");
    const bool hasBody =
        !headerOf(exchange.connection, "Transfer-Encoding").empty() || (!length.empty() && length != "0");
    return hasBody ? sendRefusal(exchange) : MHD_YES;
}

std::string bodyHash(const exchange &exchange)
{
    const XXH128_hash_t digest = XXH3_128bits_digest(exchange.hash.get());
    return toHex({digest.high64, digest.low64});
}

std::string responseText(const exchange &exchange, const std::string &worker, std::size_t leastBytes)
{
    const json_holder root(json_object());
    const run_request &request = exchange.request;
    const std::string &id = request.requestId.empty() ? request.nodeRequestId : request.requestId;
    json_object_set_new(root.get(), "request_id", json_stringn(id.data(), id.size()));
    json_object_set_new(root.get(), "worker", json_string(worker.c_str()));
    json_object_set_new(root.get(), "bytes", json_integer(static_cast<json_int_t>(exchange.bytes)));
    json_object_set_new(root.get(), "hash", json_string(bodyHash(exchange).c_str()));
    json_object_set_new(root.get(), "padding", json_string(""));
    std::string text = toText(root.get());
    if (text.size() < leastBytes) {
        constexpr std::size_t closing = 2; // the quote and the brace
        text.insert(text.size() - closing, leastBytes - text.size(), '.');
    }
    return text;
}

} // namespace

worker_server::worker_server(const worker_options &options)
    : m_options(options)
    , m_slots(options.slots, options.isWaitAllowed)
    , m_record(options.recordFile)
    , m_times(options.service, options.seed)
    , m_behaviour(options.behaviour)
    , m_startedAt(steadyNow())
{
    m_listenAddress.sin_family = AF_INET;
    m_listenAddress.sin_port = htons(options.address.port);
    inet_pton(AF_INET, options.address.ip.c_str(), &m_listenAddress.sin_addr);
}

worker_server::~worker_server()
{
    drain(milliseconds(0));
}

bool worker_server::start()
{
    constexpr unsigned maxConnections = 2000;
    constexpr std::size_t stackBytes = 262'144;
    constexpr std::size_t connectionBytes = 131'072;
    if (!m_options.recordFile.empty() && !m_record.isOpen()) {
        return false;
    }
    m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD,
                                m_options.address.port,
                                nullptr,
                                nullptr,
                                &onRequest,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &m_listenAddress,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &onCompleted,
                                this,
                                MHD_OPTION_CONNECTION_LIMIT,
                                maxConnections,
                                MHD_OPTION_THREAD_STACK_SIZE,
                                stackBytes,
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                connectionBytes,
                                MHD_OPTION_END);
    return m_daemon != nullptr;
}

void worker_server::drain(milliseconds atMost)
{
    constexpr milliseconds checkInterval(5);
    if (m_daemon == nullptr) {
        return;
    }
    {
        const std::lock_guard guard(m_mutex);
        m_behaviour.isDraining = true;
    }
    const time_point until = steadyNow() + atMost;
    while (m_open > 0 && steadyNow() < until) {
        std::this_thread::sleep_for(checkInterval);
    }
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

worker_behaviour worker_server::behaviour() const
{
    const std::lock_guard guard(m_mutex);
    return m_behaviour;
}

MHD_Result worker_server::onRequest(void *self,
                                    MHD_Connection *connection,
                                    const char *path,
                                    const char *method,
                                    const char *,
                                    const char *data,
                                    std::size_t *size,
                                    void **context)
{
    auto &server = *static_cast<worker_server *>(self);
    if (*context == nullptr) {
        auto *fresh = new exchange;
        *context = fresh;
        ++server.m_open;
        fresh->connection = connection;
        fresh->request = {headerOf(connection, "X-Test-Request-Id"),
                          headerOf(connection, "X-Pq-Request-Id"),
                          headerOf(connection, "Idempotency-Key"),
                          method,
                          path};
        XXH3_128bits_reset(fresh->hash.get());
        return server.begin(*fresh);
    }
    auto &current = *static_cast<exchange *>(*context);
    if (*size == 0) {
        return current.isAnswered ? MHD_YES : server.finish(current);
    }
    XXH3_128bits_update(current.hash.get(), data, *size);
    current.bytes += *size;
    if (!current.isWork && current.controlBody.size() + *size <= maxControlBytes) {
        current.controlBody.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
}

void worker_server::onCompleted(void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode)
{
    auto &server = *static_cast<worker_server *>(self);
    const std::unique_ptr<exchange> done(static_cast<exchange *>(*context));
    *context = nullptr;
    if (!done) {
        return;
    }
    if (done->holdsSlot) {
        server.endRun(*done, 0, true);
    }
    --server.m_open;
}

MHD_Result worker_server::begin(exchange &exchange)
{
    exchange.isWork = isWorkPath(exchange.request.path);
    if (!exchange.isWork) {
        return MHD_YES;
    }
    const worker_behaviour current = behaviour();
    if (current.refuses || current.isDraining) {
        return refuse(exchange, current.isDraining ? "draining" : "refused");
    }
    const slot_answer answer = m_slots.acquire([&] {
        return isClosedWithin(exchange.connection, duration(0));
    });
    if (answer != slot_answer::Acquired) {
        return answer == slot_answer::Refused ? refuse(exchange, "no free slot") : MHD_NO;
    }
    exchange.holdsSlot = true;
    exchange.run = m_record.start(exchange.request);
    return MHD_YES;
}

MHD_Result worker_server::finish(exchange &exchange)
{
    exchange.isWhole = true;
    if (!exchange.refusal.empty()) {
        return sendRefusal(exchange);
    }
    return exchange.isWork ? run(exchange) : answerControl(exchange);
}

duration worker_server::serviceTime(const exchange &exchange)
{
    const std::string given = headerOf(exchange.connection, "X-Test-Service-Ms");
    const duration base = given.empty() ? m_times.draw() : fromMillis(std::strtod(given.c_str(), nullptr));
    const bool isCold = steadyNow() < m_startedAt + m_options.coldStart;
    const double factor = behaviour().slowness * (isCold ? m_options.coldFactor : 1);
    return fromMillis(std::chrono::duration<double, std::milli>(base).count() * factor);
}

MHD_Result worker_server::run(exchange &exchange)
{
    const bool isCancelled = isClosedWithin(exchange.connection, serviceTime(exchange));
    if (headerOf(exchange.connection, "X-Test-Crash") == "1") {
        _exit(3);
    }
    if (isCancelled) {
        endRun(exchange, 0, true);
        return MHD_NO;
    }
    return answerRun(exchange);
}

void worker_server::endRun(exchange &exchange, std::uint32_t status, bool isCancelled)
{
    run_end how;
    how.status = status;
    how.bytes = exchange.bytes;
    how.isCancelled = isCancelled;
    how.isWhole = exchange.isWhole;
    m_record.end(exchange.run, how);
    exchange.holdsSlot = false;
    m_slots.release();
}

MHD_Result worker_server::answerRun(exchange &exchange)
{
    const worker_behaviour current = behaviour();
    endRun(exchange, current.status, false);
    if (current.swapsIds) {
        exchange.request.requestId += "-other";
        exchange.request.nodeRequestId += "-other";
    }
    const std::string wanted = headerOf(exchange.connection, "X-Test-Response-Bytes");
    const auto leastBytes = static_cast<std::size_t>(std::strtoull(wanted.c_str(), nullptr, 10));
    std::string body = responseText(exchange, toText(m_options.address), leastBytes);
    const body_faults faults{milliseconds(current.stallMs), current.truncates, current.isChunked};
    return send(exchange, current.status, makeBody(std::move(body), faults));
}

MHD_Result worker_server::answerControl(exchange &exchange)
{
    const worker_behaviour current = behaviour();
    const std::string &path = exchange.request.path;
    if (path == "/health") {
        const std::uint32_t status = current.isDraining ? statusUnavailable : current.healthStatus;
        return sendText(exchange, status, current.isDraining ? R"({"status": "draining"})" : R"({"status": "ok"})");
    }
    if (path == "/load") {
        return sendText(exchange, MHD_HTTP_OK, loadJson());
    }
    if (path == "/test/record") {
        return sendText(exchange, MHD_HTTP_OK, entriesToJson(m_record.entries()));
    }
    if (path == "/test/behaviour" && exchange.request.method == "POST") {
        return setBehaviour(exchange);
    }
    return sendText(exchange, MHD_HTTP_NOT_FOUND, R"({"error": "no such path"})");
}

MHD_Result worker_server::setBehaviour(exchange &exchange)
{
    {
        const std::lock_guard guard(m_mutex);
        const auto wanted = applyBehaviour(m_behaviour, exchange.controlBody);
        if (wanted) {
            m_behaviour = *wanted;
            return sendText(exchange, MHD_HTTP_OK, "{}");
        }
    }
    return sendText(exchange, MHD_HTTP_BAD_REQUEST, R"({"error": "not a JSON object of known keys"})");
}

std::string worker_server::loadJson() const
{
    const worker_behaviour current = behaviour();
    const bool isLate = current.report == load_report::Late;
    load_sample load = isLate ? m_slots.loadAt(steadyNow() - milliseconds(current.loadLagMs)) : m_slots.load();
    if (current.report == load_report::Idle) {
        load = {};
    }
    const json_holder root(json_object());
    json_object_set_new(root.get(), "running", json_integer(load.running));
    json_object_set_new(root.get(), "waiting", json_integer(load.waiting));
    json_object_set_new(root.get(), "slots", json_integer(m_slots.slots()));
    return toText(root.get());
}

} // namespace pistachioquay
