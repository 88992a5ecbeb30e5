// Chooses a worker for a call from what this node has observed itself. One `routing_state` exists per service; its
// owner guards it by a mutex. No function reads a clock or allocates on the path of a call, apart from open calls
// beyond the largest count so far.
//
//   updateWorkers(state, view->services.at("orders"), now);                     // whenever the view was replaced
//   call_choice call = beginCall(state, {work_class::Interactive, tried}, now, generator);
//   if (!call.target) return refuseNotRun();
//   ...
//   endCall(state, call, {call_outcome::Completed, latency, load_report{running, waiting}}, now);
//
// Latencies are compared only within a class of work and relative to the class median of the workers, so a worker that
// happens to serve long uploads is not taken for slow. A worker is ejected when 3 of its last 5 calls of one class,
// counting open calls that are already overdue, took `ejectFactor` times the peers' median.
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

inline constexpr std::size_t latencySamples = 5; // per worker and class
inline constexpr std::size_t slowSamplesToEject = 3; // a minority of long requests does not eject
inline constexpr double ejectFactor = 3.0; // times the peers' median
inline constexpr double readmitFactor = 2.0; // a probe below this multiple of the median was healthy
inline constexpr unsigned goodProbesToReadmit = 2;
inline constexpr milliseconds ejectFloor{5}; // added to the threshold, so noise on sub-millisecond calls never ejects
inline constexpr milliseconds firstProbeAfter{1000};
inline constexpr milliseconds maxProbeInterval{4000};
inline constexpr milliseconds costlyProbeDelay{500}; // a probe waits this long for a lookup or background call
inline constexpr std::size_t ejectedShareDivisor = 3; // at most a third of the candidates is ejected
inline constexpr seconds rampUp{10};
inline constexpr double rampUpStart = 0.1; // share of a worker that has just become ready
inline constexpr std::uint32_t heavySlotDivisor = 3; // heavy calls hold at most this share of a worker's slots
inline constexpr milliseconds reportHalfLife{200}; // decay of load that other nodes put on a worker
inline constexpr seconds latencyMemory{10}; // samples older than this are ignored
inline constexpr milliseconds firstReconnectDelay{100};
inline constexpr milliseconds maxReconnectDelay{2000};
inline constexpr milliseconds refusalPause{50}; // a worker that refused is passed over for this long
inline constexpr milliseconds drainPause{3000}; // until membership has announced the drain
inline constexpr std::size_t maxOpenCalls = 64; // open calls with a known age, per worker
inline constexpr std::uint32_t spillShareDivisor = 4; // share of another data centre's spare slots for one node
inline constexpr milliseconds spillPause{500}; // no spill to a data centre for this long after a refusal there

// How a call ended for the worker.
enum class call_outcome : std::uint8_t
{
    Completed, // the worker responded; its latency counts
    Failed, // the worker responded with a server error; its latency does not count, because errors can be quick
    Refused, // not run: queue full, shed, limit
    Draining, // not run: the node leaves or its worker is down
    NoConnection,
    NoValidResponse, // the connection was lost after the request was sent
    Cancelled, // by the caller, or as the loser of a hedge
};

// Load of a worker as its node measured it (`X-Pq-Running`, `X-Pq-Waiting`). `waiting` counts lookup and interactive
// only: waiting uploads do not delay short work, and would make a worker with free slots look full.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    friend auto operator<=>(const load_report &, const load_report &) = default;
};

// What a call needs.
struct call_request
{
    work_class workClass = work_class::Interactive;
    std::span<const std::string> tried; // node ids that this request has tried
};

// A chosen worker. `target` is null if there is none to try.
struct call_choice
{
    std::shared_ptr<const worker> target;
    std::uint64_t call = 0;
    std::size_t index = 0; // position hint, checked before use
    work_class workClass = work_class::Interactive;
    time_point startedAt;
    bool isProbe = false; // single call to an ejected worker
    bool isSpill = false; // to another data centre
};

// What was seen of a call. `latency` runs from the last byte of the request to the head of the response, so that a
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
    std::shared_ptr<const worker> self;
    std::array<latency_window, 4> latency;
    std::vector<open_call> open; // oldest first
    std::uint32_t outstanding = 0;
    std::uint32_t outstandingHeavy = 0; // of these, uploads and background
    float othersLoad = 0; // calls of other nodes at `reportedAt`
    time_point reportedAt;
    time_point pausedUntil; // after a refusal or a failed connection
    unsigned failedConnections = 0; // in a row
    bool isEjected = false;
    bool isProbing = false; // a probe is open
    unsigned goodProbes = 0;
    milliseconds probeInterval{0};
    time_point nextProbeAt;
};

struct spill_target
{
    std::string dataCentre;
    std::uint32_t spareSlots = 0;
    std::uint32_t outstanding = 0; // calls of this node there
    time_point pausedUntil;
};

} // namespace internal

// What a node knows of the workers of one service. Its size is bounded by the view.
struct routing_state
{
    std::vector<internal::tracked_worker> local;
    std::vector<internal::tracked_worker> remote;
    std::vector<internal::spill_target> spill;
    std::array<float, 4> medianMs{}; // by class, 0: not known
    std::array<std::uint32_t, 4> medianAge{}; // samples since the median was computed
    std::size_t ejected = 0;
    std::uint64_t lastCall = 0;
};

// updateWorkers takes over a new view: keeps what is known of workers that stay, forgets those that left or came back
// with a higher incarnation. Not thread safe.
void updateWorkers(routing_state &state, const service_workers &workers, time_point now);

// beginCall chooses a worker and counts the call as outstanding there. Not thread safe. The choice has no target if
// every worker was tried already, or if the service has none. Each choice with a target ends with one `endCall`.
call_choice beginCall(routing_state &state, const call_request &request, time_point now, random_generator &generator);

// endCall records what was seen of a call; calls to workers that are forgotten are ignored. Not thread safe.
void endCall(routing_state &state, const call_choice &choice, const call_result &seen, time_point now);

// isSaturated tells whether no local worker is believed to have a spare slot (then do not hedge). Not thread safe.
bool isSaturated(const routing_state &state, time_point now);

// isSlow tells whether `nodeId` is ejected at present, for status output. Not thread safe.
bool isSlow(const routing_state &state, std::string_view nodeId);

} // namespace pistachioquay
