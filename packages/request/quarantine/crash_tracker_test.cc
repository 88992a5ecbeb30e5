// Guards against requests that are suspected although no worker crashed, or that never reached it, and against causes
// that are missed because the crash is noticed late.
#include <catch2/catch.hpp>

#include "request/quarantine/crash_tracker.h"

using namespace pistachioquay;

namespace {

constexpr std::int64_t startMs = 1'000'000;

fingerprint requestOf(std::uint64_t number)
{
    return {0, number};
}

void run(crash_tracker &tracker, std::uint64_t number, std::int64_t nowMs = startMs)
{
    const std::string id = std::to_string(number);
    REQUIRE(tryBegin(tracker, id, requestOf(number), nowMs) == run_decision::Run);
    recordSent(tracker, id);
}

bool isSuspect(const crash_tracker &tracker, std::uint64_t number)
{
    return suspicionOf(tracker.quarantine, requestOf(number), startMs) != suspicion::None;
}

} // namespace

TEST_CASE("responses that a living worker loses are no evidence against their requests")
{
    crash_tracker tracker;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        run(tracker, number);
        recordLost(tracker, std::to_string(number), startMs);
    }
    CHECK(tracker.quarantine.reports.empty());
    CHECK(tracker.recentLosses.size() == maxRecentLosses);
    CHECK_FALSE(recordWorkerRestart(tracker, {0, 1}, startMs + lossWindowMs + 1));
}

TEST_CASE("a crash suspects the requests that run and those that were lost shortly before, each once")
{
    crash_tracker tracker;
    run(tracker, 1);
    run(tracker, 2);
    run(tracker, 3);
    complete(tracker, "3", startMs);
    recordLost(tracker, "1", startMs);
    const auto report = recordWorkerCrash(tracker, {0, 1}, startMs + 5);
    REQUIRE(report);
    CHECK(report->suspects == std::vector<suspect>{{requestOf(1)}, {requestOf(2)}});
    CHECK(isReported(tracker, "2"));
    recordLost(tracker, "2", startMs + 6);
    CHECK_FALSE(recordWorkerCrash(tracker, {0, 2}, startMs + 7));
}

TEST_CASE("requests whose connect was refused are no suspects: they never reached the worker")
{
    crash_tracker tracker;
    REQUIRE(tryBegin(tracker, "1", requestOf(1), startMs) == run_decision::Run);
    CHECK_FALSE(recordWorkerCrash(tracker, {0, 1}, startMs));
    run(tracker, 2);
    REQUIRE(recordWorkerCrash(tracker, {0, 2}, startMs));
    CHECK_FALSE(isSuspect(tracker, 1));
    CHECK(isSuspect(tracker, 2));
}

TEST_CASE("a new process of the worker attributes only earlier losses to the end of the one before")
{
    crash_tracker tracker;
    run(tracker, 1);
    recordLost(tracker, "1", startMs);
    run(tracker, 2, startMs + 100);
    REQUIRE(recordWorkerRestart(tracker, {0, 1}, startMs + 100));
    CHECK(isSuspect(tracker, 1));
    CHECK_FALSE(isSuspect(tracker, 2));
}

// A hedged request ran at two workers that were killed together, and was refused as the cause of both crashes.
TEST_CASE("a copy that began before the crash of the other one is no further evidence")
{
    crash_tracker left;
    crash_tracker right;
    run(left, 1);
    run(right, 1);
    const auto first = recordWorkerCrash(left, {0, 1}, startMs);
    REQUIRE(first);
    mergeReports(right.quarantine, std::span(&*first, 1), startMs);
    const auto second = recordWorkerCrash(right, {0, 2}, startMs + 1);
    REQUIRE(second);
    CHECK_FALSE(second->hasIsolated);
    CHECK(crashesOf(right.quarantine, requestOf(1)) == 1);
    CHECK(suspicionOf(right.quarantine, requestOf(1), startMs + 1) == suspicion::Suspect);
}

TEST_CASE("a request that has completed elsewhere is no suspect of a crash that is noticed later")
{
    crash_tracker left;
    crash_tracker right;
    run(left, 1);
    const auto report = recordWorkerCrash(left, {0, 1}, startMs);
    REQUIRE(report);
    run(right, 1);
    recordLost(right, "1", startMs);
    run(left, 1);
    REQUIRE(mergeCrashReports(right, complete(left, "1", startMs + 10), startMs + 10));
    CHECK_FALSE(recordWorkerRestart(right, {0, 2}, startMs + 20));
}

TEST_CASE("a refusal by the worker does not clear a suspect")
{
    crash_tracker tracker;
    run(tracker, 1);
    REQUIRE(recordWorkerCrash(tracker, {0, 1}, startMs));
    abandon(tracker, "1");
    run(tracker, 1);
    abandon(tracker, "1");
    CHECK(isSuspect(tracker, 1));
    run(tracker, 1);
    CHECK(complete(tracker, "1", startMs).size() == 1);
    CHECK_FALSE(isSuspect(tracker, 1));
}
