// Readiness of the upstream of this node: polls its `GET /health`, only to find out whether it responds completely. The
// node measures load and speed of the upstream itself, because what upstreams report about them is late or misleading.
//
//   worker_health health(upstreamAddress, [&] { announce(); });
//   std::jthread thread([&](const std::stop_token &stop) { health.run(stop); });
#pragma once

#include <atomic>
#include <functional>
#include <stop_token>

#include "base/clock.h"
#include "base/endpoint.h"

namespace pistachioquay {

// Readiness of the upstream, and the failed polls that count against it.
struct readiness
{
    bool isReady = false;
    unsigned failures = 0; // failed polls in a row

    friend auto operator<=>(const readiness &, const readiness &) = default;
};

// Failed polls in a row after which the worker is not ready. Above 1, so that one lost poll does not make it unready.
inline constexpr unsigned failuresUntilUnready = 2;

// readinessAfterPoll returns the readiness after a further poll. Thread safe.
readiness readinessAfterPoll(readiness current, bool hasSucceeded);

// isPortClosed returns whether nothing listens at the address. A dying process may close its connections some
// milliseconds before its listening socket, so a port that is still open is checked again until `until`. Thread safe.
bool isPortClosed(const endpoint &address, time_point until);

class worker_health
{
public:
    // `onChange` is called from the polling thread whenever the readiness changes.
    worker_health(endpoint upstream, std::function<void()> onChange);

    // run polls until stop is requested. Called once.
    void run(const std::stop_token &stop);

    // isReady returns whether the worker is ready for requests. Thread safe.
    bool isReady() const;

private:
    endpoint m_upstream;
    std::function<void()> m_onChange;
    std::atomic<bool> m_isReady = false;
};

} // namespace pistachioquay
