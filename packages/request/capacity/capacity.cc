#include "request/capacity/capacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

constexpr double typicalWeight = 0.01; // of a run in the typical run of its route, slower than a change of the worker
constexpr std::uint32_t minRouteSamples = 6; // runs of a route before its runs are compared with the typical one
constexpr double levelWeight = 0.05; // of a run in the level and in the mean run time
constexpr double loadRetention = 0.998; // of the fit over load for each run, so that it follows changes
constexpr double minLoadWeight = 30.0; // runs that the fit over load needs
constexpr double minLoadVariance = 0.004; // of the used share of the slots in it
// Runs that would show `usualLoadSlope` and are counted with the others: a few runs, which differ for other reasons, do
// not make a worker look better or worse than an equal one.
constexpr double usualRuns = 200.0;
constexpr double usualVariance = 0.02; // of the used share of the slots in them
constexpr double minTrialRuns = 10.0; // runs that a round of a trial needs
constexpr double minTrialVariance = 0.002; // of the logarithm of the mean number of running requests in it
constexpr double retention = 0.97; // of the runs at the limit for each further one: about the last thirty
// Time for which a limit is in force in a trial, in typical run times: the runs of the other limit end in the first
// one.
constexpr double phaseRuns = 2.0;
constexpr double earlyEndRuns = 1.0; // after which a trial that costs throughput may end
// Bounds of the typical run time in a trial, so that a round neither ends between two events nor outlasts a change of
// the load.
constexpr double minUnitMs = 20.0;
constexpr double maxUnitMs = 1000.0;

struct line
{
    double atZero = 0;
    double slope = 0;
};

void add(line_sums &sums, double x, double y)
{
    sums.weight += 1;
    sums.x += x;
    sums.y += y;
    sums.xx += x * x;
    sums.xy += x * y;
}

void fade(line_sums &sums, double share)
{
    sums.weight *= share;
    sums.x *= share;
    sums.y *= share;
    sums.xx *= share;
    sums.xy *= share;
}

// Returns the least-squares line; empty if there are too few values or x varies too little.
std::optional<line> fitLine(const line_sums &sums, double minWeight, double minVariance)
{
    if (sums.weight < minWeight) {
        return std::nullopt;
    }
    const double meanX = sums.x / sums.weight;
    const double meanY = sums.y / sums.weight;
    const double variance = sums.xx / sums.weight - meanX * meanX;
    if (variance < minVariance) {
        return std::nullopt;
    }
    const double slope = (sums.xy / sums.weight - meanX * meanY) / variance;
    return line{meanY - slope * meanX, slope};
}

void countRunningTime(worker_capacity &capacity, time_point now)
{
    capacity.runningMs += capacity.running * std::max(0.0, msBetween(capacity.runningMsAt, now));
    capacity.runningMsAt = std::max(capacity.runningMsAt, now);
}

double unitMs(const worker_capacity &capacity)
{
    return std::clamp(capacity.meanRunMs, minUnitMs, maxUnitMs);
}

// Returns the run time as multiple of the typical one of the route, and counts a successful run there; empty if too few
// runs of the route are known. The typical run stays as it is during a trial, which compares with it.
std::optional<double> runRatio(worker_capacity &capacity, const run_sample &sample, double ownMs)
{
    const bool isSuccess = sample.end == run_end::Succeeded;
    const auto known = capacity.routes.find(sample.route);
    if (known == capacity.routes.end() && (!isSuccess || capacity.routes.size() >= maxCapacityRoutes)) {
        return std::nullopt;
    }
    typical_run &typical = known == capacity.routes.end() ? capacity.routes[sample.route] : known->second;
    const bool isKnown = typical.samples >= minRouteSamples;
    const double ratio =
        typical.samples == 0 ? 1.0 : std::clamp(ownMs / typical.milliseconds, 1 / maxRunRatio, maxRunRatio);
    if (isSuccess && (!capacity.trial || !isKnown)) {
        const double counted = typical.samples == 0 ? ownMs : ratio * typical.milliseconds;
        const double weight = std::max(typicalWeight, 1.0 / (typical.samples + 1.0));
        typical.milliseconds += weight * (counted - typical.milliseconds);
        typical.samples = std::min(typical.samples + 1, minRouteSamples * 1000);
    }
    return isKnown ? std::optional(ratio) : std::nullopt;
}

void countLevel(worker_capacity &capacity, double ratio, time_point now)
{
    capacity.level += levelWeight * (std::log(ratio) - capacity.level);
    if (capacity.level < std::log(promptingRatio)) {
        capacity.slowSince.reset();
    } else if (!capacity.slowSince) {
        capacity.slowSince = now;
        if (!capacity.trial) {
            capacity.lastRuns = {}; // a trial compares with the worker as it is now
        }
    }
}

std::uint32_t lowestLimit(const worker_capacity &capacity)
{
    return std::max(1U, capacity.reportedSlots / minLimitDivisor);
}

std::uint32_t lowerLimit(const worker_capacity &capacity)
{
    return std::max(lowestLimit(capacity), (capacity.limit + 1) / 2);
}

std::uint32_t higherLimit(const worker_capacity &capacity)
{
    return std::min(capacity.reportedSlots, std::max(capacity.limit + 1, capacity.limit * 3 / 2));
}

bool isSlow(const worker_capacity &capacity, time_point now)
{
    return capacity.slowSince && now - *capacity.slowSince >= promptingDuration;
}

// Returns whether a trial of a lower limit is due. Workers that run well at any load get one seldom.
bool isLowerDue(const worker_capacity &capacity, time_point now)
{
    const bool isPrompted = loadSlope(capacity) >= promptingSlope || capacity.failureShare >= promptingFailureShare;
    return now >= capacity.nextUnpromptedAt || (isPrompted && now >= capacity.lower.nextAt);
}

void beginTrial(worker_capacity &capacity, std::uint32_t tried, time_point now)
{
    capacity.trial = limit_trial{};
    capacity.trial->tried = tried;
    capacity.trial->unitMs = unitMs(capacity);
    capacity.trial->phaseStartedAt = now;
}

void changePhase(worker_capacity &capacity, time_point now)
{
    limit_trial &trial = *capacity.trial;
    trial.isTriedInForce = !trial.isTriedInForce;
    trial.unitMs = unitMs(capacity);
    trial.phaseStartedAt = now;
}

void beginDueTrial(worker_capacity &capacity, time_point now)
{
    const bool isLong = capacity.atLimitSince && msBetween(*capacity.atLimitSince, now) >= unitMs(capacity);
    if (!isLong || now < capacity.warmUpUntil || capacity.meanRunMs <= 0) {
        return;
    }
    const bool hasSlowed = isSlow(capacity, now);
    if (hasSlowed) {
        capacity.slowSince = now; // the next trial for this reason is not before it has lasted for as long again
        capacity.lower = {now};
    }
    const std::uint32_t lower = lowerLimit(capacity);
    if (capacity.limit < capacity.reportedSlots && now >= capacity.higher.nextAt) {
        beginTrial(capacity, higherLimit(capacity), now);
    } else if (lower < capacity.limit && (hasSlowed || isLowerDue(capacity, now))) {
        beginTrial(capacity, lower, now);
    }
}

void extendPause(trial_pause &pause, milliseconds longest, time_point now)
{
    pause.nextAt = now + pause.length;
    pause.length = std::min(pause.length * trialPauseGrowth, longest);
}

limit_change changeLimit(worker_capacity &capacity, std::uint32_t to, double elasticity)
{
    return {std::exchange(capacity.limit, to), to, elasticity};
}

// Makes the present run times the typical ones: a slowdown that has no better limit is no reason for further trials.
void acceptLevel(worker_capacity &capacity)
{
    const double ratio = std::exp(capacity.level);
    for (auto &[route, typical] : capacity.routes) {
        typical.milliseconds *= ratio;
    }
    capacity.level = 0;
    capacity.slowSince.reset();
}

// Returns the elasticity of the time for each successful run to the number of running requests; empty if there was too
// little load to tell.
std::optional<double> elasticityOf(const runs_at_limit &runs)
{
    const auto time = fitLine(runs.times, minTrialRuns, minTrialVariance);
    const auto success = fitLine(runs.successes, minTrialRuns, minTrialVariance);
    if (!time || !success || runs.successes.y <= 0) {
        return std::nullopt;
    }
    return time->slope - success->slope * runs.successes.weight / runs.successes.y;
}

// Returns whether the runs of a lower limit already show that it completes less.
bool isInVain(const worker_capacity &capacity)
{
    const auto elasticity = elasticityOf(capacity.lastRuns);
    return capacity.trial->isTriedInForce && capacity.trial->tried < capacity.limit && elasticity
        && *elasticity < vainElasticity;
}

// Ends a round of the trial: another round, the tried limit, or the limit as it was.
std::optional<limit_change> endRound(worker_capacity &capacity, time_point now)
{
    const limit_trial trial = *capacity.trial;
    const bool isLower = trial.tried < capacity.limit;
    trial_pause &pause = isLower ? capacity.lower : capacity.higher;
    const auto elasticity = elasticityOf(std::exchange(capacity.lastRuns, {}));
    if (!elasticity) {
        capacity.trial.reset();
        pause.nextAt = now + pause.length;
        capacity.nextUnpromptedAt = std::max(capacity.nextUnpromptedAt, pause.nextAt);
        return std::nullopt;
    }
    const bool isAccepted =
        isLower ? *elasticity >= equalThroughputElasticity : *elasticity < equalThroughputElasticity;
    const bool isClear = *elasticity >= clearElasticity;
    if (isAccepted && isLower && !isClear && trial.agreed + 1 < agreeingRounds) {
        ++capacity.trial->agreed;
        changePhase(capacity, now);
        return std::nullopt;
    }
    capacity.trial.reset();
    if (!isAccepted) {
        extendPause(pause, isLower ? maxLowerPause : maxHigherPause, now);
        acceptLevel(capacity);
        capacity.nextUnpromptedAt = now + unpromptedTrialInterval;
        return std::nullopt;
    }
    // The same direction is tried again at once, the other one after a pause.
    capacity.lower = {isLower ? now : now + minTrialPause};
    capacity.higher = {isLower ? now + minTrialPause : now};
    capacity.nextUnpromptedAt = isLower ? now : now + unpromptedTrialInterval;
    return changeLimit(capacity, trial.tried, *elasticity);
}

} // namespace

void setReportedSlots(worker_capacity &capacity, std::uint32_t slots, time_point now)
{
    const std::uint32_t reported = std::max(1U, slots);
    if (reported == capacity.reportedSlots) {
        return;
    }
    const bool wasFull = capacity.limit == capacity.reportedSlots;
    capacity.reportedSlots = reported;
    capacity.limit = wasFull ? reported : std::clamp(capacity.limit, lowestLimit(capacity), reported);
    capacity.trial.reset();
    capacity.lastRuns = {};
    capacity.load = {};
    capacity.lastAtLimit = now;
}

void resetCapacity(worker_capacity &capacity, time_point warmUpUntil, time_point now)
{
    countRunningTime(capacity, now);
    worker_capacity fresh;
    fresh.reportedSlots = fresh.limit = capacity.reportedSlots;
    fresh.running = capacity.running;
    fresh.runningMs = capacity.runningMs;
    fresh.runningMsAt = capacity.runningMsAt;
    fresh.warmUpUntil = std::max(warmUpUntil, now);
    fresh.lastAtLimit = now;
    capacity = std::move(fresh);
}

run_start beginRun(worker_capacity &capacity, time_point now)
{
    countRunningTime(capacity, now);
    ++capacity.running;
    return {now, capacity.runningMs, capacity.running, capacity.running >= slotsInForce(capacity)};
}

void endRun(worker_capacity &capacity, const run_sample &sample, time_point now)
{
    countRunningTime(capacity, now);
    capacity.running -= std::min(capacity.running, 1U);
    const double tookMs = msBetween(sample.start.at, now);
    if (sample.end == run_end::Ignored || tookMs <= 0 || sample.start.at < capacity.warmUpUntil) {
        return;
    }
    if (sample.end == run_end::Succeeded) {
        capacity.meanRunMs += (capacity.meanRunMs > 0 ? levelWeight : 1.0) * (tookMs - capacity.meanRunMs);
    }
    const double slowdown = std::isfinite(sample.slowdown) && sample.slowdown > 0 ? sample.slowdown : 1.0;
    const auto ratio = runRatio(capacity, sample, tookMs / slowdown);
    if (!ratio) {
        return;
    }
    const bool isSuccess = sample.end == run_end::Succeeded;
    capacity.failureShare += levelWeight * ((isSuccess ? 0.0 : 1.0) - capacity.failureShare);
    if (isSuccess) {
        countLevel(capacity, *ratio, now);
        fade(capacity.load, loadRetention);
        add(capacity.load, static_cast<double>(sample.start.running) / capacity.reportedSlots, *ratio);
    }
    if (sample.start.isAtLimit) {
        const double running = std::log(std::max(1.0, (capacity.runningMs - sample.start.runningMs) / tookMs));
        if (!capacity.trial || !capacity.trial->isTriedInForce) {
            fade(capacity.lastRuns.times, retention);
            fade(capacity.lastRuns.successes, retention);
        }
        add(capacity.lastRuns.times, running, std::log(*ratio));
        add(capacity.lastRuns.successes, running, isSuccess ? 1.0 : 0.0);
    }
}

std::optional<limit_change> advance(worker_capacity &capacity, std::size_t waiting, time_point now)
{
    if (waiting == 0) {
        capacity.atLimitSince.reset();
    } else {
        capacity.atLimitSince = capacity.atLimitSince.value_or(now);
        capacity.lastAtLimit = now;
    }
    if (capacity.trial) {
        const double elapsedRuns = msBetween(capacity.trial->phaseStartedAt, now) / capacity.trial->unitMs;
        if (elapsedRuns < phaseRuns && !(elapsedRuns >= earlyEndRuns && isInVain(capacity))) {
            return std::nullopt;
        }
        if (capacity.trial->isTriedInForce) {
            return endRound(capacity, now);
        }
        changePhase(capacity, now);
        return std::nullopt;
    }
    if (capacity.limit < capacity.reportedSlots && now - capacity.lastAtLimit >= unusedLimitExpiry) {
        capacity.lastAtLimit = now;
        return changeLimit(capacity, higherLimit(capacity), 0);
    }
    beginDueTrial(capacity, now);
    return std::nullopt;
}

std::uint32_t slotsInForce(const worker_capacity &capacity)
{
    return capacity.trial && capacity.trial->isTriedInForce ? capacity.trial->tried : capacity.limit;
}

double loadSlope(const worker_capacity &capacity)
{
    const line_sums &sums = capacity.load;
    if (!fitLine(sums, minLoadWeight, minLoadVariance)) {
        return 0;
    }
    const double meanX = sums.x / sums.weight;
    const double meanY = sums.y / sums.weight;
    // At the mean of the runs, the usual line has the same run time.
    const double usual = meanY * usualLoadSlope / (1 + usualLoadSlope * meanX);
    const double usualSpread = usualRuns * usualVariance;
    const double slope = (sums.xy - meanX * sums.y + usualSpread * usual) / (sums.xx - meanX * sums.x + usualSpread);
    const double atZero = meanY - slope * meanX;
    // A line that is not positive at the idle worker grows without bound.
    return std::clamp(atZero > 0 ? slope / atZero : maxLoadSlope, minLoadSlope, maxLoadSlope);
}

} // namespace pistachioquay
