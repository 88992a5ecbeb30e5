// State that the outbound and the inbound handler of a node share. Private to the proxy.
//
//   shared_state shared(options, sources, {});
//   http_server server(serverOptions, [&](const request_head &head, const caller_watch &watch) {
//       return outboundExchange(shared, head, watch);
//   });
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

// Counters since the start, incremented by the connection threads.
struct counters
{
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> inboundRequests = 0;
    std::array<std::atomic<std::uint64_t>, 6> responses{}; // by first digit of the status
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> cancelled = 0;
    std::atomic<std::uint64_t> truncated = 0;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> refusals; // by error kind; guarded by `mutex`
};

// Counts the requests in flight, from the arrival of the head to the end of the response, so that a drain can wait for
// them. All functions are thread safe.
class in_flight_counter
{
public:
    void begin();
    void end();
    // waitUntilEmpty blocks until no request is in flight or `until` has passed; true in the first case.
    bool waitUntilEmpty(time_point until);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_count = 0;
};

// Configuration sources, connection pool, admission, crash tracking, routing and counters of one node.
struct shared_state
{
    shared_state(proxy_options givenOptions, proxy_sources givenSources, proxy_tuning tuning);

    proxy_options options;
    proxy_sources sources;
    client_pool pool;
    slot_queue slots;
    crash_guard crashes;
    call_dispatch dispatch;
    counters counts;
    in_flight_counter inFlight;
    std::atomic<bool> isDraining = false;

    // refuse counts a refusal by its kind and returns the error response for it. Thread safe.
    http_response refuse(unsigned status,
                         node_outcome outcome,
                         const std::string &kind,
                         std::string_view message,
                         std::string_view remedy);
};

// makeExchange returns steps that forward to a `Request` object, which lives as long as the steps. Thread safe.
template<class Request>
exchange makeExchange(shared_state &shared, const request_head &head, const caller_watch &watch)
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

// outboundExchange returns the steps of a request on the caller port. `watch` lives until `onDone` returns. Thread
// safe.
exchange outboundExchange(shared_state &shared, const request_head &head, const caller_watch &watch);

// inboundExchange returns the steps of a request on the peer port. `watch` lives until `onDone` returns. Thread safe.
exchange inboundExchange(shared_state &shared, const request_head &head, const caller_watch &watch);

} // namespace pistachioquay::internal
