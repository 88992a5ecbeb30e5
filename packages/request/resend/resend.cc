#include "request/resend/resend.h"

#include <algorithm>
#include <numeric>

namespace pistachioquay {

namespace {

// Returns the index of a bucket in the ring. Bucket numbers are negative for times before the epoch of the clock.
std::size_t indexInRing(std::int64_t number)
{
    constexpr auto count = static_cast<std::int64_t>(retryBuckets);
    return static_cast<std::size_t>((number % count + count) % count);
}

retry_counts &currentBucket(retry_window &window, const retry_budget_limits &limits, time_point now)
{
    const duration bucketLength = std::max<duration>(limits.window / windowBuckets, milliseconds{1});
    const std::int64_t number = now.time_since_epoch() / bucketLength;
    const std::int64_t elapsedBuckets =
        window.lastBucket < 0 ? static_cast<std::int64_t>(retryBuckets) : number - window.lastBucket;
    for (std::int64_t offset = 0; offset < std::min<std::int64_t>(elapsedBuckets, retryBuckets); ++offset) {
        window.buckets.at(indexInRing(number - offset)) = {};
    }
    window.lastBucket = number;
    return window.buckets.at(indexInRing(number));
}

// Returns the retries of all buckets, and the requests of all but the oldest.
retry_counts totalOf(const retry_window &window)
{
    retry_counts total =
        std::accumulate(window.buckets.begin(),
                        window.buckets.end(),
                        retry_counts{},
                        [](retry_counts sum, const auto &bucket) {
                            return retry_counts{sum.requests + bucket.requests, sum.retries + bucket.retries};
                        });
    total.requests -= window.buckets.at(indexInRing(window.lastBucket + 1)).requests;
    return total;
}

// Returns the retries that this node may make in a window in which it received `requests`.
double allowance(const service_retry_budgets &budgets,
                 std::uint32_t requests,
                 const retry_budget_limits &limits,
                 time_point now)
{
    const double nodes = std::max<std::uint32_t>(limits.nodes, 1);
    const double fixedRetries = now >= budgets.fixedRetriesFrom ? limits.fixedRetries / nodes : 0.0;
    return limits.ratio * requests + fixedRetries;
}

bool tryAcquireShare(service_retry_budgets &budgets,
                     const std::string &service,
                     const retry_budget_limits &limits,
                     double share,
                     time_point now)
{
    retry_window &window = budgets.services[service];
    retry_counts &bucket = currentBucket(window, limits, now);
    const retry_counts total = totalOf(window);
    const double allowed = directRetryShare * share * allowance(budgets, total.requests, limits, now);
    if (total.retries + 1 > allowed) {
        return false;
    }
    ++bucket.retries;
    return true;
}

} // namespace

void countRequest(service_retry_budgets &budgets,
                  const std::string &service,
                  const retry_budget_limits &limits,
                  time_point now)
{
    ++currentBucket(budgets.services[service], limits, now).requests;
}

bool tryAcquireServiceRetry(service_retry_budgets &budgets,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now)
{
    return tryAcquireShare(budgets, service, limits, 1.0, now);
}

bool tryAcquireServiceHedge(service_retry_budgets &budgets,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now)
{
    return tryAcquireShare(budgets, service, limits, hedgeShare, now);
}

void recordCausedRetries(service_retry_budgets &budgets,
                         const std::string &service,
                         const retry_budget_limits &limits,
                         double share,
                         time_point now)
{
    currentBucket(budgets.services[service], limits, now).retries += share;
}

bool isOverdrawn(service_retry_budgets &budgets, const retry_budget_limits &limits, time_point now)
{
    return std::ranges::any_of(budgets.services, [&](auto &service) {
        currentBucket(service.second, limits, now);
        const retry_counts total = totalOf(service.second);
        return total.retries > 0 && total.retries > allowance(budgets, total.requests, limits, now);
    });
}

bool mayRetryElsewhere(const failed_attempt &attempt)
{
    if (attempt.timeLeft <= attempt.expectedRun) {
        return false;
    }
    switch (attempt.end) {
    case attempt_outcome::NotRun:
        return true;
    case attempt_outcome::RejectedByWorker:
        return attempt.workersTried < attempt.maxWorkers;
    case attempt_outcome::FailedResponse:
    case attempt_outcome::Unknown:
        return attempt.isRetryable && attempt.workersTried < attempt.maxWorkers;
    }
    return false;
}

bool mayHaveRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::Unknown || outcome == attempt_outcome::FailedResponse;
}

attempt_outcome combineOutcomes(attempt_outcome earlier, attempt_outcome later)
{
    return mayHaveRun(earlier) && !mayHaveRun(later) ? attempt_outcome::Unknown : later;
}

bool mayRepeatOnWorker(const lost_attempt &attempt)
{
    return attempt.isRetryable && attempt.wasReused && attempt.isAccepting;
}

milliseconds rejectionRetryAfter(double expectedRunMs, double draw)
{
    const double wait = expectedRunMs * (rejectionRetryRuns + rejectionJitterRuns * draw);
    return std::max(minRejectionRetryAfter, milliseconds(static_cast<std::int64_t>(wait)));
}

} // namespace pistachioquay
