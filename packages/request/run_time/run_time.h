// Running estimates of how long requests of each route take on one worker.
//
//   run_time_estimates times;
//   recordRunTime(times, "orders", 84.0, now);
//   const double expected = expectedRunMs(times, "orders", fallbackMs);
//
// Load pattern: most runs of a route are alike, a few take many times longer, and a worker slows down and recovers
// within a second. The mean therefore follows recent runs, a single run counts for at most `outlierFactor` times the
// mean, and a run that is still going counts as soon as it is overdue.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr double runTimeWeight = 0.12; // weight of a new run: about eight runs of memory
inline constexpr double outlierFactor = 4.0; // longer runs count as this many means

inline constexpr double unmeasuredShare = 0.25; // of the time until the target, while no worker's run time is known
inline constexpr double leastUnmeasuredMs = 5.0;

struct run_time_estimates
{
    struct mean
    {
        double milliseconds = 0;
        std::uint32_t samples = 0;
        time_point lastAt;
    };
    std::unordered_map<std::string, mean> routes;
};

// recordRunTime records the run time of a request that the worker completed. Not thread safe.
void recordRunTime(run_time_estimates &times, const std::string &route, double milliseconds, time_point now);

// expectedRunMs returns the mean of the route, or `fallbackMs` if none of its requests ran yet. Thread safe for reads.
double expectedRunMs(const run_time_estimates &times, const std::string &route, double fallbackMs);

// unmeasuredRunMs returns what to expect of a route that the worker has not run yet. Load pattern: after many nodes
// restart in a swing, requests reach them late; a guess from what is left of the target would make a long line look
// short, and all nodes would send there. So the run time at the other workers goes first (`typicalMs`, 0 if not known).
// Thread safe.
double unmeasuredRunMs(double typicalMs, double targetLeftMs);

} // namespace pistachioquay
