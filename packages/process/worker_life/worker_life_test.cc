// Guards against late or reordered notices that replace a newer state, and against requests to a worker that has
// announced that it leaves.
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

worker_notice leaveNoticeOf(std::string workerId)
{
    worker_notice leaveNotice;
    leaveNotice.kind = notice_kind::Left;
    leaveNotice.workerId = std::move(workerId);
    return leaveNotice;
}

} // namespace

TEST_CASE("a notice of an older process does not replace the state of a newer one")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w2", 2000, 0), start);
    CHECK(applyNotice(worker, noticeOf("w1", 1000, 9), start) == notice_verdict::Stale);
    CHECK(worker.workerId == "w2");
}

TEST_CASE("a worker that restarts under the same id gets requests again")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w1", 1000, 7), start);
    applyNotice(worker, noticeOf("w1", 1000, 8, notice_kind::Draining), start);
    CHECK(applyNotice(worker, noticeOf("w1", 5000, 0), start) == notice_verdict::Changed);
    CHECK(isAcceptingRequests(worker));
}

TEST_CASE("a draining worker never gets requests again, whichever notices arrive late")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w1", 1000, 3), start);
    CHECK(applyNotice(worker, noticeOf("w1", 1000, 5, notice_kind::Draining), start) == notice_verdict::Changed);
    CHECK(applyNotice(worker, noticeOf("w1", 1000, 4), start) == notice_verdict::Stale);
    applyNotice(worker, noticeOf("w1", 1000, 6), start);
    CHECK_FALSE(isAcceptingRequests(worker));
}

TEST_CASE("a draining heartbeat that a later heartbeat has overtaken still counts")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w1", 1000, 5), start);
    CHECK(applyNotice(worker, noticeOf("w1", 1000, 4, notice_kind::Draining), start) == notice_verdict::Changed);
    CHECK_FALSE(isAcceptingRequests(worker));
}

TEST_CASE("a leave notice applies without a sequence number, and only to its own process")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w2", 2000, 3), start);
    worker_notice leaveNotice = leaveNoticeOf("w1");
    CHECK(applyNotice(worker, leaveNotice, start) == notice_verdict::Stale);
    CHECK(isAcceptingRequests(worker));
    leaveNotice.workerId = "w2";
    CHECK(applyNotice(worker, leaveNotice, start) == notice_verdict::Changed);
    CHECK_FALSE(isAcceptingRequests(worker));
}

TEST_CASE("a leave notice of an earlier process with the same id is stale")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w1", 2000, 0), start);
    worker_notice leaveNotice = leaveNoticeOf("w1");
    leaveNotice.startedMs = 1000;
    CHECK(applyNotice(worker, leaveNotice, start) == notice_verdict::Stale);
    CHECK(isAcceptingRequests(worker));
}

TEST_CASE("a leave notice that arrives as the first notice of a process is not undone by heartbeats of that process")
{
    worker_liveness worker;
    worker_notice leaveNotice = leaveNoticeOf("w1");
    leaveNotice.receivedMs = 5000;
    applyNotice(worker, leaveNotice, start);
    worker_notice heartbeat = noticeOf("w1", 1000, 15);
    heartbeat.receivedMs = 7000;
    applyNotice(worker, heartbeat, start);
    CHECK_FALSE(isAcceptingRequests(worker));
    CHECK(worker.startedMs == 1000);
    worker_notice restarted = noticeOf("w1", 8000, 0);
    applyNotice(worker, restarted, start);
    CHECK(isAcceptingRequests(worker));
}

TEST_CASE("a worker that restarts after a leave notice without a start time gets requests")
{
    worker_liveness worker;
    worker_notice leaveNotice = leaveNoticeOf("w1");
    leaveNotice.receivedMs = 5000;
    applyNotice(worker, leaveNotice, start);
    applyNotice(worker, noticeOf("w1", 6000, 0), start);
    CHECK(isAcceptingRequests(worker));
}

TEST_CASE("an unreachable worker gets requests again after its next heartbeat")
{
    worker_liveness worker;
    applyNotice(worker, noticeOf("w1", 1000, 1), start);
    CHECK(recordUnreachable(worker));
    CHECK_FALSE(recordUnreachable(worker));
    CHECK_FALSE(isAcceptingRequests(worker));
    CHECK(applyNotice(worker, noticeOf("w1", 1000, 1), start) == notice_verdict::Stale);
    CHECK_FALSE(isAcceptingRequests(worker));
    CHECK(applyNotice(worker, noticeOf("w1", 1000, 2), start) == notice_verdict::Changed);
    CHECK(isAcceptingRequests(worker));
}

TEST_CASE("a worker whose heartbeats stop gets no requests")
{
    worker_liveness worker;
    CHECK_FALSE(recordSilence(worker, seconds(3), start + seconds(60)));
    applyNotice(worker, noticeOf("w1", 1000, 1), start);
    CHECK_FALSE(recordSilence(worker, seconds(3), start + seconds(3)));
    CHECK(recordSilence(worker, seconds(3), start + seconds(4)));
    CHECK_FALSE(isAcceptingRequests(worker));
}

TEST_CASE("a notice whose process starts in the future does not make the notices of the worker stale")
{
    worker_liveness worker;
    worker_notice odd = noticeOf("w1", INT64_MAX, 1);
    odd.receivedMs = 1000;
    CHECK(applyNotice(worker, odd, start) == notice_verdict::Stale);
    worker_notice first = noticeOf("w1", 900, 1);
    first.receivedMs = 1000;
    CHECK(applyNotice(worker, first, start) == notice_verdict::Changed);
    CHECK(applyNotice(worker, odd, start) == notice_verdict::Stale);
    worker_notice fastClock = noticeOf("w1", 4000, 0);
    fastClock.receivedMs = 1000;
    CHECK(applyNotice(worker, fastClock, start) == notice_verdict::Changed);
}
