// Decides whether a request that failed at one worker may be retried on another one, and limits these retries by a
// budget for each service.
//
//   countRequest(budgets, "orders", limits, now);                      // for each request of a caller
//   if (mayRetryElsewhere(attempt) && tryAcquireServiceRetry(budgets, "orders", limits, now)) sendToOtherWorker();
//
// Load pattern: when workers fail or shed load, every retry adds load to those that still work. All nodes together may
// therefore retry only a share of the requests of a service in each window. A node uses the allowance of its own
// requests and its part of a fixed number, so that the sum over all nodes stays within the limit without coordination:
// - a process that has just started has no part of the fixed number (`fixedRetriesFrom`), since its predecessor may
// have
//   used it in the same window;
// - a run that is itself a repeat makes its calls to other services again. The node beside the worker counts these
// calls
//   as retries (`recordCausedRetries`), and runs no further repeats while they exceed its allowance (`isOverdrawn`);
// - retries are counted for longer than a window and requests for at most one, so the limit holds in any window.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr std::size_t windowBuckets = 20; // counters of one window, each for an equal part of it
inline constexpr std::size_t retryBuckets = windowBuckets + 1; // these cover a window also while the newest one fills
inline constexpr double hedgeShare = 0.5; // largest use of the allowance at which hedges are sent
inline constexpr double directRetryShare =
    0.8; // share of the allowance for direct retries; the rest covers their calls

inline constexpr double rejectionRetryRuns = 0.25; // lower bound of Retry-After, in expected run times
inline constexpr double rejectionJitterRuns = 0.25; // random part on top, in expected run times
inline constexpr milliseconds minRejectionRetryAfter{5};

// Retry limits of a service that hold for all nodes together.
struct retry_budget_limits
{
    double ratio = 0.2; // retries for each request
    milliseconds window{10000};
    std::uint32_t fixedRetries = 64; // retries that are allowed in addition, in each window
    std::uint32_t nodes = 1; // nodes that share the additional retries

    friend auto operator<=>(const retry_budget_limits &, const retry_budget_limits &) = default;
};

struct retry_counts
{
    std::uint32_t requests = 0;
    double retries = 0; // a call that is caused by a repeat with some probability counts as that share

    friend auto operator<=>(const retry_counts &, const retry_counts &) = default;
};

// Counts of one service in the last window, as a ring of buckets.
struct retry_window
{
    std::array<retry_counts, retryBuckets> buckets{};
    std::int64_t lastBucket = -1;
};

struct service_retry_budgets
{
    std::unordered_map<std::string, retry_window> services;
    time_point fixedRetriesFrom = time_point::min(); // when the part of the fixed retries may be used
};

// countRequest counts a request of a caller to the service. Not thread safe.
void countRequest(service_retry_budgets &budgets,
                  const std::string &service,
                  const retry_budget_limits &limits,
                  time_point now);

// tryAcquireServiceRetry consumes one retry of the allowance; false if none is left. Not thread safe.
bool tryAcquireServiceRetry(service_retry_budgets &budgets,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now);

// tryAcquireServiceHedge consumes one retry of the allowance for a hedge; false once `hedgeShare` of the allowance is
// used, so that the rest stays available for retries of failed requests. Not thread safe.
bool tryAcquireServiceHedge(service_retry_budgets &budgets,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now);

// recordCausedRetries counts a call of the own worker to the service as a retry by `share`, the probability that the
// run that makes the call is itself a repeat. Not thread safe.
void recordCausedRetries(service_retry_budgets &budgets,
                         const std::string &service,
                         const retry_budget_limits &limits,
                         double share,
                         time_point now);

// isOverdrawn returns whether the retries of any service exceed this node's allowance. Not thread safe.
bool isOverdrawn(service_retry_budgets &budgets, const retry_budget_limits &limits, time_point now);

// Outcome of an attempt, as far as the decision about a retry depends on it.
enum class attempt_outcome : std::uint8_t
{
    NotRun, // refused by the worker's node: it has not run and never will
    RejectedByWorker, // the worker responded that it did not run the request
    FailedResponse, // the worker ran the request and responded with a failure
    Unknown, // it may have run
};

// mayHaveRun returns whether a request may have run, or has, after an attempt with this outcome. Thread safe.
bool mayHaveRun(attempt_outcome outcome);

// combineOutcomes returns the outcome of two attempts together: a refusal of the later one does not undo that the
// request may have run in the earlier one. Thread safe.
attempt_outcome combineOutcomes(attempt_outcome earlier, attempt_outcome later);

struct failed_attempt
{
    attempt_outcome end = attempt_outcome::Unknown;
    bool isRetryable = false;
    std::uint32_t workersTried = 0; // number of workers that the request has reached
    std::uint32_t maxWorkers = 1;
    duration timeLeft{0};
    duration expectedRun{0};

    friend auto operator<=>(const failed_attempt &, const failed_attempt &) = default;
};

// mayRetryElsewhere returns whether the request may be retried on another worker, given its outcome, its route and the
// time left. Requests that have not reached a worker are not limited by `maxWorkers`. Thread safe.
bool mayRetryElsewhere(const failed_attempt &attempt);

// An attempt at a worker whose connection closed without a response.
struct lost_attempt
{
    bool isRetryable = false;
    bool wasReused = false; // the connection had carried earlier requests, and may have been closed before this one
    bool isAccepting = false; // the worker still gets requests: it has not begun to leave meanwhile

    friend auto operator<=>(const lost_attempt &, const lost_attempt &) = default;
};

// mayRepeatOnWorker returns whether the request may be sent once more to the same worker, on a new connection. Thread
// safe.
bool mayRepeatOnWorker(const lost_attempt &attempt);

// rejectionRetryAfter returns the delay after which a caller should retry when a worker rejected its request and the
// node may not retry it. Load pattern: the workers of a service reject requests at random although they have capacity,
// and more than the budget can retry. An early retry is as likely to succeed as a late one, so the delay is short
// enough for the target, and random so that callers do not retry all at once: `draw` is a random number from 0 to 1.
// Thread safe.
milliseconds rejectionRetryAfter(double expectedRunMs, double draw);

} // namespace pistachioquay
