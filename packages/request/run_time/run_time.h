// Moving averages of the run time of each route on one worker.
//
//   run_time_estimates times;
//   recordRunTime(times, "orders", 84.0, now);
//   const double expected = expectedRunMs(times, "orders", fallbackMs);
//
// Load pattern: most runs of a route take a similar time, a few take many times longer, and a worker can slow down and
// recover within a second. The mean therefore follows recent runs, and a single run counts as at most `outlierFactor`
// times the mean. A run that was cancelled after more than its expected time counts as well, since a worker that hangs
// completes no run.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr double runTimeWeight = 0.12; // weight of a new run; averages over about eight runs
inline constexpr double outlierFactor = 4.0; // longest counted run time, as multiple of the mean

inline constexpr milliseconds estimateFreshFor{1000}; // the time for which workers slow down is often about a second

inline constexpr double unmeasuredShare = 0.25; // assumed run time as share of the time left until the target
inline constexpr double minUnmeasuredMs = 5.0;

struct run_time_estimates
{
    struct mean
    {
        double milliseconds = 0;
        std::uint32_t samples = 0;
        time_point lastAt;
        time_point lastProbeAt;
    };
    std::unordered_map<std::string, mean> routes;
};

// recordRunTime records the run time of a request that the worker completed, or the time so far of a cancelled run that
// is overdue. Not thread safe.
void recordRunTime(run_time_estimates &times, const std::string &route, double milliseconds, time_point now);

// expectedRunMs returns the mean run time of the route, or `fallbackMs` if none of its requests has completed. Thread
// safe for reads.
double expectedRunMs(const run_time_estimates &times, const std::string &route, double fallbackMs);

// tryProbe returns whether a request of the route may run although the estimate says that it cannot end in time: the
// estimate is older than `estimateFreshFor`, and no other probe has started in this time. Load pattern: a worker that
// was slow for seconds refuses all requests of a route with a short timeout, so that no run corrects the estimate; a
// probe a second finds out when the worker is fast again. Not thread safe.
bool tryProbe(run_time_estimates &times, const std::string &route, time_point now);

// unmeasuredRunMs returns the run time to assume for a route that the worker has not run yet: the run time at the other
// workers (`typicalMs`, 0 if unknown) or else a share of the time left until the target. Load pattern: when many nodes
// restart under overload, requests reach them late; an estimate from the time left would make a long queue look short,
// and all nodes would send to it. Thread safe.
double unmeasuredRunMs(double typicalMs, double targetLeftMs);

} // namespace pistachioquay
