// Requests that wait at a node for a slot of its worker: who runs next, who is turned away and when to come back.
//
//   const enqueue_result verdict = offer(line, request, now, generator);
//   if (verdict.kind == enqueue_outcome::Refused) return refuse(verdict.reason, verdict.retryAfter);
//   ...
//   finish(line, ticket, now);
//   for (auto started = startNext(line, now); started; started = startNext(line, now)) wake(*started);
//   for (const refused_request &late : removeUnservable(line, now, generator)) refuse(late);
//
// Load pattern: demand swings above what the workers can do for seconds, and a response after its target earns little.
// So
// - a request that cannot meet its target is refused on arrival while others wait, and a waiting one as soon as that is
//   known: a slot spent on it would make the next one late as well, and its caller still has time to come back;
// - it is taken while hardly anything waits, since a late response is worth more than none;
// - among those that wait the more urgent route goes first, so that less urgent work never displaces it, and within a
//   route the earliest target;
// - a request with too little time to come back (`isFinalAttempt`), such as the call of a worker, is refused only when
// it
//   cannot end in time: its caller's worker holds a slot while it waits, and all of its work is lost if the call fails.
//
// All functions work on one line of one worker and are not thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "request/waiting/late_admission.h"

namespace pistachioquay {

inline constexpr double runMargin = 1.15; // of the expected run that must fit before the time is up
inline constexpr std::size_t maxWaiting = 512; // bounds the memory of a line
inline constexpr double returnSpread = 0.5; // returns are spread over this share of the expected wait
inline constexpr milliseconds minRetryAfter{20}; // shorter pauses only add round trips
inline constexpr double overdueShare = 0.25; // an overdue run is expected to take this share of its time so far longer

struct queued_request
{
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0; // of the route: 0 is the most urgent
    time_point arrivedAt;
    time_point targetAt; // a response until then earns its full worth
    time_point requestDeadline; // the response is of no use later
    double expectedRunMs = 0;
    bool isFinalAttempt = false; // set by `offer`: its caller cannot come back in time
    bool isTakenLate = false; // could not meet its target when it was taken

    friend bool operator==(const queued_request &, const queued_request &) = default;
};

struct running_request
{
    std::uint64_t ticket = 0;
    time_point startedAt;
    double expectedRunMs = 0;

    friend bool operator==(const running_request &, const running_request &) = default;
};

enum class queue_refusal : std::uint8_t
{
    None,
    Draining, // the worker leaves, or the node does
    WorkerDown,
    NoTime, // it cannot end in time behind what waits already
    Crowded, // it would end after its target while others wait
    QueueFull,
};

// refusalName returns the lower-case name of a reason for logs and responses. Thread safe.
std::string_view refusalName(queue_refusal reason);

enum class enqueue_outcome : std::uint8_t
{
    Run,
    Wait,
    Refused,
};

struct enqueue_result
{
    enqueue_outcome kind = enqueue_outcome::Refused;
    queue_refusal reason = queue_refusal::None;
    milliseconds retryAfter{0};
    double expectedWaitMs = 0;

    friend bool operator==(const enqueue_result &, const enqueue_result &) = default;
};

struct refused_request
{
    std::uint64_t ticket = 0;
    queue_refusal reason = queue_refusal::NoTime;
    milliseconds retryAfter{0};

    friend bool operator==(const refused_request &, const refused_request &) = default;
};

struct request_queue
{
    std::uint32_t slots = 1;
    queue_refusal closedReason = queue_refusal::None; // why nothing new is taken
    std::vector<queued_request> waiting;
    std::vector<running_request> running;
};

// offer decides on a new request. Run: it counts as running. Wait: it is in the line until `startNext` or
// `removeUnservable` names its ticket.
enqueue_result enqueue(request_queue &line, const queued_request &request, time_point now, random_generator &generator);

// startNext moves the best waiting request to the running ones if a slot is free.
std::optional<std::uint64_t> startNext(request_queue &line, time_point now);

// removeUnservable removes the waiting requests that can no longer end in time.
std::vector<refused_request> removeUnservable(request_queue &line, time_point now, random_generator &generator);

// removeAllQueued removes all waiting requests for `reason`.
std::vector<refused_request> removeAllQueued(request_queue &line, queue_refusal reason);

// finish frees the slot of a running request, or removes a waiting one whose caller left.
void finish(request_queue &line, std::uint64_t ticket);

// expectedWaitMs returns how long a request with this priority that arrives now is expected to wait.
double expectedWaitMs(const request_queue &line, std::uint32_t priority, time_point now);

// nextUnservableCheck returns when `removeUnservable` is due; empty if nothing waits.
std::optional<time_point> nextUnservableCheck(const request_queue &line);

// latestStart returns the last time at which the request can start and still end in time.
time_point latestStart(const queued_request &request);

// meanActiveRunMs returns the mean expected run of what runs now; 0 if nothing runs.
double meanActiveRunMs(const request_queue &line);

// returnDelay tells a refused caller when to come back: when the line is expected to be short enough for its target,
// or, if that is missed, within the next third of its time. Returns are spread so that they do not come as a wave.
milliseconds
returnDelay(const queued_request &request, double expectedWaitMs, time_point now, random_generator &generator);

} // namespace pistachioquay
