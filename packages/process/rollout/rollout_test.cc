// Guards against a bad version that gets more than its share, a good one that is not completed in time, two nodes that
// end a roll-out differently, and a version that comes back after it was taken back.
#include <catch2/catch.hpp>

#include <algorithm>

#include "process/rollout/rollout.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};
constexpr milliseconds orderTime{15000};
const rollout_order toV2{"orders", "v2", orderTime, {1, 7}, true};

rollout_state makeState()
{
    rollout_state state;
    state.limits = rollout_limits{0.1, milliseconds(2000)};
    return state;
}

std::vector<observed_worker> makeWorkers(unsigned old, unsigned added, bool isWarm = true)
{
    std::vector<observed_worker> workers;
    for (unsigned index = 0; index < old; ++index) {
        workers.push_back({"old" + std::to_string(index), "v1", true, true});
    }
    for (unsigned index = 0; index < added; ++index) {
        workers.push_back({"new" + std::to_string(index), "v2", isWarm, true});
    }
    return workers;
}

std::ptrdiff_t
countPool(rollout_state &state, const std::vector<observed_worker> &workers, worker_pool pool, time_point now)
{
    return std::ranges::count(assignPools(state, "orders", workers, now), pool);
}

// Lets the workers of a version run requests of which each `badEvery`th fails; 0: none does.
void runRequests(std::vector<observed_worker> &workers, std::string_view version, unsigned runs, unsigned badEvery)
{
    for (observed_worker &worker : workers) {
        for (unsigned run = 1; worker.version == version && run <= runs; ++run) {
            countOutcome(worker.evidence, "list", {badEvery > 0 && run % badEvery == 0, false});
        }
    }
}

std::vector<observed_worker> comparedWorkers(unsigned runs, unsigned badEvery)
{
    std::vector<observed_worker> workers = makeWorkers(10, 10);
    runRequests(workers, "v1", 200, 100);
    runRequests(workers, "v2", runs, badEvery);
    return workers;
}

known_rollout startedRollout()
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    return state.services.at("orders");
}

} // namespace

TEST_CASE("a deployment without roll-outs ignores versions and orders")
{
    rollout_state state;
    CHECK_FALSE(applyOrder(state, toV2, start));
    CHECK(countPool(state, makeWorkers(2, 2), worker_pool::Usual, start) == 4);
    random_generator generator(1);
    CHECK_FALSE(drawTrial(state, "orders", generator));
}

TEST_CASE("workers of a second version get nothing until an order would have arrived")
{
    rollout_state state = makeState();
    assignPools(state, "orders", makeWorkers(3, 0), start);
    const auto both = makeWorkers(3, 2);
    CHECK(countPool(state, both, worker_pool::Held, start + milliseconds(100)) == 2);
    CHECK(countPool(state, both, worker_pool::Usual, start + milliseconds(2200)) == 5);
}

TEST_CASE("only as many warm workers are on trial as the share keeps under the usual load, the same at all nodes")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    CHECK(countPool(state, makeWorkers(43, 43, false), worker_pool::Trial, start) == 0);
    auto workers = makeWorkers(43, 43);
    CHECK(countPool(state, workers, worker_pool::Trial, start) == 3);
    CHECK(countPool(state, workers, worker_pool::Usual, start) == 43);
    const std::set<std::string> chosen = state.services.at("orders").trialNodes;
    std::ranges::reverse(workers);
    assignPools(state, "orders", workers, start);
    CHECK(state.services.at("orders").trialNodes == chosen);
    state.services.at("orders").suspects = {*chosen.begin()};
    assignPools(state, "orders", workers, start);
    CHECK_FALSE(state.services.at("orders").trialNodes.contains(*chosen.begin()));
}

TEST_CASE("the sum over all nodes keeps the exposure, also where each node has few requests")
{
    CHECK(holds("exposure", 100, [](const std::vector<std::uint8_t> &requestsByNode) {
        random_generator generator(requestsByNode.size());
        std::uint64_t requests = 0;
        std::uint64_t exposed = 0;
        for (const std::uint8_t count : requestsByNode) {
            rollout_state state = makeState();
            applyOrder(state, toV2, start);
            assignPools(state, "orders", makeWorkers(10, 10), start);
            for (unsigned sent = 0; sent < count; ++sent) {
                ++requests;
                exposed += drawTrial(state, "orders", generator) ? 1 : 0;
            }
        }
        const double share = 0.1 * trialShareOfExposure;
        RC_ASSERT(static_cast<double>(exposed) <= share * static_cast<double>(requests) + 0.6 * 200);
    }));
}

TEST_CASE("requests that could not be tried do not accumulate into a burst")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    assignPools(state, "orders", makeWorkers(10, 10), start);
    random_generator generator(1);
    for (unsigned sent = 0; sent < 1000; ++sent) {
        if (drawTrial(state, "orders", generator)) {
            returnTrial(state, "orders");
        }
    }
    unsigned drawn = 0;
    for (unsigned sent = 0; sent < 10; ++sent) {
        drawn += drawTrial(state, "orders", generator) ? 1 : 0;
    }
    CHECK(drawn <= 2);
}

TEST_CASE("a good version is shifted in steps and completed with a margin before its time")
{
    known_rollout rollout = startedRollout();
    auto workers = comparedWorkers(100, 0);
    CHECK_FALSE(decide(rollout, workers, 0, start + orderTime * 4 / 10)); // it could still turn bad late
    time_point now = start + orderTime / 2;
    auto change = decide(rollout, workers, 0, now);
    REQUIRE(change);
    CHECK(change->phase == rollout_phase::Shifting);
    applyChange(rollout, *change, now);
    CHECK_FALSE(decide(rollout, workers, 0, now + milliseconds(100)));
    now += orderTime / 10;
    change = decide(rollout, workers, 0, now);
    REQUIRE(change);
    CHECK(change->phase == rollout_phase::Shifted);
    applyChange(rollout, *change, now);
    now += settleTime;
    workers.front().isIdle = false;
    CHECK_FALSE(recordableEnd(rollout, workers, 0, now)); // completing would end a request of the old worker
    workers.front().isIdle = true;
    CHECK(recordableEnd(rollout, workers, 0, now) == rollout_phase::Completed);
    CHECK(now < start + orderTime - milliseconds(1500));
}

TEST_CASE("a version that is bad at once is taken back by any node at once, and one that turns bad late by evidence")
{
    known_rollout rollout = startedRollout();
    const auto change = decide(rollout, comparedWorkers(10, 2), 60, start + seconds(4));
    REQUIRE(change);
    CHECK(change->phase == rollout_phase::RollingBack);
    known_rollout late = startedRollout();
    auto workers = comparedWorkers(60, 0);
    CHECK_FALSE(decide(late, workers, 0, start + seconds(6)));
    runRequests(workers, "v2", 10, 2);
    CHECK(decide(late, workers, 0, start + seconds(7)) == decide(late, workers, 0, start + seconds(7)));
    REQUIRE(decide(late, workers, 0, start + seconds(7)));
    CHECK(decide(late, workers, 0, start + seconds(7))->phase == rollout_phase::RollingBack);
}

TEST_CASE("a version that gets all requests is taken back for many failures, not for a few more than before")
{
    known_rollout rollout = startedRollout();
    applyChange(rollout, {rollout_phase::Shifted, ""}, start + seconds(9));
    CHECK_FALSE(decide(rollout, comparedWorkers(300, 12), 0, start + seconds(10)));
    REQUIRE(decide(rollout, comparedWorkers(300, 2), 0, start + seconds(10)));
}

TEST_CASE("with few requests, time decides: against a version that leans bad, for another, against one without workers")
{
    const time_point late = start + orderTime * 61 / 100;
    known_rollout few = startedRollout();
    CHECK(decide(few, comparedWorkers(1, 0), 0, late)->phase == rollout_phase::Shifting);
    known_rollout none = startedRollout();
    CHECK_FALSE(decide(none, makeWorkers(10, 0), 0, late));
    const auto change = decide(none, makeWorkers(10, 0), 0, start + orderTime * 91 / 100);
    REQUIRE(change);
    CHECK(change->phase == rollout_phase::RollingBack);
}

TEST_CASE("after a roll-back the version gets nothing, also if it is all that is left or is ordered again")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    applyChange(state.services.at("orders"), {rollout_phase::RollingBack, "bad"}, start);
    CHECK(countPool(state, makeWorkers(3, 3), worker_pool::Held, start) == 3);
    CHECK(countPool(state, makeWorkers(0, 3), worker_pool::Held, start) == 3);
    rollout_order again = toV2;
    again.position = {1, 9};
    applyOrder(state, again, start);
    CHECK(state.services.at("orders").record.phase == rollout_phase::RollingBack);
}

TEST_CASE("once shifted, old workers get nothing, unless the new ones are gone before the roll-out is completed")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    applyChange(state.services.at("orders"), {rollout_phase::Shifted, ""}, start);
    CHECK(countPool(state, makeWorkers(3, 2), worker_pool::Usual, start) == 2);
    CHECK(countPool(state, makeWorkers(3, 0), worker_pool::Usual, start) == 3);
    applyChange(state.services.at("orders"), {rollout_phase::Completed, ""}, start);
    CHECK(countPool(state, makeWorkers(3, 0), worker_pool::Held, start) == 3);
}

TEST_CASE("a second order replaces the first, whose version gets nothing unless it had completed")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    rollout_order toV3 = toV2;
    toV3.targetVersion = "v3";
    toV3.position = {1, 8};
    CHECK(applyOrder(state, toV3, start));
    CHECK(countPool(state, makeWorkers(3, 2), worker_pool::Held, start) == 2);
    CHECK_FALSE(applyOrder(state, toV2, start)); // an older order that arrives late
    rollout_order back = toV2;
    back.position = {1, 9};
    CHECK(applyOrder(state, back, start));
    CHECK(state.services.at("orders").record.heldVersions == std::vector<std::string>{"v3"});
}

// Guards against an order that is never carried out, because the store gave its offset out before it came back from a
// copy.
TEST_CASE("an order that was written after a return of the store replaces the one of before, whatever its offset")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    const std::uint64_t offset = GENERATE(0U, 6U, 7U, 8U);
    CHECK(applyOrder(state, {"orders", "v3", orderTime, {2, offset}, true}, start));
    CHECK(state.services.at("orders").record.targetVersion == "v3");
    CHECK_FALSE(applyOrder(state, toV2, start));
}

// Guards against an order that comes back from the copy and takes the place of the one that replaced it.
TEST_CASE("until lost orders are written again, no other order takes the place of one of before the return")
{
    const boot_time returnedAt{std::chrono::hours(5)};
    store_eras eras;
    recordEra(eras, 1, returnedAt, returnedAt);
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    const rollout_record fromCopy = toRecord({"orders", "v1", orderTime, {2, 3}, false});
    CHECK_FALSE(isInDoubt(state, fromCopy, eras, returnedAt)); // no return is known
    recordEra(eras, 2, returnedAt, returnedAt);
    CHECK(isInDoubt(state, fromCopy, eras, returnedAt + rewriteTime - milliseconds(1)));
    CHECK_FALSE(isInDoubt(state, toRecord({"shop", "v1", orderTime, {2, 3}, false}), eras, returnedAt));
    // The known order is written again: it keeps its phase, and the one of the copy is older.
    applyChange(state.services.at("orders"), {rollout_phase::RolledBack, "bad"}, start);
    const rollout_order again{"orders", "v2", orderTime, {2, 4}, true};
    CHECK_FALSE(isInDoubt(state, toRecord(again), eras, returnedAt));
    CHECK(applyOrder(state, again, start));
    CHECK_FALSE(mergeRollout(state, fromCopy, start));
    CHECK(state.services.at("orders").record.phase == rollout_phase::RolledBack);
    // A further one is carried out at once.
    const rollout_order toV3{"orders", "v3", orderTime, {2, 5}, true};
    CHECK_FALSE(isInDoubt(state, toRecord(toV3), eras, returnedAt));
    CHECK(applyOrder(state, toV3, start));
}

TEST_CASE("what the store showed of a roll-out before a return, it has to show again")
{
    const boot_time returnedAt{std::chrono::hours(5)};
    store_eras eras;
    recordEra(eras, 1, returnedAt, returnedAt);
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    rollout_record &record = state.services.at("orders").record;
    CHECK_FALSE(isAnnouncedIn(record, eras));
    recordAnnounced(record, 1);
    CHECK(isAnnouncedIn(record, eras));
    const rollout_record before = record;
    recordEra(eras, 2, returnedAt, returnedAt);
    CHECK_FALSE(isAnnouncedIn(record, eras));
    recordAnnounced(record, 2);
    CHECK_FALSE(mergeRollout(state, before, start)); // a node that has not noticed the return
    CHECK(isAnnouncedIn(state.services.at("orders").record, eras));
}

TEST_CASE("copies of a roll-out converge on the same phase in any order of arrival, and never leave an end")
{
    CHECK(holds("convergence", 300, [](const std::vector<std::uint8_t> &words) {
        rollout_state left = makeState();
        rollout_state right = makeState();
        std::vector<rollout_record> records;
        for (const std::uint8_t word : words) {
            rollout_record record{"orders", "v2", {1, 7}, orderTime.count(), word % 50};
            record.phase = static_cast<rollout_phase>(word % 6); // of the two ends, only one is ever recorded
            records.push_back(record);
        }
        for (const rollout_record &record : records) {
            mergeRollout(left, record, start);
        }
        std::ranges::reverse(records);
        for (const rollout_record &record : records) {
            mergeRollout(right, record, start);
            mergeRollout(right, record, start); // twice
        }
        if (!records.empty()) {
            RC_ASSERT(left.services.at("orders").record.phase == right.services.at("orders").record.phase);
            RC_ASSERT(left.services.at("orders").orderedAt == right.services.at("orders").orderedAt);
        }
    }));
}

TEST_CASE("a node that decided to take a version back follows the store if it was completed before")
{
    rollout_state state = makeState();
    applyOrder(state, toV2, start);
    applyChange(state.services.at("orders"), {rollout_phase::RollingBack, "bad"}, start);
    rollout_record recorded = state.services.at("orders").record;
    recorded.phase = rollout_phase::Completed;
    CHECK(mergeRollout(state, recorded, start));
    recorded.phase = rollout_phase::RolledBack;
    CHECK_FALSE(mergeRollout(state, recorded, start));
    CHECK(state.services.at("orders").record.phase == rollout_phase::Completed);
}

TEST_CASE("while the store is away, a taken back version stays so and is recorded by the first node that can")
{
    known_rollout rollout = startedRollout();
    applyChange(rollout, {rollout_phase::RollingBack, "bad"}, start);
    CHECK_FALSE(decide(rollout, comparedWorkers(100, 0), 0, start + seconds(60)));
    CHECK(recordableEnd(rollout, {}, 0, start) == rollout_phase::RolledBack);
    CHECK_FALSE(recordableEnd(rollout, {}, 2, start + decisionStagger));
    CHECK(recordableEnd(rollout, {}, 2, start + decisionStagger * 2) == rollout_phase::RolledBack);
}

TEST_CASE("records of another writer that are out of range are ignored")
{
    rollout_state state = makeState();
    rollout_record record{"orders", "v2", {1, 7}, orderTime.count(), 0};
    record.ageMs = -1;
    CHECK_FALSE(mergeRollout(state, record, start));
    record.ageMs = 0;
    record.heldVersions.resize(maxHeldVersions + 1, "v0");
    CHECK_FALSE(mergeRollout(state, record, start));
    CHECK(state.services.empty());
}
