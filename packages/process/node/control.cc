#include "process/node/control.h"

#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <ulfius.h>

namespace pistachioquay {

namespace {

using body_source = std::function<std::string()>;

int respondJson(const _u_request * /*request*/, _u_response *response, void *source)
{
    const std::string body = (*static_cast<body_source *>(source))();
    u_map_put(response->map_header, "Content-Type", "application/json");
    ulfius_set_binary_body_response(response, MHD_HTTP_OK, body.data(), body.size());
    return U_CALLBACK_COMPLETE;
}

int respondNotFound(const _u_request * /*request*/, _u_response *response, void * /*source*/)
{
    constexpr std::string_view body =
        R"({"error":"not_found","message":"no such page","remedy":"use /v1/status or /v1/report"})";
    u_map_put(response->map_header, "Content-Type", "application/json");
    ulfius_set_binary_body_response(response, MHD_HTTP_NOT_FOUND, body.data(), body.size());
    return U_CALLBACK_COMPLETE;
}

sockaddr_in socketAddress(const endpoint &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

} // namespace

struct control_server::state
{
    endpoint address;
    control_sources sources;
    sockaddr_in native{};
    _u_instance instance{};
    bool isRunning = false;
};

control_server::control_server(endpoint address, control_sources sources)
    : m_state(std::make_unique<state>())
{
    m_state->address = std::move(address);
    m_state->sources = std::move(sources);
    m_state->native = socketAddress(m_state->address);
}

control_server::~control_server()
{
    stop();
}

result<void> control_server::start()
{
    constexpr std::size_t maxBodyBytes = 4096;
    if (ulfius_init_instance(&m_state->instance, m_state->address.port, &m_state->native, nullptr) != U_OK) {
        return fail(error_kind::Io, "cannot set up the control port", "check `listen.control`");
    }
    m_state->instance.max_post_body_size = maxBodyBytes;
    ulfius_add_endpoint_by_val(&m_state->instance, "GET", "/v1", "/status", 0, &respondJson, &m_state->sources.status);
    ulfius_add_endpoint_by_val(&m_state->instance, "GET", "/v1", "/report", 0, &respondJson, &m_state->sources.report);
    ulfius_set_default_endpoint(&m_state->instance, &respondNotFound, nullptr);
    if (ulfius_start_framework(&m_state->instance) != U_OK) {
        ulfius_clean_instance(&m_state->instance);
        return fail(error_kind::Unavailable,
                    "the control port " + toText(m_state->address) + " is in use or not an address of this VM",
                    "choose another `listen.control` or end the process that holds it");
    }
    m_state->isRunning = true;
    return {};
}

void control_server::stop()
{
    if (!m_state->isRunning) {
        return;
    }
    ulfius_stop_framework(&m_state->instance);
    ulfius_clean_instance(&m_state->instance);
    m_state->isRunning = false;
}

} // namespace pistachioquay
