// Chooses the worker of a service for each call from the load and latency that this node has observed. One
// `routing_state` exists per service; its owner guards it by a mutex. No function reads a clock. `beginCall` and
// `endCall` allocate only when a worker has more open calls than ever before.
//
//   updateWorkers(state, view->services.at("orders"), now);                     // whenever the view was replaced
//   call_choice call = beginCall(state, {work_class::Interactive, tried}, now, generator);
//   if (!call.target) return respondNotRun();
//   ...
//   endCall(state, call, {call_outcome::Completed, latency, load_report{running, waiting}}, now);
//
// Short requests are those of the classes lookup and interactive; heavy requests are those of upload and background.
//
// Choice: the better of two random workers by score (power of two choices), or of three while any worker is ejected. If
// it has no free slot, a local worker with a free slot is searched, then a worker in another data centre with spare
// slots (spillover), then the local worker with the best score, ejected ones included.
//
// Outlier detection: latencies are compared only within a class of work and relative to the median of the workers, so
// that a worker that happens to serve long uploads does not count as slow. A worker is ejected when 3 of its last 5
// calls of one class, including open calls that already exceed the threshold, took longer than `ejectFactor` times the
// median of the other workers plus `ejectMargin`. Probes, single calls to an ejected worker, decide when it is
// readmitted.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/work_class.h"
#include "request/routing/worker.h"

namespace pistachioquay {

inline constexpr std::size_t latencySamples = 5; // latest calls, per worker and class
inline constexpr std::size_t slowSamplesToEject = 3; // a majority, so that a few long requests do not eject
inline constexpr double ejectFactor = 3.0; // of the median of the other workers
inline constexpr double readmitFactor = 2.0; // a healthy probe takes at most this factor, plus `ejectMargin`
inline constexpr unsigned healthyProbesToReadmit = 2;
inline constexpr milliseconds ejectMargin{5}; // so that noise on sub-millisecond calls does not eject
inline constexpr milliseconds firstProbeDelay{1000};
inline constexpr milliseconds maxProbeInterval{4000}; // the interval doubles after each probe that is not healthy
inline constexpr milliseconds preferredProbeWait{500}; // time for which a probe waits for a lookup or background call
inline constexpr std::size_t ejectedShareDivisor = 3; // at most 1/3 of the local workers is ejected
inline constexpr seconds newWorkerWarmUp{10}; // the share of a worker that has just become ready rises for this long
inline constexpr double newWorkerInitialShare = 0.1; // relative to the share after warm-up
inline constexpr std::uint32_t heavySlotDivisor = 3; // heavy calls hold at most 1/3 of the slots of a worker
inline constexpr milliseconds reportHalfLife{200}; // decay of the last reported load from other nodes
inline constexpr seconds maxLatencyAge{10}; // samples older than this are ignored
inline constexpr milliseconds firstReconnectDelay{100}; // doubles after each failed connection in a row
inline constexpr milliseconds maxReconnectDelay{2000};
inline constexpr milliseconds refusalBackoff{50}; // after a refusal by the worker
inline constexpr milliseconds drainBackoff{3000}; // long enough for membership to announce the drain
inline constexpr std::size_t maxOpenCalls = 64; // per worker, with a recorded start time; further ones only count
inline constexpr std::uint32_t spillShareDivisor = 4; // a node uses at most 1/4 of the reported spare slots
inline constexpr milliseconds spillBackoff{500}; // after a refusal or failed connection in the other data centre

// How a call ended, as far as it concerns the worker.
enum class call_outcome : std::uint8_t
{
    Completed, // the worker responded; the latency is recorded
    Failed, // the worker responded with a server error; the latency is ignored, because errors can be fast
    Refused, // not run: queue full, shed or over a limit
    Draining, // not run: the node drains or its worker is down
    NoConnection, // nothing was sent
    NoValidResponse, // sent, but without a valid response: connection lost, response mismatched or outcome unknown
    Cancelled, // by the caller, or because another attempt of a hedged request won; does not concern the worker
};

// Load of a worker as its node reports it (`X-Pq-Running`, `X-Pq-Waiting`). `waiting` counts short requests only:
// queued uploads do not delay these, and would make a worker with free slots look full.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    friend auto operator<=>(const load_report &, const load_report &) = default;
};

// Properties of a call that the choice depends on.
struct call_request
{
    work_class workClass = work_class::Interactive;
    std::span<const std::string> tried; // ids of the nodes that earlier attempts of the request were sent to
};

// The worker that was chosen for a call. `target` is null if there is none to try.
struct call_choice
{
    std::shared_ptr<const worker> target;
    std::uint64_t call = 0; // id of the call within the `routing_state`
    std::size_t index = 0; // of the worker when it was chosen; a hint that is checked before use
    work_class workClass = work_class::Interactive;
    time_point startedAt;
    bool isProbe = false; // tests an ejected worker
    bool isSpill = false; // spillover to another data centre
};

// Result of a call. `latency` is measured from the last byte of the request to the head of the response, so that a
// caller that sends slowly does not make a worker look slow.
struct call_result
{
    call_outcome end = call_outcome::Completed;
    duration latency{};
    std::optional<load_report> load;
};

namespace internal {

struct latency_window
{
    std::array<float, latencySamples> ms{};
    std::uint8_t count = 0;
    std::uint8_t next = 0;
    time_point lastAt;
};

struct open_call
{
    std::uint64_t call = 0;
    time_point startedAt;
    work_class workClass = work_class::Interactive;
};

struct tracked_worker
{
    std::shared_ptr<const worker> info;
    std::array<latency_window, 4> latency;
    std::vector<open_call> open; // oldest first
    std::uint32_t outstanding = 0; // open calls of this node
    std::uint32_t outstandingHeavy = 0; // heavy calls among `outstanding`
    float otherNodesLoad = 0; // running and waiting calls of other nodes at `reportedAt`
    time_point reportedAt;
    time_point backoffUntil; // no calls before this time, after a refusal or a failed connection
    unsigned failedConnections = 0; // consecutive
    bool isEjected = false;
    bool isProbing = false; // a probe is open
    unsigned healthyProbes = 0; // consecutive
    milliseconds probeInterval{0};
    time_point nextProbeAt;
};

struct spill_target
{
    std::string dataCentre;
    std::uint32_t spareSlots = 0;
    std::uint32_t outstanding = 0; // open calls of this node to this data centre
    time_point backoffUntil;
};

} // namespace internal

// State that a node keeps about the workers of one service. It holds only workers of the current view.
struct routing_state
{
    std::vector<internal::tracked_worker> local;
    std::vector<internal::tracked_worker> remote;
    std::vector<internal::spill_target> spill;
    std::array<float, 4> medianMs{}; // median latency over the local workers, by class; 0: not known
    std::array<std::uint32_t, 4> samplesSinceMedian{}; // by class, since `medianMs` was computed
    std::size_t ejected = 0; // number of ejected local workers
    std::uint64_t lastCall = 0;
};

// updateWorkers applies a new view. The state of workers that remain is kept; that of workers that left or returned
// with another incarnation is dropped. Not thread safe.
void updateWorkers(routing_state &state, const service_workers &workers, time_point now);

// beginCall chooses a worker and counts the call as outstanding for it. The choice has no target if every worker was
// tried or the service has none. Each choice with a target needs exactly one `endCall`. Not thread safe.
call_choice beginCall(routing_state &state, const call_request &request, time_point now, random_generator &generator);

// endCall records the result of a call. Calls to workers that are no longer tracked are ignored. Not thread safe.
void endCall(routing_state &state, const call_choice &choice, const call_result &result, time_point now);

// isSaturated returns whether no local worker is expected to have a free slot; calls are then not hedged. Not thread
// safe.
bool isSaturated(const routing_state &state, time_point now);

// isWorkerEjected returns whether the local worker of node `nodeId` is ejected, for status output. Not thread safe.
bool isWorkerEjected(const routing_state &state, std::string_view nodeId);

} // namespace pistachioquay
