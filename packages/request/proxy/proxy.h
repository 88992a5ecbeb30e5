// HTTP proxy of a node. The outbound handler takes requests on the caller port and forwards them to the node of a
// worker; the inbound handler takes requests of other nodes on the peer port and forwards them to this node's worker.
//
//   proxy_sources sources;
//   sources.config = [&] { return currentConfig.load(); };
//   sources.workers = [&] { return currentWorkers.load(); };
//   sources.isAccepting = [&] { return memberState.isReady(); };
//   proxy requests(options, std::move(sources));
//   BOOST_LEAF_CHECK(requests.start());
//   ...
//   requests.drain(seconds(30));
//   requests.stop();
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

// Addresses and limits of one node.
struct proxy_options
{
    endpoint callerAddress; // port 0: the kernel chooses
    endpoint peerAddress;
    endpoint upstream; // the worker of this node
    std::string service; // that the worker of this node belongs to
    std::string dataCentre;
    std::string nodeId;
    std::uint32_t slots = 1; // requests that the worker of this node runs at once
    std::uint32_t maxConnections = 256; // per port, and per target of outbound calls
};

// Functions that claim the `Idempotency-Key` of a request on a non-idempotent route before the request runs; their
// contracts are in request/once/once.h. `claim` blocks until the request may run, must not run, or its deadline passes.
struct claim_sources
{
    std::function<claim_decision(const hash128 &key, time_point deadline)> claim;
    std::function<bool(const hash128 &claim)> startRun;
    std::function<void(const hash128 &claim)> endRun;
    std::function<key_outcome(const hash128 &claim)> abandonRun;
    std::function<key_outcome(const hash128 &claim)> abandonUnsentRun;
};

// Functions through which the proxy reads the state of the node and reports to it. Each may be called by several
// threads at once.
struct proxy_sources
{
    std::function<std::shared_ptr<const compiled_config>()> config; // null: no configuration applied yet
    std::function<std::shared_ptr<const worker_view>()> workers; // null: no workers known yet
    std::function<bool()> isAccepting; // false: the peer port refuses new requests
    std::optional<claim_sources> claims; // empty: keyed requests run without a claim
    // Optional, to detect requests that crash the worker. `isWorkerPortClosed` returns whether the worker's port is
    // closed; `broadcastReports` sends crash reports to the other nodes of the service and returns when they have them,
    // at most `maxHoldBack` later.
    std::function<bool()> isWorkerPortClosed;
    std::function<void(const std::vector<crash_report> &)> broadcastReports;
    std::function<void(const request_sample &)> observe; // optional; receives each finished request of the caller port
};

// Counters since the start, and the current load.
struct proxy_status
{
    std::uint32_t running = 0; // requests that hold a slot of this node's worker
    std::uint32_t waiting = 0; // lookup and interactive requests that wait for a slot
    std::uint64_t requests = 0; // on the caller port
    std::uint64_t inboundRequests = 0; // on the peer port
    std::array<std::uint64_t, 6> responses{}; // on the caller port, by first digit of the status
    std::uint64_t retries = 0;
    std::map<std::string, std::uint64_t> refusals; // both ports, by error kind
    std::uint64_t cancelled = 0; // the caller closed its connection before the response was complete
    std::uint64_t truncated = 0; // responses that ended before their announced end

    friend bool operator==(const proxy_status &, const proxy_status &) = default;
};

// Alternative designs, for comparison measurements (see docs/decisions/connection-and-thread-model.md). Nodes use the
// defaults.
struct proxy_tuning
{
    bool keepsConnections = true; // false: a new connection for each outbound call
    bool usesEventLoop = false; // true: one thread for all connections of a port
};

// A proxy starts idle and serves from `start` to `stop`; destruction stops it.
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

    // drain refuses new requests with `not-run` and returns when no request is in flight or `timeout` has passed. Calls
    // made by a request that runs on this node's worker are still served. Thread safe.
    void drain(duration timeout);

    // stop aborts the requests that are still in flight and closes the ports. Not thread safe; idempotent.
    void stop();

    // mergeReports stores crash reports of other nodes. Thread safe.
    void mergeReports(std::span<const crash_report> reports);

    // status returns the counters and the current load. Thread safe.
    proxy_status status() const;

    // callerAddress and peerAddress return the listening addresses, with the port that the kernel chose for port 0.
    // Thread safe after `start`.
    endpoint callerAddress() const;
    endpoint peerAddress() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pistachioquay
