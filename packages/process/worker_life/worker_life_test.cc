// Guards against notices that arrive late or crossed, and against a leaving worker that is used again.
#include <catch2/catch.hpp>

#include "process/worker_life/worker_life.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero

worker_notice
noticeOf(std::string id, std::int64_t startedMs, std::uint64_t sequence, notice_kind kind = notice_kind::Ready)
{
    worker_notice notice;
    notice.kind = kind;
    notice.workerId = std::move(id);
    notice.startedMs = startedMs;
    notice.sequence = sequence;
    notice.slots = 6;
    return notice;
}

worker_notice farewellOf(std::string workerId)
{
    worker_notice farewell;
    farewell.kind = notice_kind::Left;
    farewell.workerId = std::move(workerId);
    return farewell;
}

} // namespace

TEST_CASE("a notice of an older process does not replace a newer one")
{
    worker_liveness life;
    applyNotice(life, noticeOf("w2", 2000, 0), start);
    CHECK(applyNotice(life, noticeOf("w1", 1000, 9), start) == notice_verdict::Stale);
    CHECK(life.workerId == "w2");
}

TEST_CASE("a worker that starts again under its id begins anew")
{
    worker_liveness life;
    applyNotice(life, noticeOf("w1", 1000, 7), start);
    applyNotice(life, noticeOf("w1", 1000, 8, notice_kind::Draining), start);
    CHECK(applyNotice(life, noticeOf("w1", 5000, 0), start) == notice_verdict::Changed);
    CHECK(isAcceptingRequests(life));
}

TEST_CASE("a draining worker takes no work again, whatever arrives late")
{
    worker_liveness life;
    applyNotice(life, noticeOf("w1", 1000, 3), start);
    CHECK(applyNotice(life, noticeOf("w1", 1000, 5, notice_kind::Draining), start) == notice_verdict::Changed);
    CHECK(applyNotice(life, noticeOf("w1", 1000, 4), start) == notice_verdict::Stale);
    applyNotice(life, noticeOf("w1", 1000, 6), start);
    CHECK_FALSE(isAcceptingRequests(life));
}

TEST_CASE("a farewell counts without a sequence, and only for its own process")
{
    worker_liveness life;
    applyNotice(life, noticeOf("w2", 2000, 3), start);
    worker_notice farewell = farewellOf("w1");
    CHECK(applyNotice(life, farewell, start) == notice_verdict::Stale);
    CHECK(isAcceptingRequests(life));
    farewell.workerId = "w2";
    CHECK(applyNotice(life, farewell, start) == notice_verdict::Changed);
    CHECK_FALSE(isAcceptingRequests(life));
}

TEST_CASE("a farewell of an earlier start under the same id is stale")
{
    worker_liveness life;
    applyNotice(life, noticeOf("w1", 2000, 0), start);
    worker_notice farewell = farewellOf("w1");
    farewell.startedMs = 1000;
    CHECK(applyNotice(life, farewell, start) == notice_verdict::Stale);
    CHECK(isAcceptingRequests(life));
}

TEST_CASE("a farewell that is the first notice of a process holds against its later heartbeats")
{
    worker_liveness life;
    worker_notice farewell = farewellOf("w1");
    farewell.receivedMs = 5000;
    applyNotice(life, farewell, start);
    worker_notice heartbeat = noticeOf("w1", 1000, 15);
    heartbeat.receivedMs = 7000;
    applyNotice(life, heartbeat, start);
    CHECK_FALSE(isAcceptingRequests(life));
    CHECK(life.startedMs == 1000);
    worker_notice restarted = noticeOf("w1", 8000, 0);
    applyNotice(life, restarted, start);
    CHECK(isAcceptingRequests(life));
}

TEST_CASE("a worker that starts again after a farewell of unknown start takes work")
{
    worker_liveness life;
    worker_notice farewell = farewellOf("w1");
    farewell.receivedMs = 5000;
    applyNotice(life, farewell, start);
    applyNotice(life, noticeOf("w1", 6000, 0), start);
    CHECK(isAcceptingRequests(life));
}

TEST_CASE("an unreachable worker is back with its next notice")
{
    worker_liveness life;
    applyNotice(life, noticeOf("w1", 1000, 1), start);
    CHECK(recordUnreachable(life));
    CHECK_FALSE(recordUnreachable(life));
    CHECK_FALSE(isAcceptingRequests(life));
    CHECK(applyNotice(life, noticeOf("w1", 1000, 1), start) == notice_verdict::Stale);
    CHECK_FALSE(isAcceptingRequests(life));
    CHECK(applyNotice(life, noticeOf("w1", 1000, 2), start) == notice_verdict::Changed);
    CHECK(isAcceptingRequests(life));
}

TEST_CASE("a worker whose notices stop takes no work")
{
    worker_liveness life;
    CHECK_FALSE(recordSilence(life, seconds(3), start + seconds(60)));
    applyNotice(life, noticeOf("w1", 1000, 1), start);
    CHECK_FALSE(recordSilence(life, seconds(3), start + seconds(3)));
    CHECK(recordSilence(life, seconds(3), start + seconds(4)));
    CHECK_FALSE(isAcceptingRequests(life));
}
