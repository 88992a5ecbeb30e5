#include "process/node/worker_health.h"

#include <thread>
#include <utility>

#include <glog/logging.h>
#include <ulfius.h>

#include "connection/wire/socket.h"
#include "process/node/pause.h"

namespace pistachioquay {

namespace {

constexpr milliseconds pollInterval{250};
constexpr long pollTimeoutSeconds = 1;
constexpr milliseconds portCheckInterval{5}; // between two checks of a port that is still open
constexpr long firstServerError = 500;

bool pollOnce(const std::string &url)
{
    _u_request request;
    _u_response response;
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    ulfius_set_request_properties(&request,
                                  U_OPT_HTTP_VERB,
                                  "GET",
                                  U_OPT_HTTP_URL,
                                  url.c_str(),
                                  U_OPT_TIMEOUT,
                                  pollTimeoutSeconds,
                                  U_OPT_NONE);
    const bool hasResponse = ulfius_send_http_request(&request, &response) == U_OK;
    const bool hasSucceeded = hasResponse && response.status < firstServerError;
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
    return hasSucceeded;
}

} // namespace

readiness readinessAfterPoll(readiness current, bool hasSucceeded)
{
    if (hasSucceeded) {
        return {.isReady = true, .failures = 0};
    }
    ++current.failures;
    current.isReady = current.isReady && current.failures < failuresUntilUnready;
    return current;
}

bool isPortClosed(const endpoint &address, time_point until)
{
    for (;;) {
        const auto connected = attempt([&] {
            return connectTcp(address, until);
        });
        if (!connected) {
            return connected.failure().kind == error_kind::Unavailable;
        }
        if (steadyNow() + portCheckInterval >= until) {
            return false;
        }
        std::this_thread::sleep_for(portCheckInterval);
    }
}

worker_health::worker_health(endpoint upstream, std::function<void()> onChange)
    : m_upstream(std::move(upstream))
    , m_onChange(std::move(onChange))
{
}

void worker_health::run(const std::stop_token &stop)
{
    const std::string url = "http://" + toText(m_upstream) + "/health";
    readiness current;
    while (!stop.stop_requested()) {
        const readiness next = readinessAfterPoll(current, pollOnce(url));
        if (next.isReady != current.isReady) {
            LOG(INFO) << "[worker] The upstream at " << toText(m_upstream)
                      << (next.isReady ? " is ready." : " does not respond.");
            m_isReady = next.isReady;
            m_onChange();
        }
        current = next;
        pauseFor(pollInterval, stop);
    }
}

bool worker_health::isReady() const
{
    return m_isReady;
}

} // namespace pistachioquay
