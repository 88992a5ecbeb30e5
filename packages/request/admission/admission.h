// Decides which requests a worker runs now, which wait and which are refused. One `admission_state` exists per worker;
// its owner guards it by a mutex and wakes the threads of the tickets that the functions name.
//
//   admission_result result = admit(state, {work_class::Interactive, deadline, "orders", bound}, now);
//   if (result.kind == admission_kind::Refused) return refuse(result.reason);   // true `not-run`
//   if (result.kind == admission_kind::Queued) waitFor(result.ticket);         // until an event names the ticket
//   ...
//   release(state, result.ticket, now, events);                                // then wake the tickets in `events`
//
// Slots: at most `slots` tickets are granted at once. Upload and background together hold at most a third of the slots
// (at least 1), and with more than one slot at least one is always kept for lookup and interactive.
// Order: lookup, interactive, upload, background. An upload that has waited for half of its time is served next when no
// upload runs, so that a long swing of interactive work does not stall uploads.
// Every ticket that is queued gets exactly one event (granted, or refused with a reason) unless it is cancelled.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/work_class.h"
#include "request/admission/limits.h"

namespace pistachioquay {

inline constexpr std::array<std::uint32_t, 4> queuePerSlot = {8, 8, 4, 2}; // queue length per slot, by class
inline constexpr std::uint32_t heavyShareDivisor = 3; // share of slots for upload and background
inline constexpr double estimateWeight = 0.1; // weight of a new service time in the running mean
inline constexpr double deviationsNeeded = 4.0; // time reserved for a run: mean + 4 mean deviations
inline constexpr seconds demandMemory{1}; // time constant of the short-work demand
inline constexpr milliseconds recheckInterval{100}; // while long work waits beside free slots for the demand to fall

// Why a request was not run.
enum class refusal_reason : std::uint8_t
{
    None,
    Draining, // the node leaves
    WorkerDown, // the worker does not respond, or the node was paused
    QueueFull,
    DeadlineTooClose, // it could not start and finish before its deadline
    DeadlinePassed, // its deadline passed while it waited
    Shed, // background work under pressure
    RateLimit,
    ConcurrencyLimit,
};

// refusalName returns the stable lower-case name of a reason, as used in responses. Thread safe.
std::string_view refusalName(refusal_reason reason);

// What a request asks for.
struct admission_request
{
    work_class workClass = work_class::Interactive;
    time_point deadline;
    std::string_view limitName; // empty: no limit
    limit_bound bound;
};

enum class admission_kind : std::uint8_t
{
    Granted,
    Queued,
    Refused,
};

// The response to a request. `ticket` is 0 if refused.
struct admission_result
{
    admission_kind kind = admission_kind::Refused;
    std::uint64_t ticket = 0;
    refusal_reason reason = refusal_reason::None;

    friend auto operator<=>(const admission_result &, const admission_result &) = default;
};

// What became of a queued ticket: granted if `reason` is None, otherwise refused without having run.
struct admission_event
{
    std::uint64_t ticket = 0;
    refusal_reason reason = refusal_reason::None;

    friend auto operator<=>(const admission_event &, const admission_event &) = default;
};

using admission_events = std::vector<admission_event>;

// Whether the worker takes requests.
enum class serving_mode : std::uint8_t
{
    Serving,
    Draining,
    WorkerDown,
};

namespace internal {

struct queued_ticket
{
    std::uint64_t ticket = 0;
    time_point queuedAt;
    time_point deadline;
    std::uint32_t limitIndex = 0;
};

struct running_ticket
{
    std::uint64_t ticket = 0;
    time_point startedAt;
    work_class workClass = work_class::Interactive;
    std::uint32_t limitIndex = 0;
};

struct service_time
{
    double meanMs = 0; // 0: not known
    double deviationMs = 0;
};

} // namespace internal

struct admission_state
{
    std::uint32_t slots = 1;
    serving_mode mode = serving_mode::Serving;
    std::array<std::vector<internal::queued_ticket>, 4> queues; // first come first
    std::vector<internal::running_ticket> running;
    std::array<std::uint32_t, 4> runningByClass{};
    std::array<internal::service_time, 4> serviceTime;
    double shortDemand = 0; // running mean of lookup and interactive requests that run or wait
    time_point demandAt;
    std::uint64_t lastTicket = 0;
    limit_state limits;
};

// makeAdmission returns the state of an idle worker with `slots` slots (0 counts as 1). `selfId` is the node id.
// Thread safe.
admission_state makeAdmission(std::uint32_t slots, std::string_view selfId, time_point now);

// admit decides on a new request. Not thread safe. Tickets that were queued earlier are not touched; call `advance` at
// `nextWakeup`.
admission_result admit(admission_state &state, const admission_request &request, time_point now);

// release ends a granted ticket and appends the tickets that got a decision to `events`. Not thread safe. Unknown
// tickets are ignored. The time since the grant enters the service-time estimate of the class if `isSample` (the worker
// responded).
void release(admission_state &state, std::uint64_t ticket, bool isSample, time_point now, admission_events &events);

// cancel removes a queued or granted ticket whose caller has gone. Not thread safe. No event names it afterwards.
void cancel(admission_state &state, std::uint64_t ticket, time_point now, admission_events &events);

// advance removes queued tickets that can no longer be run in time, and grants free slots. Not thread safe.
void advance(admission_state &state, time_point now, admission_events &events);

// setMode changes whether requests are taken. Draining and WorkerDown refuse new requests and all queued ones; granted
// tickets keep their slots until they are released. Not thread safe.
void setMode(admission_state &state, serving_mode mode, time_point now, admission_events &events);

// nextWakeup returns when `advance` is due although nothing was released: a deadline, or soon if tickets wait beside
// free slots; empty if no ticket waits. Not thread safe.
std::optional<time_point> nextWakeup(const admission_state &state);

// waitingShortCount returns the number of queued lookup and interactive tickets, for `X-Pq-Waiting`. Not thread safe.
std::uint32_t waitingShortCount(const admission_state &state);

// waitingCount returns the number of all queued tickets, for status output. Not thread safe.
std::uint32_t waitingCount(const admission_state &state);

// runningCount returns the number of granted tickets, for `X-Pq-Running`. Not thread safe.
std::uint32_t runningCount(const admission_state &state);

// heavySlots returns how many slots upload and background may hold together at most. Thread safe.
std::uint32_t heavySlots(std::uint32_t slots);

} // namespace pistachioquay
