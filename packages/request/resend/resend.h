// Whether a request that failed at one worker may be sent to another one.
//
//   countRequest(budget, "orders", now);                              // each request of a caller
//   if (mayRetryElsewhere(facts) && tryAcquireServiceRetry(budget, "orders", limits, now)) sendElsewhere();
//
// Load pattern: when workers fail or shed under load, every repeat adds load to those that still work. All nodes
// together may therefore repeat only a share of the requests of a service in each window. A node spends what its own
// requests allow and its part of the fixed extra, so that the sum of all nodes keeps the bound without any word between
// them.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr std::size_t budgetSteps = 20; // a window is counted in this many steps
inline constexpr double hedgeShare = 0.5; // of the allowance that copies of slow requests may use
inline constexpr double ownShare = 0.8; // of the allowance; the rest covers calls that repeated runs make again

inline constexpr double rejectedReturnRuns = 0.25; // expected runs until a rejected caller may come back, at least
inline constexpr double rejectedSpreadRuns = 0.25; // added at most, so that returns are spread
inline constexpr milliseconds leastRejectedReturn{5};

// The bound that holds for all nodes together.
struct retry_budget_limits
{
    double ratio = 0.2; // repeats for each request
    milliseconds window{10000};
    std::uint32_t fixedRetries = 64; // repeats that are allowed besides
    std::uint32_t nodes = 1; // nodes that share `extra`

    friend auto operator<=>(const retry_budget_limits &, const retry_budget_limits &) = default;
};

struct resend_counts
{
    std::uint32_t requests = 0;
    std::uint32_t resends = 0;

    friend auto operator<=>(const resend_counts &, const resend_counts &) = default;
};

// Counts of one service over the last window.
struct resend_window
{
    std::array<resend_counts, budgetSteps> steps{};
    std::int64_t lastStep = -1;
};

struct service_retry_budgets
{
    std::unordered_map<std::string, resend_window> services;
};

// countRequest counts a request of a caller for the service. Not thread safe.
void countRequest(service_retry_budgets &budget,
                  const std::string &service,
                  const retry_budget_limits &limits,
                  time_point now);

// tryAcquireServiceRetry takes one repeat out of the allowance; false if there is none left. Not thread safe.
bool tryAcquireServiceRetry(service_retry_budgets &budget,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now);

// tryAcquireServiceHedge takes a copy of a slow request out of the allowance; copies get at most `hedgeShare` of it, so
// that repeats of failed requests always find the rest. Not thread safe.
bool tryAcquireServiceHedge(service_retry_budgets &budget,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now);

// How a send to a worker ended, as far as a repeat depends on it.
enum class attempt_outcome : std::uint8_t
{
    NotRun, // the worker's node refused it: it has not run and never will
    RejectedByWorker, // the worker said that it has not run
    FailedResponse, // the worker ran it and responded with a failure
    Unknown, // it may have run
};

struct failed_attempt
{
    attempt_outcome end = attempt_outcome::Unknown;
    bool isRetryable = false;
    std::uint32_t workersTried = 0; // workers that the request has reached
    std::uint32_t maxWorkers = 1;
    duration timeLeft{0};
    duration expectedRun{0};

    friend auto operator<=>(const failed_attempt &, const failed_attempt &) = default;
};

// mayRetryElsewhere tells whether another worker may get the request, as far as its kind, its route and its time allow.
// A request that no worker has seen is not bounded by `maxWorkers`. Thread safe.
bool mayRetryElsewhere(const failed_attempt &facts);

// rejectionRetryAfter returns when a caller may come back after a worker has rejected its request and no repeat is
// left. Load pattern: the workers of a service reject at random although they have room, more requests than the budget
// can repeat. The next try is as good as a later one, so callers come back within their target, and not all at once:
// `draw` is random from 0 to 1. Thread safe.
milliseconds rejectionRetryAfter(double expectedRunMs, double draw);

} // namespace pistachioquay
