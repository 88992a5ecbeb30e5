// A node of the mesh on one event loop. It accepts requests from the callers on its VM, selects a worker for each, and
// runs the requests that other nodes send to its own worker.
//
//   mesh_node node(executor, options, platform);
//   const auto started = attempt([&] { return node.start(); });
//   const notice_response response = co_await node.onWorkerNotice(notice); // from the worker on the node's VM
//   node.shutDown([&] { loop.stop(); });
//
// The platform is accessed through the functions of `mesh_platform` and the header names of `mesh_headers`, so that
// this library does not depend on the platform's protocol.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "connection/loop/http_server.h"
#include "process/rollout/rollout.h"
#include "process/store_reading/store_era.h"
#include "process/worker_life/worker_life.h"
#include "request/allowance/desk.h"
#include "request/placement/placement.h"
#include "request/resend/resend.h"
#include "version/routes/routes.h"

namespace pistachioquay {

// Names of the HTTP headers that callers and workers use.
struct mesh_headers
{
    std::string requestId; // sent by callers, echoed by workers
    std::string timeLeftMs; // time until the sender gives up
    std::string expectedWorker; // id of the only worker that may run the request
    std::string callerService; // service on the VM where the request entered the mesh
    std::string notRun; // set by a worker that has not run the request
    std::string load; // a worker's running and waiting requests, slots, and slowdown in percent
    std::string signature; // proves that a response comes from a worker
    std::string authorization; // sent by callers: the scheme and the key of a client account
    std::string authorizationScheme;
    std::string account; // name of the client account on whose behalf a request runs, for the worker
};

// Settings of a node.
struct mesh_options
{
    std::string nodeId;
    std::string dataCentre;
    std::string service; // of the node's own worker
    endpoint worker; // address of the own worker
    endpoint callers; // listens for requests of the VM's callers and of the worker
    endpoint peers; // listens for links of other nodes
    endpoint gossip; // receives datagrams of other nodes
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    std::size_t maxFileDescriptors = 4096;
    double linkBytesPerMs = 0; // bandwidth of the VM's network link; 0: not known
    milliseconds noticeInterval{1500}; // time between two heartbeat notices of the worker
    milliseconds drainTime{2000}; // after a worker announces that it leaves, until it must get no more work
    milliseconds gracePeriod{6000}; // from the stop signal until the process is killed
    milliseconds configApplyLimit{2000}; // within which a published version must be applied
    // Within which a key that was taken away must be dead, at nodes without news too; empty: no proof is needed.
    std::optional<milliseconds> revocationLimit;
    double trafficCostPerKb = defaultTrafficCostPerKb; // of traffic between data centres, see `placement_state`
    bool learnsCapacity = true; // of the worker; otherwise as many requests run as it reports slots
    std::optional<rollout_limits> rollouts; // empty: no roll-outs, and versions of workers have no effect
    retry_budget_limits resends; // `nodes` is set from the number of known nodes
    allowance_rules allowances; // bound on the requests of a client account
    mesh_headers headers;
};

// Result of one read of the configuration from the platform.
struct config_read
{
    bool isReached = false; // the platform answered
    bool hasNewConfig = false; // the platform has a configuration after the position
    bool isComplete = false; // covers all configurations that were written before the read was sent
    std::string bytes; // text of the configuration, as the operator wrote it
    store_position position; // where the next read continues
    std::vector<rollout_order> rolloutOrders; // orders read with it, oldest first
};

// The recorded state of a service's roll-out, which the operator reads too.
struct rollout_status
{
    std::string service;
    std::string targetVersion;
    rollout_phase phase = rollout_phase::Trial; // Trial stands for running; RolledBack and Completed for the ends

    friend auto operator<=>(const rollout_status &, const rollout_status &) = default;
};

// Result of one read of the recorded state.
struct rollout_status_read
{
    std::optional<rollout_status> status; // empty: none is recorded
    store_position position; // of the next record; a write succeeds only if nothing was recorded since
};

// Result of one read of the directory of nodes.
struct node_records_read
{
    std::uint64_t era = 0; // of the store
    std::vector<std::string> values; // entries that nodes have published
};

// The platform functions that a node needs. All are called on the loop. The results of calls to the store name its era,
// see `store_eras`.
struct mesh_platform
{
    // Reads the newest configuration after `position`; waits up to `wait` for one. Without a position, or with one of
    // another era, returns the newest one at once.
    std::function<awaitable<config_read>(std::optional<store_position> position, milliseconds wait)> readConfig;
    // Decodes the text of a configuration. Fails with Corrupt.
    std::function<result<route_table>(std::string_view bytes)> decodeConfig;
    // Publishes an entry of the directory of nodes under a key: the address record by which starting nodes find this
    // one, or a departure of its worker. An empty value removes the entry. Returns the era of the store that has
    // confirmed it; empty optional: the platform was not reached.
    std::function<awaitable<std::optional<std::uint64_t>>(std::string key, std::string value)> publishNodeRecord;
    // Reads the entries that nodes have published; empty optional: the platform was not reached.
    std::function<awaitable<std::optional<node_records_read>>()> readNodeRecords;
    // Reads the recorded state of a service's roll-out; empty optional: the platform was not reached.
    std::function<awaitable<std::optional<rollout_status_read>>(std::string service)> readRolloutStatus;
    // Records the state of a roll-out if nothing was recorded after `position`. Returns the era of the store that has
    // confirmed it. Empty optional: something was recorded, or the response was lost and the state may have been
    // recorded even so.
    std::function<awaitable<std::optional<std::uint64_t>>(rollout_status status, store_position position)>
        writeRolloutStatus;
    // Writes a log line.
    std::function<void(const class log_line &)> log;
};

// The response to a notice of the worker.
struct notice_response
{
    bool isAcknowledged = false; // false: the worker has to repeat it
    bool isUnconfirmed = false; // name a reply address to the worker, see `worker_notice::isAtReplyAddress`

    friend bool operator==(const notice_response &, const notice_response &) = default;
};

// Not thread safe: belongs to one loop.
class mesh_node
{
public:
    mesh_node(const net::any_io_executor &executor, mesh_options options, mesh_platform platform);
    ~mesh_node();
    mesh_node(const mesh_node &) = delete;
    mesh_node &operator=(const mesh_node &) = delete;

    // start opens the ports and joins the mesh. Fails with Unavailable if an address is in use.
    result<void> start();
    // onWorkerNotice applies a heartbeat or a leave notice of the worker.
    awaitable<notice_response> onWorkerNotice(worker_notice notice);
    // isReady returns whether callers on this VM may send requests: a configuration is applied and no shutdown has
    // begun.
    bool isReady() const;
    // shutDown removes the node from the mesh, waits for its open requests within the grace period, and calls `done`.
    void shutDown(std::function<void()> done);
    // metricsText returns the counters and histograms in the Prometheus text format.
    std::string metricsText() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace pistachioquay
