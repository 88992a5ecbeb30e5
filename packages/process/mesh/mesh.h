// A node of the mesh on one event loop: it takes the requests of callers on its VM, chooses a worker for each, and runs
// those that other nodes send for its own worker.
//
//   mesh_node node(executor, options, platform);
//   const auto started = attempt([&] { return node.start(); });
//   node.onWorkerNotice(notice);                              // from the worker beside the node
//   node.shutDown([&] { loop.stop(); });
//
// What the platform offers is given as functions, so that this library knows none of its names.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "connection/loop/http_server.h"
#include "process/worker_life/worker_life.h"
#include "request/resend/resend.h"
#include "version/routes/routes.h"

namespace pistachioquay {

// Names of the headers that callers and workers use.
struct mesh_headers
{
    std::string requestId; // sent by callers, echoed by workers
    std::string timeLeftMs; // how long the sender waits
    std::string expectedWorker; // the only worker that may run the request
    std::string callerService; // service beside which the request began
    std::string notRun; // set by a worker that has not run the request
    std::string load; // running, waiting, slots and slowdown in percent of a worker
    std::string signature; // proves that a response is a worker's
};

struct mesh_options
{
    std::string nodeId;
    std::string dataCentre;
    std::string service; // of the worker beside the node
    endpoint worker;
    endpoint callers; // requests of the VM's callers and of the worker
    endpoint peers; // calls of other nodes
    endpoint gossip; // datagrams of other nodes
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    std::size_t maxFileDescriptors = 4096;
    double linkBytesPerMs = 0; // rate of the VM's link; 0: not known
    milliseconds noticeInterval{1500}; // between two notices of a worker
    milliseconds drainTime{2000}; // within which a leaving worker gets no more work
    milliseconds gracePeriod{6000}; // from the signal to stop until the process is killed
    milliseconds configApplyLimit{2000}; // within which a version is in force
    retry_budget_limits resends; // `nodes` is set from the fleet
    mesh_headers headers;
};

// A configuration as it was read from the platform.
struct config_read
{
    bool isReached = false; // the platform answered
    bool hasNewConfig = false; // there is a configuration newer than the position
    std::string bytes; // as the operator wrote it
    std::uint64_t position = 0; // to read on from
};

// What the mesh needs of the platform. All functions belong to the loop.
struct mesh_platform
{
    // Reads the newest configuration after `position`, or waits for it. Position 0 reads the newest one at once.
    std::function<awaitable<config_read>(std::uint64_t position, milliseconds wait)> readConfig;
    // Decodes what an operator wrote. Fails with Corrupt.
    std::function<result<route_table>(std::string_view bytes)> decodeConfig;
    // Publishes the address record of this node for nodes that start; empty removes it. False: not reached.
    std::function<awaitable<bool>(std::string key, std::string value)> publishNodeRecord;
    // Reads the records that nodes have published; empty optional: not reached.
    std::function<awaitable<std::optional<std::vector<std::string>>>()> readNodeRecords;
    // Takes a log line.
    std::function<void(const class log_line &)> log;
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
    // onWorkerNotice takes over what the worker says of itself.
    notice_verdict onWorkerNotice(const worker_notice &notice);
    // isReady tells whether callers of this VM may send requests.
    bool isReady() const;
    // shutDown takes the node out of the mesh, lets its requests end, and calls `done`.
    void shutDown(std::function<void()> done);
    // metricsText returns the counters and histograms in the Prometheus text format.
    std::string metricsText() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace pistachioquay
