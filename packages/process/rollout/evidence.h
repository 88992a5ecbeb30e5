// Judges the new version of a service by the outcomes of its requests, compared with those of the other versions.
//
//   countOutcome(evidence, "orders", {.isFailure = false, .isSlow = true});
//   const judgement judged = judge(workers, "v2");
//   if (judged.verdict == rollout_verdict::Bad) ...
//
// Load pattern: a new version fails half of its requests or one in twenty, or takes several times as long, on all
// routes or on one, while single workers of any version fail or are slow for reasons of their own. For each route, and
// for all together, the share of bad outcomes is tested by a sequential probability ratio test (A. Wald, "Sequential
// Tests of Statistical Hypotheses", 1945) against the share of the other versions at the same time; the alternative is
// a mixture of several shares. One worker never convicts a version that has several.
//
// Thread safe.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr std::size_t maxEvidenceRoutes = 64; // routes that one worker's evidence holds
inline constexpr double slowRunFactor = 2.0; // runs beyond this multiple of the typical run time count as slow

// Outcomes of one route at one worker.
struct route_evidence
{
    std::string route;
    std::uint32_t runs = 0;
    std::uint32_t failures = 0; // of these: failed, rejected, lost or unsigned
    std::uint32_t slow = 0; // of these: slower than `slowRunFactor` typical run times

    friend auto operator<=>(const route_evidence &, const route_evidence &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(route, runs, failures, slow);
    }
};

// Outcomes of one worker during one roll-out. The counts only grow while the node's process and its worker stay the
// same, so the newest record of the node replaces older ones.
struct worker_evidence
{
    std::string targetVersion; // of the roll-out that the counts belong to; empty: none
    std::vector<route_evidence> routes;

    friend auto operator<=>(const worker_evidence &, const worker_evidence &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(targetVersion, routes);
    }
};

// isPlausible returns whether a node can have counted the evidence.
bool isPlausible(const worker_evidence &evidence);

struct run_outcome
{
    bool isFailure = false;
    bool isSlow = false;
};

// countOutcome adds the outcome of one run. Routes beyond `maxEvidenceRoutes` are not counted.
void countOutcome(worker_evidence &evidence, std::string_view route, const run_outcome &outcome);

// A worker of the service as a node knows it.
struct observed_worker
{
    std::string nodeId;
    std::string version;
    bool isWarm = false; // no longer slow after its start
    bool isIdle = false; // nothing runs or waits there
    worker_evidence evidence;

    friend auto operator<=>(const observed_worker &, const observed_worker &) = default;
};

enum class rollout_verdict : std::uint8_t
{
    Undecided,
    Good,
    Bad,
};

struct judgement
{
    rollout_verdict verdict = rollout_verdict::Undecided;
    bool leansBad = false; // not convicted, but more than one worker speaks against the version
    double badScore = 0; // logarithm of the largest likelihood ratio that speaks against the version
    std::uint64_t runs = 0; // of the version
    std::uint64_t badRuns = 0; // of these: failed or slow
    std::string reason; // route and test that decided
    std::vector<std::string> suspects; // nodes whose worker of the version looks bad on its own

    friend auto operator<=>(const judgement &, const judgement &) = default;
};

// judge compares the workers of `targetVersion` with all others. Workers that belong to neither side, as those of a
// version that gets no requests, are left out by the caller.
judgement judge(const std::vector<observed_worker> &workers, std::string_view targetVersion);

} // namespace pistachioquay
