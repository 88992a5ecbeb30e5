// Burn of the error budget: how fast a service uses up the share of requests that its objective allows to be bad. A
// burn rate of 1 uses the budget exactly up within the objective's period.
//
//   burn_window window;
//   addRequest(window, isGood, now);
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

// Requests of one time bucket.
struct burn_bucket
{
    std::int64_t index = -1; // number of the bucket since the clock's epoch; -1: never used
    std::uint32_t total = 0;
    std::uint32_t bad = 0;
};

// Requests of the last hour in buckets of 10 s. Not thread safe.
struct burn_window
{
    std::array<burn_bucket, burnBuckets> buckets;
};

// Counts over both windows. Counts of several nodes add up.
struct burn_counts
{
    double targetPercent = 0;
    std::uint64_t shortTotal = 0;
    std::uint64_t shortBad = 0;
    std::uint64_t longTotal = 0;
    std::uint64_t longBad = 0;

    friend auto operator<=>(const burn_counts &, const burn_counts &) = default;
};

// addRequest counts one request in the bucket of `now`.
void addRequest(burn_window &window, bool isGood, time_point now);

// countsAt sums the buckets that lie inside the windows that end at `now`.
burn_counts countsAt(const burn_window &window, time_point now, double targetPercent);

// addCounts merges counts of another node; the target of the side that has requests is kept. Thread safe.
burn_counts addCounts(const burn_counts &left, const burn_counts &right);

// burnRate returns the share of bad requests divided by the share that the target allows; 0 without requests. A target
// of 100% allows none, so its rate is counted against one request in a million. Thread safe.
double burnRate(std::uint64_t total, std::uint64_t bad, double targetPercent);

} // namespace pistachioquay
