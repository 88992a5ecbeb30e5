// Burn rate of the error budget: how fast a service consumes the share of bad requests that its objective allows. A
// burn rate of 1 consumes the budget exactly within the period of the objective.
//
//   burn_window window;
//   addBurnSample(window, isGood, now);
//   const burn_counts counts = countsAt(window, now, 99.9);
//   const double rate = burnRate(counts.shortTotal, counts.shortBad, counts.targetPercent);
#pragma once

#include <array>
#include <compare>
#include <cstdint>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr seconds burnBucketLength{10};
inline constexpr seconds shortBurnWindow{300};
inline constexpr seconds longBurnWindow{3600};
inline constexpr std::size_t burnBuckets = longBurnWindow / burnBucketLength;

// Request counts of one bucket.
struct burn_bucket
{
    std::int64_t index = -1; // bucket number since the epoch of the clock; -1: never used
    std::uint32_t total = 0;
    std::uint32_t bad = 0; // failed, or slower than the objective allows
};

// Request counts of the last hour, in a ring of buckets of 10 s. Not thread safe.
struct burn_window
{
    std::array<burn_bucket, burnBuckets> buckets;
};

// Request counts over the short and the long window. `addCounts` sums those of several nodes.
struct burn_counts
{
    double targetPercent = 0;
    std::uint64_t shortTotal = 0;
    std::uint64_t shortBad = 0;
    std::uint64_t longTotal = 0;
    std::uint64_t longBad = 0;

    friend auto operator<=>(const burn_counts &, const burn_counts &) = default;
};

// addBurnSample counts one request in the bucket of `now`. Not thread safe.
void addBurnSample(burn_window &window, bool isGood, time_point now);

// countsAt sums the buckets that lie in the windows that end at `now`. Not thread safe.
burn_counts countsAt(const burn_window &window, time_point now, double targetPercent);

// addCounts sums the counts of two nodes. The target is that of `left` if it has requests, else that of `right`. Thread
// safe.
burn_counts addCounts(const burn_counts &left, const burn_counts &right);

// burnRate returns the share of bad requests divided by the share that the target allows; 0 without requests. A target
// of 100% allows none; its rate is computed as if it allowed one bad request in a million. Thread safe.
double burnRate(std::uint64_t total, std::uint64_t bad, double targetPercent);

} // namespace pistachioquay
