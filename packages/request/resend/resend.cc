#include "request/resend/resend.h"

#include <algorithm>
#include <numeric>

namespace pistachioquay {

namespace {

// Returns the index of a bucket in the ring. Bucket numbers are negative for times before the epoch of the clock.
std::size_t indexInRing(std::int64_t number)
{
    constexpr auto count = static_cast<std::int64_t>(windowBuckets);
    return static_cast<std::size_t>((number % count + count) % count);
}

retry_counts &currentBucket(retry_window &window, const retry_budget_limits &limits, time_point now)
{
    const duration bucketLength = std::max<duration>(limits.window / windowBuckets, milliseconds{1});
    const std::int64_t number = now.time_since_epoch() / bucketLength;
    const std::int64_t elapsedBuckets =
        window.lastBucket < 0 ? static_cast<std::int64_t>(windowBuckets) : number - window.lastBucket;
    for (std::int64_t offset = 0; offset < std::min<std::int64_t>(elapsedBuckets, windowBuckets); ++offset) {
        window.buckets.at(indexInRing(number - offset)) = {};
    }
    window.lastBucket = number;
    return window.buckets.at(indexInRing(number));
}

retry_counts totalOf(const retry_window &window)
{
    return std::accumulate(window.buckets.begin(),
                           window.buckets.end(),
                           retry_counts{},
                           [](retry_counts sum, const auto &bucket) {
                               return retry_counts{sum.requests + bucket.requests, sum.retries + bucket.retries};
                           });
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
    const double ownFixedRetries = static_cast<double>(limits.fixedRetries) / std::max<std::uint32_t>(limits.nodes, 1);
    const double allowed = directRetryShare * share * (limits.ratio * total.requests + ownFixedRetries);
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

milliseconds rejectionRetryAfter(double expectedRunMs, double draw)
{
    const double wait = expectedRunMs * (rejectionRetryRuns + rejectionJitterRuns * draw);
    return std::max(minRejectionRetryAfter, milliseconds(static_cast<std::int64_t>(wait)));
}

} // namespace pistachioquay
