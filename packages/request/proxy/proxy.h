// Request path of a node: the outbound handler on the caller port and the inbound handler on the peer port.
//
//   proxy_sources sources;
//   sources.config = [&] { return configInForce.load(); };
//   sources.workers = [&] { return workersKnown.load(); };
//   sources.isAccepting = [&] { return memberState.isReady(); };
//   proxy path(options, std::move(sources));
//   BOOST_LEAF_CHECK(path.start());
//   ...
//   path.drain(seconds(30));
//   path.stop();
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "process/metrics/metrics.h"
#include "request/once/once.h"
#include "request/quarantine/quarantine.h"
#include "request/routing/worker.h"
#include "version/tree/compiled_config.h"

namespace pistachioquay {

// Addresses and sizes of one node.
struct proxy_options
{
    endpoint callerAddress; // port 0: the kernel chooses
    endpoint peerAddress;
    endpoint upstream; // the own worker
    std::string service; // of the own worker
    std::string dataCentre;
    std::string nodeId;
    std::uint32_t slots = 1;
    std::uint32_t maxConnections = 256; // for each port, and for each target of outbound calls
};

// How a request with an `Idempotency-Key` on a non-idempotent route is claimed before it runs; contracts as in
// request/once/once.h. `claim` blocks until the request may run, must not run, or its deadline passes.
struct claim_sources
{
    std::function<claim_decision(const hash128 &key, time_point deadline)> claim;
    std::function<bool(const hash128 &claim)> startRun;
    std::function<void(const hash128 &claim)> endRun;
    std::function<key_outcome(const hash128 &claim)> abandonRun;
    std::function<key_outcome(const hash128 &claim)> abandonUnsentRun;
};

// Where a request takes its view of the world from. All are called from many threads at once.
struct proxy_sources
{
    std::function<std::shared_ptr<const compiled_config>()> config; // null: nothing in force yet
    std::function<std::shared_ptr<const worker_view>()> workers; // null: none known
    std::function<bool()> isAccepting; // false: the peer port refuses new work
    std::optional<claim_sources> claims; // empty: keyed requests run without a claim
    // Optional, for requests that crash the worker. `isWorkerPortClosed` tells whether its port is closed;
    // `broadcastReports` returns when the other nodes of the service have the reports, at most `maxHoldBack` later.
    std::function<bool()> isWorkerPortClosed;
    std::function<void(const std::vector<crash_report> &)> broadcastReports;
    std::function<void(const request_sample &)> observe; // optional; gets each finished request of the caller port
};

// Counters since the start, and the present load.
struct proxy_status
{
    std::uint32_t running = 0; // requests that hold a slot of the own worker
    std::uint32_t waiting = 0; // requests that wait for a slot
    std::uint64_t requests = 0; // on the caller port
    std::uint64_t inboundRequests = 0; // on the peer port
    std::array<std::uint64_t, 6> responses{}; // on the caller port, by first digit of the status
    std::uint64_t retries = 0;
    std::map<std::string, std::uint64_t> refusals; // both ports, by error kind
    std::uint64_t cancelled = 0; // the caller closed its connection before the response was complete
    std::uint64_t truncated = 0; // responses cut on the way

    friend bool operator==(const proxy_status &, const proxy_status &) = default;
};

// Choices that exist to compare alternatives (see docs/decisions/connection-and-thread-model.md). Nodes use the
// defaults.
struct proxy_tuning
{
    bool keepsConnections = true; // false: a new connection for each outbound call
    bool usesEventLoop = false; // true: one thread for all connections of a port
};

class proxy
{
public:
    proxy(proxy_options options, proxy_sources sources, proxy_tuning tuning = {});
    proxy(proxy &&) noexcept;
    proxy &operator=(proxy &&) noexcept;
    proxy(const proxy &) = delete;
    proxy &operator=(const proxy &) = delete;
    ~proxy();

    // start opens both ports. Not thread safe. Fails with Unavailable if a port is in use.
    result<void> start();

    // drain refuses new work with `not-run` and returns when nothing is in flight or `timeout` is over. Calls of a
    // request that runs on the own worker are still served. Thread safe.
    void drain(duration timeout);

    // stop cuts what is still in flight and closes the ports. Not thread safe; can be repeated.
    void stop();

    // mergeReports takes over crash reports of other nodes. Thread safe.
    void mergeReports(std::span<const crash_report> reports);

    // status returns the counters. Thread safe.
    proxy_status status() const;

    // callerAddress and peerAddress return the addresses with the ports in use. Thread safe after `start`.
    endpoint callerAddress() const;
    endpoint peerAddress() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pistachioquay
