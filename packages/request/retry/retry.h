// Decides whether a failed attempt is retried, and which outcome the caller gets if it is not.
//
//   countRequest(budget, now);                                                // once for each request of the service
//   recordAttempt(history, progress);                                         // after each failed attempt
//   const retry_decision decision = decideRetry(context, history, budget, now, generator);
//   if (decision.verdict == retry_verdict::Retry) waitAndSendToOtherWorker(decision.delay);
//   else if (history.mayHaveRun) respondUnknown(); else respondNotRun();
//
// A non-idempotent request is retried only if no byte of any attempt can have reached a worker's node, or if that node
// reported `not-run`. Retries after NoConnection and NotRun do not use the retry budget, since no worker executed the
// request; `maxUnexecutedAttempts` limits their number. All other retries use the budget.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"

namespace pistachioquay {

inline constexpr std::size_t budgetBuckets = 10; // one per second
inline constexpr std::uint32_t budgetPercent = 10; // retries per 100 requests of the last 10 s
inline constexpr std::uint32_t budgetFloor = 5; // retries allowed in 10 s in addition to that share
inline constexpr std::uint32_t maxUnexecutedAttempts = 4; // attempts of a request that no worker has executed
inline constexpr std::uint32_t maxUnexecutedAttemptsSaturated = 2; // the same if no worker is known to have a free slot
inline constexpr milliseconds retryDelayBase{5};
inline constexpr milliseconds retryDelayCap{100};
inline constexpr milliseconds minTimeForRetry{10};

// How far an attempt got before it failed.
enum class attempt_progress : std::uint8_t
{
    NoConnection, // no byte reached the node
    NotRun, // the node reported that the request was not run
    SentNoResponse, // bytes were sent, no response arrived
    PartialResponse, // the response was truncated
    Unknown, // the node reported that it does not know whether the request was run
    WorkerUnavailable, // the worker itself responded 503
    WorkerResponse, // any other response of the worker; it is forwarded to the caller
};

enum class retry_verdict : std::uint8_t
{
    Retry,
    GiveUp,
};

enum class give_up_reason : std::uint8_t
{
    None,
    WorkerResponded, // the worker responded, and its response is forwarded
    ResponseStarted, // part of a response has been sent to the caller
    BodyDiscarded, // the request body is no longer buffered, so it cannot be sent again
    NotIdempotent,
    RetriesUsed,
    RetriedByEarlierNode, // a node earlier on the request's path has retried it
    TooLittleTime,
    NoBudget,
};

// giveUpName returns the stable lower-case name of `reason` for logs and metrics. Thread safe.
std::string_view giveUpName(give_up_reason reason);

// Inputs of the retry decision, besides the attempts made so far.
struct retry_context
{
    bool isIdempotent = false;
    std::uint32_t retries = 0; // limit from the policy
    std::uint32_t inheritedAttempts = 0; // `X-Pq-Attempt` of the request as it arrived
    bool isBodyReplayable = true;
    bool isResponseStarted = false; // at least one byte of a response has been sent to the caller
    bool isSaturated = false; // see isSaturated() in routing.h
    time_point deadline;
};

// The failed attempts of one request.
struct attempt_history
{
    std::uint32_t attempts = 0;
    std::uint32_t budgetedRetries = 0; // retries that used the budget
    attempt_progress last = attempt_progress::NoConnection;
    bool mayHaveRun = false; // an attempt may have reached a worker, so the outcome cannot be `not-run`

    friend auto operator<=>(const attempt_history &, const attempt_history &) = default;
};

struct retry_decision
{
    retry_verdict verdict = retry_verdict::GiveUp;
    give_up_reason reason = give_up_reason::None;
    milliseconds delay{0};
};

// Budget for retries and hedges of one service. Whenever one is taken, the number taken in the last 9 s is at most 10%
// of the requests in the last 10 s, plus `budgetFloor`.
struct retry_budget
{
    struct bucket
    {
        std::int64_t second = -1;
        std::uint32_t calls = 0;
        std::uint32_t retries = 0;
    };
    std::array<bucket, budgetBuckets> buckets{};
};

// countRequest counts a request to the service. Not thread safe.
void countRequest(retry_budget &budget, time_point now);

// tryAcquireRetry takes one retry or hedge out of the budget, or returns false if the budget is exhausted. Not thread
// safe.
bool tryAcquireRetry(retry_budget &budget, time_point now);

// recordAttempt adds a failed attempt to `history`. Thread safe for different histories.
void recordAttempt(attempt_history &history, attempt_progress progress);

// attemptHeader returns the value of the `X-Pq-Attempt` header for the next attempt. Thread safe.
std::uint32_t attemptHeader(const retry_context &context, const attempt_history &history);

// decideRetry decides whether to retry after a failed attempt that recordAttempt has added to `history`. If the retry
// needs the budget, decideRetry takes it from there and increments `history.budgetedRetries`. Not thread safe.
retry_decision decideRetry(const retry_context &context,
                           attempt_history &history,
                           retry_budget &budget,
                           time_point now,
                           random_generator &generator);

} // namespace pistachioquay
