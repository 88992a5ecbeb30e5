#include "testing/platform_log/server.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstring>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "testing/harness/json.h"

namespace pistachioquay {

namespace {

constexpr std::size_t maxBodyBytes = 1'048'576;
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusForbidden = 403;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusDown = 503;

int respond(_u_response *response, unsigned status, std::string_view body)
{
    ulfius_add_header_to_response(response, "Content-Type", "application/json");
    ulfius_set_binary_body_response(response, status, body.data(), body.size());
    return U_CALLBACK_COMPLETE;
}

int respondError(_u_response *response, unsigned status, std::string_view what)
{
    return respond(response, status, "{\"error\": \"" + std::string(what) + "\"}");
}

std::int64_t numberParameter(const _u_request *request, const char *key, std::int64_t fallback)
{
    const char *text = u_map_get(request->map_url, key);
    std::int64_t value = fallback;
    if (text != nullptr) {
        std::from_chars(text, text + std::strlen(text), value);
    }
    return value;
}

// Stream name in `/v1/streams/{stream}/records`. ulfius 2.7.13 matches `:stream` but does not fill in its value.
std::string streamOf(const _u_request *request)
{
    constexpr std::string_view prefix = "/v1/streams/";
    const std::string_view path = request->url_path;
    const std::string_view rest = path.substr(prefix.size());
    return std::string(rest.substr(0, rest.find('/')));
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4, '\0');
    std::size_t size = 0;
    if (!bytes.empty()) {
        o_base64_encode(reinterpret_cast<const unsigned char *>(bytes.data()),
                        bytes.size(),
                        reinterpret_cast<unsigned char *>(text.data()),
                        &size);
    }
    text.resize(size);
    return text;
}

std::string encodeRange(const stored_range &range)
{
    const json_holder root(json_object());
    json_t *records = json_array();
    for (const stored_record &record : range.records) {
        const std::string data = encodeBase64(record.data);
        json_array_append_new(records,
                              json_pack("{s:I, s:I, s:s%}",
                                        "offset",
                                        static_cast<json_int_t>(record.offset),
                                        "time_ms",
                                        static_cast<json_int_t>(record.timeMs),
                                        "data",
                                        data.data(),
                                        data.size()));
    }
    json_object_set_new(root.get(), "first", json_integer(static_cast<json_int_t>(range.first)));
    json_object_set_new(root.get(), "next", json_integer(static_cast<json_int_t>(range.next)));
    json_object_set_new(root.get(), "records", records);
    return toText(root.get());
}

bool isSamePeer(int handle, const sockaddr_in &client)
{
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    return getpeername(handle, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.sin_family == AF_INET
        && peer.sin_port == client.sin_port && peer.sin_addr.s_addr == client.sin_addr.s_addr;
}

// Closes the connection of a request without a response. ulfius does not expose the connection, so its socket is found
// by the address of the client.
void dropConnection(const _u_request *request)
{
    constexpr int maxHandles = 4096;
    sockaddr_in client{};
    std::memcpy(&client, request->client_address, sizeof(client));
    for (int handle = 0; handle < maxHandles; ++handle) {
        if (isSamePeer(handle, client)) {
            shutdown(handle, SHUT_RDWR);
        }
    }
}

} // namespace

log_server::log_server(const log_server_options &options)
    : m_options(options)
    , m_store(options.retention)
{
    m_listenAddress.sin_family = AF_INET;
    m_listenAddress.sin_port = htons(options.address.port);
    inet_pton(AF_INET, options.address.ip.c_str(), &m_listenAddress.sin_addr);
}

log_server::~log_server()
{
    stop();
}

bool log_server::start()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = false;
    }
    m_instance = std::make_unique<_u_instance>();
    ulfius_init_instance(m_instance.get(), m_options.address.port, &m_listenAddress, nullptr);
    m_instance->allowed_post_processor = U_POST_PROCESS_NONE;
    m_instance->max_post_body_size = 2 * maxBodyBytes; // ulfius cuts a body at this size, so it exceeds the limit
    constexpr const char *records = "/v1/streams/:stream/records";
    ulfius_add_endpoint_by_val(m_instance.get(), "POST", records, nullptr, 0, &onAppend, this);
    ulfius_add_endpoint_by_val(m_instance.get(), "GET", records, nullptr, 0, &onRead, this);
    ulfius_add_endpoint_by_val(m_instance.get(), "POST", "/test/faults", nullptr, 0, &onFaults, this);
    ulfius_add_endpoint_by_val(m_instance.get(), "GET", "/test/stats", nullptr, 0, &onStats, this);
    if (ulfius_start_framework(m_instance.get()) != U_OK) {
        ulfius_clean_instance(m_instance.get());
        m_instance.reset();
        return false;
    }
    return true;
}

void log_server::stop()
{
    if (!m_instance) {
        return;
    }
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_appended.notify_all();
    ulfius_stop_framework(m_instance.get());
    ulfius_clean_instance(m_instance.get());
    m_instance.reset();
}

void log_server::tick(time_point now)
{
    time_point from;
    time_point until;
    {
        const std::lock_guard guard(m_mutex);
        from = m_refuseFrom;
        until = m_refuseUntil;
    }
    const bool isRefusing = from <= now && now < until;
    if (isRefusing && m_instance) {
        stop();
    } else if (!isRefusing && !m_instance) {
        start();
    }
}

log_faults log_server::faults() const
{
    const std::lock_guard guard(m_mutex);
    return m_faults;
}

bool log_server::delayAndCheckUp(_u_response *response)
{
    std::unique_lock guard(m_mutex);
    m_appended.wait_for(guard, milliseconds(m_faults.delayMs), [this] {
        return m_isStopping;
    });
    if (m_faults.isOutage || m_isStopping) {
        respondError(response, statusDown, "outage");
        return false;
    }
    if (m_faults.sendsGarbage) {
        respond(response, statusOk, "<html>");
        return false;
    }
    return true;
}

bool log_server::checkAppend(const _u_request *request, _u_response *response)
{
    const log_faults current = faults();
    if (request->binary_body_length > maxBodyBytes) {
        respondError(response, statusTooLarge, "record too large");
    } else if (current.rejectsAppends) {
        respondError(response, statusForbidden, "append rejected");
    } else if (current.isReadOnly) {
        respondError(response, statusDown, "read only");
    } else {
        const std::lock_guard guard(m_mutex);
        if (m_rate.isAllowed(m_faults.appendsPerSecond, steadyNow())) {
            return true;
        }
        respondError(response, statusTooMany, "rate limit");
    }
    return false;
}

int log_server::append(const _u_request *request, _u_response *response)
{
    if (!delayAndCheckUp(response) || !checkAppend(request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    const auto *body = static_cast<const char *>(request->binary_body);
    std::uint64_t offset = 0;
    bool isLost = false;
    {
        const std::lock_guard guard(m_mutex);
        std::string data = body == nullptr ? std::string() : std::string(body, request->binary_body_length);
        offset = m_store.append(streamOf(request), std::move(data), unixNowMs());
        isLost = m_faults.loseResponses != 0;
        m_faults.loseResponses -= m_faults.loseResponses > 0 ? 1 : 0;
    }
    m_appended.notify_all();
    if (isLost) {
        dropConnection(request);
        return U_CALLBACK_COMPLETE;
    }
    return respond(response, statusOk, "{\"offset\": " + std::to_string(offset) + "}");
}

stored_range log_server::waitAndRead(const _u_request *request)
{
    constexpr std::int64_t maxRecords = 1000;
    constexpr std::int64_t maxWaitMs = 60'000;
    const std::string stream = streamOf(request);
    const std::int64_t from = numberParameter(request, "from", 1);
    const auto max = std::clamp<std::int64_t>(numberParameter(request, "max", maxRecords), 1, maxRecords);
    const milliseconds wait(std::clamp<std::int64_t>(numberParameter(request, "wait_ms", 0), 0, maxWaitMs));
    std::unique_lock guard(m_mutex);
    m_appended.wait_for(guard, wait, [&] {
        return m_isStopping || m_faults.isOutage || from < static_cast<std::int64_t>(m_store.next(stream));
    });
    const auto wanted = from < 0 ? std::nullopt : std::optional(static_cast<std::uint64_t>(from));
    return m_store.read(stream, wanted, static_cast<std::size_t>(max), unixNowMs());
}

int log_server::read(const _u_request *request, _u_response *response)
{
    if (!delayAndCheckUp(response)) {
        return U_CALLBACK_COMPLETE;
    }
    std::string body = encodeRange(waitAndRead(request));
    const log_faults current = faults();
    if (current.isOutage) {
        return respondError(response, statusDown, "outage");
    }
    if (current.truncatesResponses) {
        body.resize(body.size() / 2);
    }
    return respond(response, statusOk, body);
}

int log_server::setFaults(const _u_request *request, _u_response *response)
{
    constexpr milliseconds beforeRefusal(50); // leaves time for the response to this request
    const auto *body = static_cast<const char *>(request->binary_body);
    {
        const std::lock_guard guard(m_mutex);
        const auto wanted =
            applyFaults(m_faults, body == nullptr ? "" : std::string_view(body, request->binary_body_length));
        if (!wanted) {
            return respondError(response, statusBadRequest, "not a JSON object of known faults");
        }
        m_faults = *wanted;
        if (m_faults.refuseMs > 0) {
            m_refuseFrom = steadyNow() + beforeRefusal;
            m_refuseUntil = m_refuseFrom + milliseconds(m_faults.refuseMs);
            m_faults.refuseMs = 0;
        }
    }
    m_appended.notify_all();
    return respond(response, statusOk, "{}");
}

void log_server::writeStats(_u_response *response)
{
    const json_holder root(json_object());
    const std::lock_guard guard(m_mutex);
    for (const auto &[stream, counts] : m_store.stats()) {
        json_object_set_new(root.get(),
                            stream.c_str(),
                            json_pack("{s:I, s:I, s:I}",
                                      "appends",
                                      static_cast<json_int_t>(counts.appends),
                                      "reads",
                                      static_cast<json_int_t>(counts.reads),
                                      "bytes",
                                      static_cast<json_int_t>(counts.bytes)));
    }
    respond(response, statusOk, toText(root.get()));
}

int log_server::onAppend(const _u_request *request, _u_response *response, void *self)
{
    return static_cast<log_server *>(self)->append(request, response);
}

int log_server::onRead(const _u_request *request, _u_response *response, void *self)
{
    return static_cast<log_server *>(self)->read(request, response);
}

int log_server::onFaults(const _u_request *request, _u_response *response, void *self)
{
    return static_cast<log_server *>(self)->setFaults(request, response);
}

int log_server::onStats(const _u_request *, _u_response *response, void *self)
{
    static_cast<log_server *>(self)->writeStats(response);
    return U_CALLBACK_COMPLETE;
}

} // namespace pistachioquay
