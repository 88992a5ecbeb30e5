// Decides whether a failed try is repeated, and what the caller is told if it is not.
//
//   countRequest(budget, now);                                                // once for each request of the service
//   recordAttempt(history, progress);                                           // after each failed try
//   const retry_decision decision = decideRetry(facts, history, budget, now, generator);
//   if (decision.verdict == retry_verdict::Retry) waitAndTryOtherWorker(decision.delay);
//   else if (history.mayHaveRun) respondUnknown(); else respondNotRun();
//
// A non-idempotent request is repeated only if no byte of it can have reached a worker's node, or if that node said
// `not-run`. Repeats after NoConnection and NotRun do not use the retry budget, since no work was done; their number is
// bounded by `maxUnrunTries`. All others use the budget.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"

namespace pistachioquay {

inline constexpr std::size_t budgetBuckets = 10; // one a second
inline constexpr std::uint32_t budgetPercent = 10; // of the calls in the last 10 s
inline constexpr std::uint32_t budgetFloor = 5; // retries in 10 s that are always allowed
inline constexpr std::uint32_t maxUnrunTries = 4; // tries in all when none of them was run
inline constexpr std::uint32_t maxUnrunTriesSaturated = 2; // the same while no worker is believed to have a spare slot
inline constexpr milliseconds retryDelayBase{5};
inline constexpr milliseconds retryDelayCap{100};
inline constexpr milliseconds leastTimeForRetry{10};

// How far a failed try came.
enum class attempt_progress : std::uint8_t
{
    NoConnection, // no byte reached the node
    NotRun, // the node said that the request was not run
    SentNoResponse, // bytes were sent, no response arrived
    PartialResponse, // the response ended before its end
    Unknown, // the node said that it does not know
    WorkerUnavailable, // the worker itself responded 503
    WorkerResponse, // any other response of the worker: it is passed on
};

enum class retry_verdict : std::uint8_t
{
    Retry,
    GiveUp,
};

enum class give_up_reason : std::uint8_t
{
    None,
    IsResponse, // the worker's response is passed on
    ResponseStarted, // part of the response has been passed to the caller
    BodyGone, // the body is no longer held, so it cannot be sent again
    NotIdempotent,
    RetriesUsed,
    RetriedAbove, // a node above has retried this request
    TooLittleTime,
    NoBudget,
};

// giveUpName returns the stable lower-case name of a reason for logs and metrics. Thread safe.
std::string_view giveUpName(give_up_reason reason);

// What the decision depends on, besides the history.
struct retry_context
{
    bool isIdempotent = false;
    std::uint32_t retries = 0; // of the policy
    std::uint32_t inheritedAttempts = 0; // `X-Pq-Attempt` of the request as it arrived
    bool isBodyReplayable = true;
    bool isResponseStarted = false; // a byte of a response has been passed to the caller
    bool isSaturated = false; // see isSaturated() in routing.h
    time_point deadline;
};

// The tries made for one request.
struct attempt_history
{
    std::uint32_t tries = 0;
    std::uint32_t budgetedRetries = 0; // retries taken from the budget
    attempt_progress last = attempt_progress::NoConnection;
    bool mayHaveRun = false; // some try may have reached the worker: the outcome is not `not-run`

    friend auto operator<=>(const attempt_history &, const attempt_history &) = default;
};

struct retry_decision
{
    retry_verdict verdict = retry_verdict::GiveUp;
    give_up_reason reason = give_up_reason::None;
    milliseconds delay{0};
};

// Retries and hedges of one service. Whenever one is taken, those of the last 9 s are at most 10% of the calls of the
// last 10 s plus `budgetFloor`.
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

// countRequest counts a request of the service. Not thread safe.
void countRequest(retry_budget &budget, time_point now);

// takeRetry takes one retry or hedge out of the budget; false if it is used up. Not thread safe.
bool takeRetry(retry_budget &budget, time_point now);

// recordAttempt adds a failed try to the history. Thread safe for different histories.
void recordAttempt(attempt_history &history, attempt_progress progress);

// attemptHeader returns the value of `X-Pq-Attempt` for the next try. Thread safe.
std::uint32_t attemptHeader(const retry_context &facts, const attempt_history &history);

// decideRetry decides after a failed try that was noted in `history`, and takes from the budget if needed. Not thread
// safe. `history.budgeted` is raised when the budget was used.
retry_decision decideRetry(const retry_context &facts,
                           attempt_history &history,
                           retry_budget &budget,
                           time_point now,
                           random_generator &generator);

} // namespace pistachioquay
