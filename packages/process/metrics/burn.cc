#include "process/metrics/burn.h"

#include <algorithm>
#include <numeric>

namespace pistachioquay {

namespace {

std::int64_t bucketIndex(time_point now)
{
    return now.time_since_epoch() / burnBucketLength;
}

bool isInside(const burn_bucket &bucket, std::int64_t newest, seconds window)
{
    return bucket.index > newest - window / burnBucketLength && bucket.index <= newest;
}

} // namespace

void addBurnSample(burn_window &window, bool isGood, time_point now)
{
    const std::int64_t index = bucketIndex(now);
    burn_bucket &bucket = window.buckets.at(static_cast<std::size_t>(index) % burnBuckets);
    if (bucket.index != index) {
        bucket = burn_bucket{index, 0, 0};
    }
    ++bucket.total;
    bucket.bad += isGood ? 0 : 1;
}

burn_counts countsAt(const burn_window &window, time_point now, double targetPercent)
{
    burn_counts counts;
    counts.targetPercent = targetPercent;
    const std::int64_t newest = bucketIndex(now);
    for (const burn_bucket &bucket : window.buckets) {
        if (isInside(bucket, newest, shortBurnWindow)) {
            counts.shortTotal += bucket.total;
            counts.shortBad += bucket.bad;
        }
        if (isInside(bucket, newest, longBurnWindow)) {
            counts.longTotal += bucket.total;
            counts.longBad += bucket.bad;
        }
    }
    return counts;
}

burn_counts addCounts(const burn_counts &left, const burn_counts &right)
{
    return {
        .targetPercent = left.longTotal > 0 ? left.targetPercent : right.targetPercent,
        .shortTotal = left.shortTotal + right.shortTotal,
        .shortBad = left.shortBad + right.shortBad,
        .longTotal = left.longTotal + right.longTotal,
        .longBad = left.longBad + right.longBad,
    };
}

double burnRate(std::uint64_t total, std::uint64_t bad, double targetPercent)
{
    constexpr double minAllowedShare = 1e-6;
    if (total == 0) {
        return 0;
    }
    const double allowedShare = std::max(1.0 - targetPercent / 100.0, minAllowedShare);
    return static_cast<double>(bad) / static_cast<double>(total) / allowedShare;
}

} // namespace pistachioquay
