// Queue of the requests that wait at a node for a slot of its worker: which request runs next, which ones are refused,
// and after what delay a refused caller should retry.
//
//   const offer_verdict result = offer(queue, request, now, generator);
//   if (result.kind == offer_kind::Refused) return refuse(result.reason, result.retryAfter);
//   ...
//   finish(queue, ticket);
//   for (auto started = startNext(queue, now); started; started = startNext(queue, now)) wake(*started);
//   for (const refused_ticket &late : takeHopeless(queue, now, generator)) refuse(late);
//
// Load pattern: demand exceeds the capacity of the workers for seconds at a time, and a response after its target
// latency has little value. Therefore
// - a request that cannot meet its target is refused if it would wait behind others, either on arrival or as soon as
//   this becomes clear: running it would make the next request late as well, and its caller still has time to retry;
// - it is admitted if it can start almost at once, since a late response has more value than none;
// - requests of the more urgent route run first, so that less urgent work never displaces them, and within a route
//   those with the earliest target;
// - a request whose caller has no time left for a retry (`isLastChance`), such as a call made by a worker, is refused
//   only if it cannot finish before its deadline: the calling worker holds a slot while it waits, and its work is lost
//   if the call fails.
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
#include "request/waiting/late_rule.h"

namespace pistachioquay {

inline constexpr double runTimeMargin = 1.15; // multiple of the expected run time that must fit before the deadline
inline constexpr std::size_t maxQueued = 512; // bounds the memory of a queue
inline constexpr double retryAfterJitter = 0.5; // share by which Retry-After delays vary at random
inline constexpr milliseconds minRetryAfter{20}; // shorter delays only add round trips
inline constexpr double overdueRemainingShare = 0.25; // expected rest of an overdue run, as share of its time so far

struct waiting_request
{
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0; // of the route; 0 is the most urgent
    time_point arrivedAt;
    time_point targetAt; // a response by then has its full value
    time_point endsBy; // deadline: a later response is of no use
    double expectedRunMs = 0;
    bool isLastChance = false; // set by `offer`: its caller has no time left for a retry
    bool isAdmittedLate = false; // could not meet its target when it was admitted

    friend bool operator==(const waiting_request &, const waiting_request &) = default;
};

struct running_request
{
    std::uint64_t ticket = 0;
    time_point startedAt;
    double expectedRunMs = 0;

    friend bool operator==(const running_request &, const running_request &) = default;
};

enum class wait_refusal : std::uint8_t
{
    None,
    Draining, // the worker or the node is shutting down
    WorkerDown,
    NoTime, // it cannot finish before its deadline behind the requests already queued
    WouldMissTarget, // it would finish after its target and wait behind others
    QueueFull,
};

// refusalName returns the lower-case name of a reason, as used in logs and responses. Thread safe.
std::string_view refusalName(wait_refusal reason);

enum class offer_kind : std::uint8_t
{
    Run,
    Wait,
    Refused,
};

struct offer_verdict
{
    offer_kind kind = offer_kind::Refused;
    wait_refusal reason = wait_refusal::None;
    milliseconds retryAfter{0};
    double expectedWaitMs = 0;

    friend bool operator==(const offer_verdict &, const offer_verdict &) = default;
};

struct refused_ticket
{
    std::uint64_t ticket = 0;
    wait_refusal reason = wait_refusal::NoTime;
    milliseconds retryAfter{0};

    friend bool operator==(const refused_ticket &, const refused_ticket &) = default;
};

struct waiting_line
{
    std::uint32_t slots = 1;
    wait_refusal closedFor = wait_refusal::None; // unless None, all new requests are refused for this reason
    std::vector<waiting_request> waiting;
    std::vector<running_request> running;
};

// offer runs, queues or refuses a new request. Run: it has a slot now. Wait: it stays queued until `startNext` or
// `takeHopeless` returns its ticket.
offer_verdict offer(waiting_line &queue, const waiting_request &request, time_point now, random_generator &generator);

// startNext moves the next queued request to the running ones if a slot is free, and returns its ticket.
std::optional<std::uint64_t> startNext(waiting_line &queue, time_point now);

// takeHopeless removes the queued requests that can no longer finish before their deadline, or can no longer meet their
// target and would wait behind others.
std::vector<refused_ticket> takeHopeless(waiting_line &queue, time_point now, random_generator &generator);

// takeAll removes all queued requests and refuses them for `reason`.
std::vector<refused_ticket> takeAll(waiting_line &queue, wait_refusal reason);

// finish frees the slot of a running request, or removes a queued one whose caller is gone.
void finish(waiting_line &queue, std::uint64_t ticket);

// expectedWaitMs returns the expected wait of a request with this priority that arrives now.
double expectedWaitMs(const waiting_line &queue, std::uint32_t priority, time_point now);

// nextCheck returns when `takeHopeless` should run next; empty if no request is queued.
std::optional<time_point> nextCheck(const waiting_line &queue);

// latestStart returns the last time at which the request can start and still finish before its deadline.
time_point latestStart(const waiting_request &request);

// lineRunMs returns the mean expected run time of the running requests; 0 if none runs.
double lineRunMs(const waiting_line &queue);

// retryAfterDelay returns the delay after which a refused caller should retry: when the queue is expected to be short
// enough for its target or, if the target is already missed, within the next third of the time left until its deadline.
// Delays vary at random so that retries do not arrive in a burst.
milliseconds
retryAfterDelay(const waiting_request &request, double expectedWaitMs, time_point now, random_generator &generator);

} // namespace pistachioquay
