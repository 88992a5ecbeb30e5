// Learns how many requests the own worker runs well, and how its run times grow with the number of running requests.
//
//   worker_capacity capacity;
//   setReportedSlots(capacity, 18, now);
//   const run_start start = beginRun(capacity, now);
//   ...
//   endRun(capacity, {start, "orders", run_end::Succeeded, slowdown}, now);
//   if (const auto change = advance(capacity, queue.waiting.size(), now)) log(*change);
//   queue.slots = slotsInForce(capacity);
//
// Load pattern: workers slow down long before all their slots are in use, and the point at which they do moves. More
// running requests than the worker runs well lower its throughput. Therefore
// - the limit is lowered only if the worker completes at least as much in the same time with fewer running requests:
//   otherwise a request that waits at the node for a slot ends no sooner than one that the worker runs;
// - this is decided by trials while requests wait: the node runs fewer requests (or more) for a moment and compares.
//   Outside trials the run times say little, since a worker that is slow for another reason also has more requests
//   running, by Little's law (J. D. C. Little, "A Proof for the Queuing Formula L = lambda W", 1961);
// - a run is compared with the typical run of its route, and a long one counts as at most `maxRunRatio`, so that
//   neither a mix of routes nor a heavy tail moves the limit;
// - the criterion is the elasticity of the time for each successful run to the number of running requests. Throughput
// is
//   the number divided by the time, so it falls with more running requests exactly if the elasticity exceeds 1. A
//   dependency that is slow at any number of running requests gives an elasticity near 0;
// - a lower limit needs two rounds of a trial that agree unless the first is clear, a higher one needs one round, and a
// limit that is not reached is raised in
//   time: the limit does not drift down.
//
// The functions operate on the state of one event loop and are not thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr std::uint32_t minLimitDivisor = 8; // floor of the limit, as part of the reported slots
inline constexpr double maxRunRatio = 4.0; // longest counted run, as multiple of the typical run of its route
// Of two limits the lower one is kept from this elasticity on. It is less than 1 so that the lower one is kept also if
// both give the same throughput and the measurement varies.
inline constexpr double equalThroughputElasticity = 0.9;
inline constexpr double vainElasticity = 0.45; // below it a trial of a lower limit ends early: it loses throughput
inline constexpr unsigned agreeingRounds = 2; // a disturbance of one round of a trial does not lower the limit
// From here on one round lowers the limit: half as many running requests would have to be three times as fast by
// chance.
inline constexpr double clearElasticity = 1.6;
inline constexpr milliseconds minTrialPause{2000}; // between trials in one direction; grows with each in vain
inline constexpr int trialPauseGrowth = 4;
// A trial of a lower limit that is rejected has cost throughput. A change of the worker ends the pause.
inline constexpr milliseconds maxLowerPause{60'000};
inline constexpr milliseconds maxHigherPause{4000}; // a worker that has recovered is used again within this time
inline constexpr milliseconds unpromptedTrialInterval{60'000}; // of trials of a lower limit without a sign for it
inline constexpr milliseconds unusedLimitExpiry{10'000}; // a limit that was not reached for this long is raised
// A worker that takes twice as long when full gives reason for a trial.
inline constexpr double promptingSlope = 1.0;
inline constexpr double promptingFailureShare = 0.1; // so does this share of failed runs
inline constexpr double promptingRatio = 1.3; // and so do runs of this multiple of the typical ones
inline constexpr milliseconds promptingDuration{800}; // if they last for this long, longer than a passing disturbance
inline constexpr std::size_t maxCapacityRoutes = 4096; // bounds the memory; runs of further routes are not counted
inline constexpr double usualLoadSlope = 0.25; // assumed until runs show another one
inline constexpr double maxLoadSlope = 4.0;
inline constexpr double minLoadSlope = 0.01; // reported for a worker whose run times do not grow; 0 means not known

// How a run ended.
enum class run_end : std::uint8_t
{
    Succeeded,
    Failed, // by the worker: an error, no response, or a refusal to run the request
    Ignored, // says nothing about the worker: cancelled, or not sent
};

// A run that has begun.
struct run_start
{
    time_point at;
    double runningMs = 0; // `worker_capacity::runningMs` at the start
    std::uint32_t running = 0; // running requests, with this one
    bool isAtLimit = false; // as many as were allowed

    friend bool operator==(const run_start &, const run_start &) = default;
};

struct run_sample
{
    run_start start;
    std::string route;
    run_end end = run_end::Ignored;
    double slowdown = 1.0; // of the VM by others, as the worker reported it; 1 if it reports none

    friend bool operator==(const run_sample &, const run_sample &) = default;
};

// Weighted sums of a straight-line fit of y over x.
struct line_sums
{
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    friend bool operator==(const line_sums &, const line_sums &) = default;
};

// Runs while as many as allowed were running.
struct runs_at_limit
{
    line_sums times; // logarithm of the run ratio over that of the mean number of running requests
    line_sums successes; // share of successful runs over the same

    friend bool operator==(const runs_at_limit &, const runs_at_limit &) = default;
};

// A trial of another limit. `tried` is in force for a moment; if the result has to be confirmed, the limit is in force
// again, and then `tried`.
struct limit_trial
{
    std::uint32_t tried = 0;
    bool isTriedInForce = true;
    unsigned agreed = 0; // rounds that spoke for `tried`
    double unitMs = 0; // typical run time when the phase began
    time_point phaseStartedAt;

    friend bool operator==(const limit_trial &, const limit_trial &) = default;
};

struct typical_run
{
    double milliseconds = 0;
    std::uint32_t samples = 0;

    friend bool operator==(const typical_run &, const typical_run &) = default;
};

struct trial_pause
{
    time_point nextAt;
    milliseconds length = minTrialPause;

    friend bool operator==(const trial_pause &, const trial_pause &) = default;
};

struct worker_capacity
{
    std::uint32_t reportedSlots = 1;
    std::uint32_t limit = 1; // learned; at most `reportedSlots`
    std::uint32_t running = 0;
    double runningMs = 0; // integral of `running` over time
    time_point runningMsAt;
    time_point warmUpUntil; // runs that began before say nothing about the warm worker
    std::unordered_map<std::string, typical_run> routes;
    double meanRunMs = 0; // over all routes
    double level = 0; // mean logarithm of the run ratios of the last runs
    std::optional<time_point> slowSince; // `level` has been high since
    double failureShare = 0; // of the last runs
    line_sums load; // run ratio over the used share of the reported slots
    std::optional<time_point> atLimitSince; // requests have waited since
    time_point lastAtLimit;
    runs_at_limit lastRuns; // the last ones with the limit in force, and those of the trial
    std::optional<limit_trial> trial;
    trial_pause lower;
    trial_pause higher;
    time_point nextUnpromptedAt;
};

struct limit_change
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    double elasticity = 0; // that decided; 0 if the limit was raised because it was not reached

    friend bool operator==(const limit_change &, const limit_change &) = default;
};

// setReportedSlots sets the number of slots that the worker reports, at least 1. The limit keeps its value within it; a
// limit that equals the reported slots stays equal.
void setReportedSlots(worker_capacity &capacity, std::uint32_t slots, time_point now);

// resetCapacity forgets what was learned, after the worker was replaced. Runs that have begun stay counted, but are
// not learned from, as those that begin before `warmUpUntil`.
void resetCapacity(worker_capacity &capacity, time_point warmUpUntil, time_point now);

// beginRun counts a run that begins.
run_start beginRun(worker_capacity &capacity, time_point now);

// endRun counts a run that has ended. Each `beginRun` needs exactly one.
void endRun(worker_capacity &capacity, const run_sample &sample, time_point now);

// advance begins, continues and ends trials, and returns the change of the limit if there is one. `waiting` is the
// number of requests that wait for a slot. To be called when a run ends and when a request begins to wait.
std::optional<limit_change> advance(worker_capacity &capacity, std::size_t waiting, time_point now);

// slotsInForce returns the number of requests that may run now: the limit, or the one that is tried.
std::uint32_t slotsInForce(const worker_capacity &capacity);

// loadSlope returns the growth of run times from an idle worker to one with all reported slots in use, as share of the
// run time at the idle one, from `minLoadSlope` to `maxLoadSlope`; 0 if not known.
double loadSlope(const worker_capacity &capacity);

} // namespace pistachioquay
