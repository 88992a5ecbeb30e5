// Guards against a worker that gets requests after its departure was acknowledged, because its node restarted or did
// not know it yet.
#include <algorithm>
#include <catch2/catch.hpp>

#include "process/worker_life/worker_life.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero

worker_notice noticeOf(notice_kind kind, std::string id, std::int64_t startedMs, std::uint64_t sequence)
{
    worker_notice notice;
    notice.kind = kind;
    notice.workerId = std::move(id);
    notice.startedMs = startedMs;
    if (kind != notice_kind::Left) {
        notice.sequence = sequence;
    }
    notice.slots = 6;
    notice.receivedMs = 100'000;
    return notice;
}

worker_liveness restartedNode()
{
    worker_liveness worker;
    worker.isRecovering = true;
    return worker;
}

void endRecovery(worker_liveness &worker, const std::vector<worker_departure> &held)
{
    recoverDepartures(worker, held, start);
    worker.isRecovering = false;
}

} // namespace

// review/3: the leave was acknowledged, the node was killed, and the last heartbeat of before arrived at its successor.
TEST_CASE("a late heartbeat of a worker that left before its node restarted does not make it ready")
{
    worker_liveness before;
    applyNotice(before, noticeOf(notice_kind::Ready, "w1", 1000, 2), start);
    applyNotice(before, noticeOf(notice_kind::Left, "w1", 1000, 0), start);
    const std::vector<worker_departure> held = plainDepartures(before.departures);
    REQUIRE(held.size() == 1);

    SECTION("that arrives after the recovery")
    {
        worker_liveness after = restartedNode();
        endRecovery(after, held);
        CHECK(applyNotice(after, noticeOf(notice_kind::Ready, "w1", 1000, 3), start) == notice_verdict::Stale);
        CHECK_FALSE(isAcceptingRequests(after));
    }
    SECTION("that arrives before the recovery")
    {
        worker_liveness after = restartedNode();
        CHECK(applyNotice(after, noticeOf(notice_kind::Ready, "w1", 1000, 3), start) == notice_verdict::Changed);
        CHECK_FALSE(isAcceptingRequests(after));
        endRecovery(after, held);
        CHECK(after.isLeaving);
        CHECK_FALSE(isAcceptingRequests(after));
    }
}

TEST_CASE("after a restart of its node, a worker that serves on or that is new gets requests")
{
    worker_liveness worker = restartedNode();
    endRecovery(worker, {{"w1", 1000, 5000}});
    const auto [id, startedMs] = GENERATE(std::pair("w2", std::int64_t{1000}),
                                          std::pair("w2", std::int64_t{900}),
                                          std::pair("w1", std::int64_t{2000}));
    applyNotice(worker, noticeOf(notice_kind::Ready, id, startedMs, 0), start);
    CHECK(isAcceptingRequests(worker));
}

// A replaced worker left before its first heartbeat had arrived; the leave was acknowledged and ignored as that of
// another worker, and the heartbeat then made the worker ready.
TEST_CASE("a leave that arrives before the first heartbeat of its process is kept")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf(notice_kind::Ready, "w1", 1000, 4), start);
    SECTION("from a newer process, which has replaced the known one")
    {
        CHECK(applyNotice(worker, noticeOf(notice_kind::Left, "w2", 2000, 0), start) == notice_verdict::Changed);
        applyNotice(worker, noticeOf(notice_kind::Ready, "w2", 2000, 0), start);
        CHECK_FALSE(isAcceptingRequests(worker));
    }
    SECTION("without the start time of its process")
    {
        worker_notice leave = noticeOf(notice_kind::Left, "w2", 0, 0);
        leave.startedMs.reset();
        CHECK(applyNotice(worker, leave, start) == notice_verdict::Stale);
        CHECK(isAcceptingRequests(worker));
        CHECK(applyNotice(worker, noticeOf(notice_kind::Ready, "w2", 2000, 0), start) == notice_verdict::Stale);
        CHECK(worker.workerId == "w1");
    }
}

TEST_CASE("a leave without a start time is that of the process that has announced its shutdown before")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf(notice_kind::Draining, "w1", 1000, 4), start);
    worker_notice leave = noticeOf(notice_kind::Left, "w1", 0, 0);
    leave.startedMs.reset();
    applyNotice(worker, leave, start);
    CHECK(worker.departures.size() == 1);
    CHECK(departureOf(worker.departures, leave).startedMs == 1000);
}

TEST_CASE("a departure applies although the clock of the VM was set back after the start of the worker")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf(notice_kind::Ready, "w1", 100'000, 1), start);
    worker_notice draining = noticeOf(notice_kind::Draining, "w1", 100'000, 2);
    draining.receivedMs = 1000;
    CHECK(applyNotice(worker, draining, start) == notice_verdict::Changed);
    CHECK_FALSE(isAcceptingRequests(worker));
}

TEST_CASE("no process gets requests after its departure, in any order of notices and restarts of the node")
{
    const auto replay = [](const std::vector<std::uint32_t> &words) {
        worker_liveness worker;
        std::vector<worker_departure> acknowledged;
        for (const std::uint32_t word : words) {
            const std::uint32_t step = word % 8;
            if (step == 7) {
                worker = restartedNode();
            } else if (step == 6) {
                endRecovery(worker, acknowledged);
            } else {
                const auto kind = static_cast<notice_kind>(step % 3);
                const std::string id = word / 8 % 2 == 0 ? "w1" : "w2";
                const worker_notice notice = noticeOf(kind, id, 1000 + word / 16 % 2, word / 32 % 8);
                applyNotice(worker, notice, start);
                if (kind != notice_kind::Ready) {
                    acknowledged.push_back(departureOf({}, notice));
                }
            }
            const bool hasLeft = std::ranges::any_of(acknowledged, [&](const worker_departure &departure) {
                return departure.workerId == worker.workerId && departure.startedMs == worker.startedMs;
            });
            RC_ASSERT(!hasLeft || !isAcceptingRequests(worker));
        }
    };
    CHECK(holds("departures are kept", 5000, replay));
}

// Load pattern: all workers of a service are replaced one after the other while the store is unavailable.
TEST_CASE("a departure is acknowledged when the store holds it, or when other nodes do and the store does not respond")
{
    using enum hold_decision;
    const departure_hold nobody;
    const departure_hold stored{true, {}};
    const departure_hold oneNode{false, {"a"}};
    const departure_hold twoNodes{false, {"a", "b"}};
    CHECK(decideHold(stored, 5, milliseconds{3}) == Acknowledge);
    CHECK(decideHold(twoNodes, 5, milliseconds{3}) == Wait);
    CHECK(decideHold(twoNodes, 5, departureStoreShare) == Acknowledge);
    CHECK(decideHold(oneNode, 5, departureStoreShare) == Wait);
    CHECK(decideHold(oneNode, 1, departureStoreShare) == Acknowledge);
    CHECK(decideHold(nobody, 0, milliseconds{3}) == Wait);
    CHECK(decideHold(nobody, 0, departureHoldLimit) == Reject);
    CHECK(decideHold(oneNode, 5, departureHoldLimit) == Reject);
}

TEST_CASE("a restarted node asks the store and the other nodes, or the other nodes alone while the store is away")
{
    departure_recovery recovery{start, std::nullopt, false};
    CHECK_FALSE(isRecovered(recovery, start + seconds(60)));
    recovery.hasPeerAnswer = true;
    CHECK_FALSE(isRecovered(recovery, start + milliseconds(10)));
    CHECK(isRecovered(recovery, start + departureRecoveryPatience));
    recovery.storeReadAt = start + milliseconds(10);
    CHECK_FALSE(isRecovered(recovery, start + milliseconds(10)));
    CHECK(isRecovered(recovery, start + milliseconds(10) + departureAnswerTime));
    CHECK(mayStillRecover(recovery, start + seconds(60)));
    CHECK_FALSE(mayStillRecover(recovery, start + departureRetention));
}

TEST_CASE("departures are bounded in number and in time")
{
    departure_list departures;
    for (int index = 0; index < 100; ++index) {
        CHECK(recordDeparture(departures, {"w" + std::to_string(index), 1000 + index, 0}, start + seconds(index)));
    }
    CHECK(departures.size() == maxDepartures);
    CHECK_FALSE(recordDeparture(departures, {"w99", 1099, 0}, start + seconds(100)));
    CHECK(removeOldDepartures(departures, start + seconds(96) + departureRetention).size() == 4);
    CHECK(departures.front().departure.workerId == "w96");
}

TEST_CASE("departures of different nodes, workers and processes have different keys")
{
    CHECK(departureKey("n1", {"w1", 1000, 1}) == departureKey("n1", {"w1", 1000, 2}));
    CHECK(departureKey("n1", {"w1", 1000, 1}) != departureKey("n2", {"w1", 1000, 1}));
    CHECK(departureKey("n1", {"w1", 1000, 1}) != departureKey("n1", {"w2", 1000, 1}));
    CHECK(departureKey("n1", {"w1", 1000, 1}) != departureKey("n1", {"w1", 1001, 1}));
}
