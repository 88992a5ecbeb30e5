// Readiness of the own upstream: polls its `GET /health`, only to learn whether it is there. How loaded or how fast it
// is comes from the node's own observations, because the endpoints of upstreams lag or mislead.
//
//   worker_health health(upstreamAddress, [&](bool isReady) { ... });
//   std::jthread thread([&](const std::stop_token &stop) { health.run(stop); });
#pragma once

#include <atomic>
#include <functional>
#include <stop_token>

#include "base/clock.h"
#include "base/endpoint.h"

namespace pistachioquay {

// Immutable state of the readiness decision.
struct readiness
{
    bool isReady = false;
    unsigned failures = 0; // failed polls in a row

    friend auto operator<=>(const readiness &, const readiness &) = default;
};

// Polls that have to fail in a row before a worker counts as not ready, so that one lost poll does not.
inline constexpr unsigned failuresUntilUnready = 2;

// withPoll returns the readiness after a poll. Thread safe.
readiness withPoll(readiness known, bool hasAnswered);

// isPortClosed tells whether nothing listens at the address. A process that dies may close its connections some
// milliseconds before its listening socket, so an open port is looked at again until `until`. Thread safe.
bool isPortClosed(const endpoint &address, time_point until);

class worker_health
{
public:
    worker_health(endpoint upstream, std::function<void()> onChange);

    // run polls until stop is requested. Called once.
    void run(const std::stop_token &stop);

    // isReady tells whether the worker takes requests. Thread safe.
    bool isReady() const;

private:
    endpoint m_upstream;
    std::function<void()> m_onChange;
    std::atomic<bool> m_isReady = false;
};

} // namespace pistachioquay
