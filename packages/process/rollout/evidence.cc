#include "process/rollout/evidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <span>

namespace pistachioquay {

namespace {

constexpr std::size_t maxEvidenceNameBytes = 256; // longest name of a route or a version
// Error probabilities of the sequential test, as logarithms of the likelihood ratio that decides.
const double badThreshold = std::log(1000.0); // a good version is convicted in one of 1000 tests
const double otherWorkersThreshold = std::log(8.0); // without the worker that speaks most against the version
const double goodThreshold = -std::log(20.0); // a bad version is acquitted in one of 20 tests
const double leaningThreshold = std::log(20.0); // score that counts against a version when its time is nearly up
const double doubtThreshold = std::log(3.0); // score from which a route is in doubt
constexpr std::uint32_t minWorkerRuns = 10; // runs from which the share of a single worker says something
constexpr double otherWorkersQuantile = 0.8; // shares of the other workers up to which a share is usual
constexpr double priorRuns = 50.0; // weight of the usual share while the other versions have few runs
constexpr std::string_view allRoutes = "all routes"; // a small share of failures shows first in their sum
constexpr double maxUsualShare = 0.9; // above it no test can tell versions apart

// What is counted as bad, and by how much a bad version exceeds the usual share.
struct test_kind
{
    std::string_view name;
    std::uint32_t route_evidence::*count;
    double minUsualShare;
    double tolerance; // by which shares of versions may differ for other reasons, such as the speed of their VMs
    std::span<const double> excess; // ascending; the first is the smallest that must be found
};

// The smallest share of failures that must be found is one in twenty, with a usual share of one in a hundred.
constexpr std::array<double, 3> failureExcess = {0.04, 0.15, 0.45};
constexpr std::array<double, 2> slowExcess = {0.1, 0.4};
const std::array<test_kind, 2> testKinds = {
    test_kind{"failures", &route_evidence::failures, 0.01, 0.0, failureExcess},
    test_kind{"slow", &route_evidence::slow, 0.05, 0.05, slowExcess},
};

// Runs and bad outcomes of one route.
struct tally
{
    double runs = 0;
    double bad = 0;
};

tally operator+(const tally &left, const tally &right)
{
    return {left.runs + right.runs, left.bad + right.bad};
}

tally operator-(const tally &left, const tally &right)
{
    return {left.runs - right.runs, left.bad - right.bad};
}

double logRatio(const tally &counted, double usual, double excess)
{
    const double raised = usual + excess * (1.0 - usual);
    return counted.bad * std::log(raised / usual)
        + (counted.runs - counted.bad) * std::log((1.0 - raised) / (1.0 - usual));
}

// Returns the logarithm of the likelihood ratio of the mixture of all alternatives.
double mixtureLogRatio(const tally &counted, double usual, std::span<const double> excess)
{
    std::vector<double> ratios;
    std::ranges::transform(excess, std::back_inserter(ratios), [&](double each) {
        return logRatio(counted, usual, each);
    });
    const double largest = std::ranges::max(ratios);
    const double sum = std::accumulate(ratios.begin(), ratios.end(), 0.0, [&](double total, double ratio) {
        return total + std::exp(ratio - largest);
    });
    return largest + std::log(sum / static_cast<double>(ratios.size()));
}

using worker_tallies = std::map<std::string, tally>; // by node id

// Returns the share that is usual among the other workers: the pooled one, or that of a rather bad single worker.
double usualShare(const worker_tallies &others, const test_kind &kind)
{
    tally pooled{priorRuns, priorRuns * kind.minUsualShare};
    std::vector<double> shares;
    for (const auto &[node, counted] : others) {
        pooled = pooled + counted;
        if (counted.runs >= minWorkerRuns) {
            shares.push_back(counted.bad / counted.runs);
        }
    }
    double usual = pooled.bad / pooled.runs;
    if (!shares.empty()) {
        const auto index = static_cast<std::ptrdiff_t>(static_cast<double>(shares.size() - 1) * otherWorkersQuantile);
        std::ranges::nth_element(shares, shares.begin() + index);
        usual = std::max(usual, shares[static_cast<std::size_t>(index)]);
    }
    return std::clamp(usual + kind.tolerance, kind.minUsualShare, maxUsualShare);
}

struct route_tallies
{
    worker_tallies target;
    worker_tallies others;
};

std::map<std::string, route_tallies>
talliesByRoute(const std::vector<observed_worker> &workers, std::string_view targetVersion, const test_kind &kind)
{
    std::map<std::string, route_tallies> routes;
    for (const observed_worker &worker : workers) {
        for (const route_evidence &each : worker.evidence.routes) {
            const tally counted{static_cast<double>(each.runs), static_cast<double>(each.*kind.count)};
            for (const std::string &name : {each.route, std::string(allRoutes)}) {
                route_tallies &route = routes[name];
                tally &sum = (worker.version == targetVersion ? route.target : route.others)[worker.nodeId];
                sum = sum + counted;
            }
        }
    }
    return routes;
}

} // namespace

bool isPlausible(const worker_evidence &evidence)
{
    return evidence.targetVersion.size() <= maxEvidenceNameBytes && evidence.routes.size() <= maxEvidenceRoutes
        && std::ranges::all_of(evidence.routes, [](const route_evidence &each) {
               return each.route.size() <= maxEvidenceNameBytes && each.failures <= each.runs && each.slow <= each.runs;
           });
}

void countOutcome(worker_evidence &evidence, std::string_view route, const run_outcome &outcome)
{
    auto found = std::ranges::find(evidence.routes, route, &route_evidence::route);
    if (found == evidence.routes.end()) {
        if (evidence.routes.size() >= maxEvidenceRoutes || route.size() > maxEvidenceNameBytes) {
            return;
        }
        found = evidence.routes.insert(found, {.route = std::string(route)});
    }
    ++found->runs;
    found->failures += outcome.isFailure ? 1 : 0;
    found->slow += outcome.isSlow ? 1 : 0;
}

judgement judge(const std::vector<observed_worker> &workers, std::string_view targetVersion)
{
    judgement judged;
    const auto targetWorkers = std::ranges::count(workers, targetVersion, &observed_worker::version);
    bool isGood = true;
    for (const test_kind &kind : testKinds) {
        double acquittal = 0;
        for (const auto &[route, counted] : talliesByRoute(workers, targetVersion, kind)) {
            const double usual = usualShare(counted.others, kind);
            tally pooled;
            tally worst;
            double worstScore = 0;
            for (const auto &[node, each] : counted.target) {
                pooled = pooled + each;
                const double score = mixtureLogRatio(each, usual, kind.excess);
                if (score > worstScore) {
                    worstScore = score;
                    worst = each;
                }
                if (score > otherWorkersThreshold
                    && std::ranges::find(judged.suspects, node) == judged.suspects.end()) {
                    judged.suspects.push_back(node);
                }
            }
            // A route on which the other versions have run less says nothing: all of its requests may end so.
            const auto others = std::accumulate(counted.others.begin(),
                                                counted.others.end(),
                                                tally{},
                                                [](const tally &sum, const auto &item) {
                                                    return sum + item.second;
                                                });
            if (route != allRoutes && others.runs < pooled.runs) {
                continue;
            }
            const double score = mixtureLogRatio(pooled, usual, kind.excess);
            const bool isShared =
                targetWorkers <= 1 || mixtureLogRatio(pooled - worst, usual, kind.excess) > otherWorkersThreshold;
            if (score > judged.badScore) {
                judged.badScore = score;
                judged.reason = std::string(kind.name) + " on " + route;
            }
            judged.leansBad = judged.leansBad || (score > leaningThreshold && isShared);
            if (score > badThreshold && isShared) {
                judged.verdict = rollout_verdict::Bad;
                judged.reason = std::string(kind.name) + " on " + route;
                judged.badScore = score;
            }
            if (route == allRoutes) {
                acquittal = logRatio(pooled, usual, kind.excess.front());
                judged.runs = static_cast<std::uint64_t>(pooled.runs);
                judged.badRuns += static_cast<std::uint64_t>(pooled.bad);
            }
        }
        isGood = isGood && acquittal < goodThreshold;
    }
    // A single route that is likely bad is not outweighed by the others.
    if (judged.verdict != rollout_verdict::Bad && isGood && judged.badScore < doubtThreshold) {
        judged.verdict = rollout_verdict::Good;
    }
    return judged;
}

} // namespace pistachioquay
