#include "process/worker_life/worker_life.h"

#include <utility>

namespace pistachioquay {

namespace {

bool isSameProcess(const worker_liveness &worker, const worker_notice &notice)
{
    // A leave notice can be the first notice of a process and may lack its start time. A process that started before
    // the leave notice arrived is then the one that sent it.
    if (worker.workerId == notice.workerId && worker.startedMs == 0) {
        return notice.startedMs.value_or(0) <= worker.firstReceivedMs;
    }
    return worker.workerId == notice.workerId && notice.startedMs.value_or(worker.startedMs) == worker.startedMs;
}

// Returns whether the last received heartbeat of the worker, which is `notice`, was sent since the start of the node.
bool wasSentSinceStart(const worker_liveness &worker, const worker_notice &notice, time_point now)
{
    // A response to an earlier heartbeat has named the reply address. Without one, another process has named it.
    const bool isReply = notice.isAtReplyAddress && worker.heartbeats.lastSequence > worker.heartbeats.firstSequence;
    return isReply || !worker.nodeStart || isSentSinceStart(*worker.nodeStart, worker.heartbeats, now);
}

notice_verdict startProcess(worker_liveness &worker, const worker_notice &notice, time_point now)
{
    worker_liveness started;
    started.isRecovering = worker.isRecovering;
    started.nodeStart = worker.nodeStart;
    started.departures = std::move(worker.departures);
    worker = std::move(started);
    worker.workerId = notice.workerId;
    worker.startedMs = notice.startedMs.value_or(0);
    worker.firstReceivedMs = notice.receivedMs;
    worker.sequence = notice.sequence.value_or(0);
    worker.slots = notice.slots;
    worker.version = notice.version;
    worker.isLeaving = notice.kind != notice_kind::Ready;
    worker.leavingSince = now;
    worker.heartbeats = {.firstSequence = worker.sequence,
                         .firstAt = now,
                         .lastSequence = worker.sequence,
                         .lastAt = now};
    worker.isUnconfirmed = !wasSentSinceStart(worker, notice, now);
    worker.warmUpUntil = now + notice.warmUpRemaining;
    worker.lastHeardAt = now;
    return notice_verdict::Changed;
}

notice_verdict beginLeaving(worker_liveness &worker, time_point now)
{
    if (worker.isLeaving) {
        return notice_verdict::Unchanged;
    }
    worker.isLeaving = true;
    worker.leavingSince = now;
    return notice_verdict::Changed;
}

} // namespace

std::string_view verdictName(notice_verdict verdict)
{
    switch (verdict) {
    case notice_verdict::Changed:
        return "changed";
    case notice_verdict::Unchanged:
        return "unchanged";
    case notice_verdict::Stale:
        return "stale";
    }
    return "unknown";
}

notice_verdict applyNotice(worker_liveness &worker, const worker_notice &notice, time_point now)
{
    const bool hasDeparted = isDeparted(worker.departures, notice);
    if (notice.kind != notice_kind::Ready && !hasDeparted) {
        recordDeparture(worker.departures, departureOf(worker.departures, notice), now);
    }
    if (!isSameProcess(worker, notice)) {
        // A leave notice without a later start time can be one of an earlier process that was delayed.
        const bool isNewer = notice.startedMs.value_or(0) > worker.startedMs;
        const bool isLeaveOfOther = notice.kind == notice_kind::Left && !isNewer;
        const bool isOlder = notice.startedMs.value_or(0) < worker.startedMs;
        const bool isImplausible = notice.startedMs.value_or(0) > notice.receivedMs + maxStartAheadMs;
        if (hasDeparted || isImplausible || (!worker.workerId.empty() && (isOlder || isLeaveOfOther))) {
            return notice_verdict::Stale;
        }
        return startProcess(worker, notice, now);
    }
    worker.startedMs = notice.startedMs.value_or(worker.startedMs);
    // A departure is never taken back, so it also counts if a later heartbeat has overtaken it.
    const notice_verdict leaving =
        notice.kind == notice_kind::Ready ? notice_verdict::Unchanged : beginLeaving(worker, now);
    if (notice.kind == notice_kind::Left) {
        return leaving;
    }
    if (notice.sequence && *notice.sequence <= worker.sequence) {
        return leaving == notice_verdict::Changed ? leaving : notice_verdict::Stale;
    }
    worker.sequence = notice.sequence.value_or(worker.sequence);
    worker.lastHeardAt = now;
    worker.warmUpUntil = now + notice.warmUpRemaining;
    recordHeartbeat(worker.heartbeats, worker.sequence, now);
    const bool isConfirmedNow = worker.isUnconfirmed && wasSentSinceStart(worker, notice, now);
    worker.isUnconfirmed = worker.isUnconfirmed && !isConfirmedNow;
    if (isConfirmedNow || worker.isUnreachable || worker.slots != notice.slots || worker.version != notice.version) {
        worker.isUnreachable = false;
        worker.slots = notice.slots;
        worker.version = notice.version;
        return notice_verdict::Changed;
    }
    return leaving;
}

bool recordUnreachable(worker_liveness &worker)
{
    return !std::exchange(worker.isUnreachable, true);
}

bool recordSilence(worker_liveness &worker, milliseconds allowed, time_point now)
{
    return !worker.workerId.empty() && now - worker.lastHeardAt > allowed && recordUnreachable(worker);
}

bool recoverDepartures(worker_liveness &worker, const std::vector<worker_departure> &departures, time_point now)
{
    bool isWorkerLeaving = false;
    for (const worker_departure &departure : departures) {
        recordDeparture(worker.departures, departure, now);
        worker_notice known;
        known.workerId = worker.workerId;
        known.startedMs = worker.startedMs;
        isWorkerLeaving = isWorkerLeaving || isDeparted({{departure, now}}, known);
    }
    return isWorkerLeaving && beginLeaving(worker, now) == notice_verdict::Changed;
}

bool isAcceptingRequests(const worker_liveness &worker)
{
    return !worker.workerId.empty() && !worker.isLeaving && !worker.isUnreachable && !worker.isRecovering
        && !worker.isUnconfirmed;
}

} // namespace pistachioquay
