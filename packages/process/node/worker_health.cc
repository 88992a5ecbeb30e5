#include "process/node/worker_health.h"

#include <thread>
#include <utility>

#include <glog/logging.h>

#include "connection/http/client.h"
#include "connection/wire/socket.h"
#include "process/node/pause.h"

namespace pistachioquay {

namespace {

constexpr milliseconds pollInterval{250};
constexpr milliseconds pollTimeout{1000};
constexpr milliseconds portCheckInterval{5}; // between two checks of a port that is still open
constexpr unsigned firstServerError = 500;
constexpr std::size_t maxHealthBytes = 16UL * 1024 * 1024;

bool pollOnce(client_pool &pool, const endpoint &upstream)
{
    client_request request{.target = upstream, .deadline = steadyNow() + pollTimeout};
    request.head = {.method = "GET", .target = "/health", .headers = {{"Host", toText(upstream)}}};
    request.acceptsUndelimited = true;
    const caller_watch noWatch;
    http_call call(pool, std::move(request), noWatch);
    call.provideLast({});
    const response_head *const head = call.awaitHead();
    return head != nullptr && head->status < firstServerError && readBody(call, maxHealthBytes).has_value();
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
    client_pool pool({.keepsConnections = false});
    readiness current;
    while (!stop.stop_requested()) {
        const readiness next = readinessAfterPoll(current, pollOnce(pool, m_upstream));
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
