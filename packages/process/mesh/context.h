// State and metrics that the components of a node share. Private to the mesh library.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log_line.h"
#include "base/milliseconds.h"
#include "base/random.h"
#include "connection/loop/duty.h"
#include "connection/pacing/link_pacer.h"
#include "process/fleet/fleet.h"
#include "process/freshness/freshness.h"
#include "process/mesh/mesh.h"
#include "process/mesh/messages.h"
#include "process/rollout/rollout.h"
#include "process/stopping/stopping.h"
#include "process/store_reading/store_era.h"
#include "request/link_room/link_booking.h"
#include "request/link_room/link_room.h"
#include "request/placement/placement.h"
#include "request/quarantine/crash_tracker.h"
#include "request/resend/resend.h"

namespace pistachioquay::internal {

// A histogram of latencies with fixed buckets.
struct latency_histogram
{
    static constexpr std::array<double, 12> boundsMs = {1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};
    std::array<std::uint64_t, boundsMs.size() + 1> counts{};
    double sumMs = 0;

    void observe(double milliseconds);
};

// Estimates the utilization of the VM's network link from exponentially decaying byte rates; each direction is counted
// for about the last half second.
class link_meter
{
public:
    void recordBytes(std::size_t bytesIn, std::size_t bytesOut, time_point now);
    // load returns the used share of a link with the given rate, in its busier direction; 0 if the rate is not known.
    double load(double bytesPerMs, time_point now) const;

private:
    double m_inBytesPerMs = 0;
    double m_outBytesPerMs = 0;
    time_point m_updatedAt;
};

// Counters and histograms by metric name.
struct mesh_metrics
{
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, latency_histogram> latencies;

    void count(const std::string &name)
    {
        ++counters[name];
    }
    void observe(const std::string &name, double milliseconds)
    {
        latencies[name].observe(milliseconds);
    }
};

// The configuration that the node applies, and when it was applied.
struct active_config
{
    std::shared_ptr<const route_table> table = std::make_shared<route_table>();
    time_point appliedAt;
};

// What the node counts about its own worker while a roll-out of its service runs.
struct rollout_counting
{
    bool isActive = false; // the outcomes of runs are counted
    std::string workerVersion; // of the worker that the evidence is about
    worker_evidence evidence;
    std::map<std::string, double> typicalRunMs; // by route, at the workers of the other versions
};

// countRun counts the outcome of a run at the own worker while counting is active, and countCancelledRun that of a run
// that was cancelled: one that was cancelled early says nothing about the worker.
void countRun(rollout_counting &counting, const std::string &route, bool isFailure, double tookMs);
void countCancelledRun(rollout_counting &counting, const std::string &route, double tookMs);

// State of one node that its components read and change. Not thread safe: belongs to one loop.
struct mesh_context
{
    net::any_io_executor executor;
    mesh_options options;
    mesh_platform platform;
    std::uint64_t processId = 0; // random; tells apart the processes that ran under the node id
    random_generator generator;
    fleet_state fleet;
    placement_state placement;
    std::unordered_map<std::string, time_point> workersRefreshedAt; // by service
    service_retry_budgets retryBudgets;
    active_config config;
    freshness_state freshness; // of `config`
    store_eras storeEras;
    std::vector<std::function<void()>> onStoreReturn; // called when the store has come back from a copy
    std::size_t directoryNodes = 0; // nodes in the last directory that was read; 0: none was read yet
    bool isDirectoryComplete = false; // the directory counts although it names no node that was heard
    worker_liveness worker;
    crash_tracker crashes; // of the own worker, and crash reports of all nodes
    std::function<void(const crash_report &)> announceCrash; // sends a report to all nodes
    rollout_state rollouts;
    rollout_counting counting;
    link_meter linkMeter;
    link_reservations linkReservations; // bandwidth of the own link that large bodies have reserved
    body_memory bodyMemory; // for large bodies that other nodes send
    link_pacer pacer; // of the own link
    link_bookings linkBookings; // capacity of the own link for responses of the own worker
    mesh_metrics metrics;
    bool isStopping = false; // the shutdown has begun
    stop_times stop; // valid if `isStopping`
    bool isInboundClosed = false; // the own worker gets no new calls
    bool isStopped = false; // background tasks end

    void log(const log_line &line) const
    {
        platform.log(line);
    }
};

// linkState returns how much the own link has to send, and how fast.
link_state linkState(const mesh_context &context, time_point now);

// attemptOutcome returns what a reply says about the run of its request.
attempt_outcome attemptOutcome(const call_reply &reply);

// crashClockMs returns the time for `mesh_context::crashes`, by a clock that is never set.
std::int64_t crashClockMs(time_point now);

// crashFingerprint identifies a request for `mesh_context::crashes`.
fingerprint crashFingerprint(const whole_request &request, const std::string &callerService);

// failureReporter returns a function that logs and counts the failure of a duty of the node.
failure_reporter failureReporter(mesh_context &context);

// retryLimits returns the retry limits of all nodes together, with the number of nodes that are known.
retry_budget_limits retryLimits(const mesh_context &context);

// readerRank returns how many nodes of the data centre come before this one as the reader of the platform. VMs with the
// fastest links come first, because the other nodes of the data centre fetch the configuration from the reader.
std::size_t readerRank(const mesh_context &context, time_point now);

// isVersionRefused returns whether the own worker gets no calls because its version was taken back.
bool isVersionRefused(const mesh_context &context);

// refreshWorkers updates the placement of a service to the workers that are ready now, including the own one.
void refreshWorkers(mesh_context &context, const std::string &service, time_point now);

// refreshStaleWorkers does the same if the last refresh is too long ago. Changes of the fleet refresh the workers at
// once, but a node that becomes silent causes no event.
void refreshStaleWorkers(mesh_context &context, const std::string &service, time_point now);

} // namespace pistachioquay::internal
