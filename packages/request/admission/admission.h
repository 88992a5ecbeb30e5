// Decides which requests a worker runs now, which wait in a queue and which are refused. One `admission_state` exists
// per worker. Its owner guards it by a mutex and wakes the threads that wait for the tickets in the returned events.
//
//   admission_result result = admit(state, {work_class::Interactive, deadline, "orders", bound}, now);
//   if (result.kind == admission_kind::Refused) return respondNotRun(result.reason);
//   if (result.kind == admission_kind::Queued) waitForEvent(result.ticket);
//   ...
//   release(state, result.ticket, true, now, events);                           // then wake the tickets in `events`
//
// Short requests are those of the classes lookup and interactive; heavy requests are those of upload and background.
// Slots: at most `slots` tickets are granted at a time. Heavy requests hold at most a third of the slots, but may
// always hold one; with more than one slot, at least one is always left to short requests. Order: lookup, interactive,
// upload, background; first in, first out within a class. With at least three slots, an upload that has waited for half
// of the time to its deadline is served next if no upload runs, so that a long peak of interactive requests does not
// starve uploads. Every queued ticket gets exactly one event (granted, or refused with a reason) unless it is
// cancelled.
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

inline constexpr std::array<std::uint32_t, 4> maxQueuedPerSlot = {8, 8, 4, 2}; // by class; times the number of slots
inline constexpr std::uint32_t heavyShareDivisor = 3; // heavy requests hold at most 1/3 of the slots
inline constexpr double serviceTimeWeight = 0.1; // weight of a new sample in the moving averages of the service time
inline constexpr double reservedDeviations = 4.0; // time reserved for a run: mean + 4 mean absolute deviations
inline constexpr seconds demandTimeConstant{1}; // of the moving average of the demand for short requests
inline constexpr milliseconds heavyRecheckInterval{100}; // retry of queued heavy requests as the short demand decays

// Why a request was not run.
enum class refusal_reason : std::uint8_t
{
    None,
    Draining, // the node is shutting down
    WorkerDown, // the worker does not respond, or the process of the node was paused
    QueueFull,
    DeadlineTooClose, // on arrival, the expected wait and run did not fit before the deadline
    DeadlinePassed, // while it was queued, the time left fell below the time reserved for a run
    Shed, // background request, dropped in favour of short requests
    RateLimit,
    ConcurrencyLimit,
};

// refusalName returns the name of a reason, as sent in responses: stable and in lower case. Thread safe.
std::string_view refusalName(refusal_reason reason);

// Properties of a request that admission depends on.
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

// Decision on a new request. `ticket` is 0 if refused.
struct admission_result
{
    admission_kind kind = admission_kind::Refused;
    std::uint64_t ticket = 0;
    refusal_reason reason = refusal_reason::None;

    friend auto operator<=>(const admission_result &, const admission_result &) = default;
};

// Decision on a queued ticket: granted if `reason` is None, otherwise refused; a refused request has not run.
struct admission_event
{
    std::uint64_t ticket = 0;
    refusal_reason reason = refusal_reason::None;

    friend auto operator<=>(const admission_event &, const admission_event &) = default;
};

using admission_events = std::vector<admission_event>;

// Whether the worker accepts requests.
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

struct service_time_estimate
{
    double meanMs = 0; // 0: no sample yet
    double deviationMs = 0; // mean absolute deviation
};

} // namespace internal

struct admission_state
{
    std::uint32_t slots = 1;
    serving_mode mode = serving_mode::Serving;
    std::array<std::vector<internal::queued_ticket>, 4> queues; // by class, oldest first
    std::vector<internal::running_ticket> running;
    std::array<std::uint32_t, 4> runningByClass{};
    std::array<internal::service_time_estimate, 4> serviceTimes;
    double shortDemand = 0; // moving average of the number of short requests that run or wait
    time_point demandUpdatedAt;
    std::uint64_t lastTicket = 0;
    limit_state limits;
};

// makeAdmission returns the state of an idle worker with `slots` slots, at least 1. `selfId` is the id of its node.
// Thread safe.
admission_state makeAdmission(std::uint32_t slots, std::string_view selfId, time_point now);

// admit grants, queues or refuses a new request. It does not change queued tickets; call `advance` at `nextWakeup` for
// these. Not thread safe.
admission_result admit(admission_state &state, const admission_request &request, time_point now);

// release frees the slot of a granted ticket and appends the decisions on queued tickets to `events`. Unknown tickets
// are ignored. `isServiceTimeSample` is true if the worker responded; the time since the grant then updates the
// service-time estimate of the class. Not thread safe.
void release(
    admission_state &state, std::uint64_t ticket, bool isServiceTimeSample, time_point now, admission_events &events);

// cancel removes a queued or granted ticket whose caller has disconnected. No later event contains the ticket. Not
// thread safe.
void cancel(admission_state &state, std::uint64_t ticket, time_point now, admission_events &events);

// advance refuses queued tickets that cannot finish before their deadline, sheds background requests under load, and
// grants free slots. Not thread safe.
void advance(admission_state &state, time_point now, admission_events &events);

// setMode sets whether requests are accepted. Draining and WorkerDown refuse all queued and new requests; granted
// tickets keep their slots until they are released. Not thread safe.
void setMode(admission_state &state, serving_mode mode, time_point now, admission_events &events);

// nextWakeup returns when to call `advance` if no ticket is released before: when the first queued ticket becomes
// unservable, or within `heavyRecheckInterval` if tickets wait although slots are free. Empty if no ticket waits. Not
// thread safe.
std::optional<time_point> nextWakeup(const admission_state &state);

// waitingShortCount returns the number of queued tickets of short requests, for `X-Pq-Waiting`. Not thread safe.
std::uint32_t waitingShortCount(const admission_state &state);

// waitingCount returns the number of queued tickets of all classes, for status output. Not thread safe.
std::uint32_t waitingCount(const admission_state &state);

// runningCount returns the number of granted tickets, for `X-Pq-Running`. Not thread safe.
std::uint32_t runningCount(const admission_state &state);

// heavySlots returns how many of `slots` heavy requests may hold together. Thread safe.
std::uint32_t heavySlots(std::uint32_t slots);

} // namespace pistachioquay
