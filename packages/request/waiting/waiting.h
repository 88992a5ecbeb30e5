// Queue of the requests that wait at a node for a slot of its worker: which request runs next, which ones are refused,
// and after what delay a refused caller should retry.
//
//   const enqueue_result result = enqueue(queue, request, now, generator);
//   if (result.kind == enqueue_outcome::Refused) return refuse(result.reason, result.retryAfter);
//   ...
//   finish(queue, ticket);
//   for (auto started = startNext(queue, now); started; started = startNext(queue, now)) wake(*started);
//   for (const refused_request &late : removeUnservable(queue, now, generator)) refuse(late);
//
// Load pattern: demand exceeds the capacity of the workers for seconds at a time, and a response after its target
// latency has little value. Therefore
// - a request that cannot meet its target is refused if it would wait behind others, either on arrival or as soon as
//   this becomes clear: running it would make the next request late as well, and its caller still has time to retry;
// - it is admitted if it can start almost at once, since a late response has more value than none;
// - requests of the more urgent route run first, so that less urgent work never displaces them, and within a route
//   those with the earliest target;
// - a call made by a worker is refused only if it cannot finish before its deadline, and runs before other work: the
//   calling worker holds a slot while it waits, and its work is lost if the call fails. While the origin of a route is
//   unknown, a request whose caller has no time left for a retry (`isFinalAttempt`) is taken for such a call;
// - a request whose expected run time is out of date (`isProbe`) runs if the worker has a free slot: otherwise a worker
//   that was slow once would refuse all requests of a route, and never learn that it is fast again;
// - a request of a light flow that is hardly served (`isUnderserved`) is admitted although it would be late.
//
// All functions operate on the queue of one worker and are not thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "request/call_origin/call_origin.h"
#include "request/waiting/late_admission.h"

namespace pistachioquay {

inline constexpr double runTimeMargin = 1.15; // multiple of the expected run time that must fit before the deadline
inline constexpr std::size_t maxQueued = 512; // bounds the memory of a queue
inline constexpr double retryAfterJitter = 0.5; // share by which Retry-After delays vary at random
inline constexpr milliseconds minRetryAfter{20}; // shorter delays only add round trips
inline constexpr double overdueRemainingShare = 0.25; // expected rest of an overdue run, as share of its time so far

struct queued_request
{
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0; // of the route; 0 is the most urgent
    time_point arrivedAt;
    time_point targetAt; // a response by then has its full value
    time_point requestDeadline; // deadline: a later response is of no use
    double expectedRunMs = 0;
    double typicalRunMs = 0; // of the route at other workers; 0: not known
    request_origin origin = request_origin::Unknown;
    bool isProbe = false; // its expected run time is out of date: it runs if that delays no other request
    bool isUnderserved = false; // its flow is light and hardly served: admitted although it would be late
    bool isFinalAttempt = false; // set by `enqueue`: its caller has no time left for a retry
    bool isAdmittedLate = false; // could not meet its target when it was admitted

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
    Draining, // the worker or the node is shutting down
    WorkerDown,
    NoTime, // it cannot finish before its deadline behind the requests already queued
    WouldMissTarget, // it would finish after its target and wait behind others
    QueueFull,
};

// refusalName returns the lower-case name of a reason, as used in logs and responses. Thread safe.
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
    queue_refusal closedReason = queue_refusal::None; // unless None, all new requests are refused for this reason
    std::vector<queued_request> waiting;
    std::vector<running_request> running;
};

// enqueue runs, queues or refuses a new request. Run: it has a slot now. Wait: it stays queued until `startNext` or
// `removeUnservable` returns its ticket.
enqueue_result
enqueue(request_queue &queue, const queued_request &request, time_point now, random_generator &generator);

// startNext moves the next queued request to the running ones if a slot is free, and returns its ticket.
std::optional<std::uint64_t> startNext(request_queue &queue, time_point now);

// removeUnservable removes the queued requests that can no longer finish before their deadline, or can no longer meet
// their target and would wait behind others.
std::vector<refused_request> removeUnservable(request_queue &queue, time_point now, random_generator &generator);

// removeAllQueued removes all queued requests and refuses them for `reason`.
std::vector<refused_request> removeAllQueued(request_queue &queue, queue_refusal reason);

// finish frees the slot of a running request, or removes a queued one whose caller is gone.
void finish(request_queue &queue, std::uint64_t ticket);

// expectedWaitMs returns the expected wait of a request with this priority that arrives now.
double expectedWaitMs(const request_queue &queue, std::uint32_t priority, time_point now);

// nextUnservableCheck returns when `removeUnservable` should run next; empty if no request is queued.
std::optional<time_point> nextUnservableCheck(const request_queue &queue);

// latestStart returns the last time at which the request can start and still finish before its deadline.
time_point latestStart(const queued_request &request);

// meanActiveRunMs returns the mean expected run time of the running requests; 0 if none runs.
double meanActiveRunMs(const request_queue &queue);

// retryAfterDelay returns the delay after which a refused caller should retry: when the queue is expected to be short
// enough for its target or, if the target is already missed, within the next third of the time left until its deadline.
// Delays vary at random so that retries do not arrive in a burst.
milliseconds
retryAfterDelay(const queued_request &request, double expectedWaitMs, time_point now, random_generator &generator);

} // namespace pistachioquay
