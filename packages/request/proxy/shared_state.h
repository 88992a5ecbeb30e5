// What both handlers of a node share. Private to the proxy.
#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "connection/http/client.h"
#include "connection/http/server.h"
#include "request/proxy/crash_guard.h"
#include "request/proxy/dispatch.h"
#include "request/proxy/node_headers.h"
#include "request/proxy/proxy.h"
#include "request/proxy/slot_queue.h"
#include "request/retry/deadline.h"

namespace pistachioquay::internal {

// Counters that many threads raise.
struct counters
{
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> inboundRequests = 0;
    std::array<std::atomic<std::uint64_t>, 6> responses{};
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> cancelled = 0;
    std::atomic<std::uint64_t> truncated = 0;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> refusals; // guarded by `mutex`
};

// Counts requests from their head to their end, so that a drain can wait for them.
class flight_count
{
public:
    void begin();
    void end();
    // waitForNone returns when no request is in flight or `until` has passed; true in the first case.
    bool waitForNone(time_point until);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_count = 0;
};

struct core
{
    core(proxy_options given, proxy_sources from, proxy_tuning tuning);

    proxy_options options;
    proxy_sources sources;
    client_pool pool;
    slot_queue slots;
    crash_guard crashes;
    call_dispatch dispatch;
    counters counts;
    flight_count inFlight;
    std::atomic<bool> isDraining = false;

    // refuse counts a refusal and makes its response.
    http_response refuse(unsigned status,
                         node_outcome outcome,
                         const std::string &kind,
                         std::string_view message,
                         std::string_view remedy);
};

// makeExchange makes the steps of a request of type `Request`, which lives until the last step has ended. Thread safe.
template<class Request>
exchange makeExchange(core &shared, const request_head &head, const caller_watch &watch)
{
    const auto request = std::make_shared<Request>(shared, head, watch);
    exchange steps;
    steps.onHead = [request] {
        return request->onHead();
    };
    steps.onBody = [request](std::string_view piece) {
        return request->onBody(piece);
    };
    steps.onEnd = [request] {
        return request->onEnd();
    };
    steps.onDone = [request](bool isComplete) {
        request->onDone(isComplete);
    };
    return steps;
}

// outboundExchange makes the steps of a request on the caller port. `watch` lives until `onDone` returns. Thread safe.
exchange outboundExchange(core &shared, const request_head &head, const caller_watch &watch);

// inboundExchange makes the steps of a request on the peer port. `watch` lives until `onDone` returns. Thread safe.
exchange inboundExchange(core &shared, const request_head &head, const caller_watch &watch);

} // namespace pistachioquay::internal
