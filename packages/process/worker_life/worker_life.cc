#include "process/worker_life/worker_life.h"

#include <utility>

namespace pistachioquay {

namespace {

bool isSameProcess(const worker_liveness &life, const worker_notice &notice)
{
    // A farewell may be the first that is heard of a process, and need not tell its start. What started before that
    // farewell came is the process that sent it.
    if (life.workerId == notice.workerId && life.startedMs == 0) {
        return notice.startedMs.value_or(0) <= life.receivedMs;
    }
    return life.workerId == notice.workerId && notice.startedMs.value_or(life.startedMs) == life.startedMs;
}

notice_verdict startProcess(worker_liveness &life, const worker_notice &notice, time_point now)
{
    life = {};
    life.workerId = notice.workerId;
    life.startedMs = notice.startedMs.value_or(0);
    life.receivedMs = notice.receivedMs;
    life.sequence = notice.sequence.value_or(0);
    life.slots = notice.slots;
    life.isLeaving = notice.kind != notice_kind::Ready;
    life.leavingSince = now;
    life.warmUpUntil = now + notice.coldLeft;
    life.lastHeardAt = now;
    return notice_verdict::Changed;
}

notice_verdict beginLeaving(worker_liveness &life, time_point now)
{
    if (life.isLeaving) {
        return notice_verdict::Unchanged;
    }
    life.isLeaving = true;
    life.leavingSince = now;
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

notice_verdict applyNotice(worker_liveness &life, const worker_notice &notice, time_point now)
{
    if (!isSameProcess(life, notice)) {
        const bool isOlder = notice.startedMs.value_or(0) < life.startedMs;
        const bool isFarewellOfOther = notice.kind == notice_kind::Left && life.workerId != notice.workerId;
        if (!life.workerId.empty() && (isOlder || isFarewellOfOther)) {
            return notice_verdict::Stale;
        }
        return startProcess(life, notice, now);
    }
    life.startedMs = notice.startedMs.value_or(life.startedMs);
    if (notice.kind == notice_kind::Left) {
        return beginLeaving(life, now);
    }
    if (notice.sequence && *notice.sequence <= life.sequence) {
        return notice_verdict::Stale;
    }
    life.sequence = notice.sequence.value_or(life.sequence);
    life.lastHeardAt = now;
    life.warmUpUntil = now + notice.coldLeft;
    notice_verdict verdict = notice_verdict::Unchanged;
    if (life.isUnreachable || life.slots != notice.slots) {
        life.isUnreachable = false;
        life.slots = notice.slots;
        verdict = notice_verdict::Changed;
    }
    return notice.kind == notice_kind::Draining && beginLeaving(life, now) == notice_verdict::Changed
        ? notice_verdict::Changed
        : verdict;
}

bool recordUnreachable(worker_liveness &life)
{
    return !std::exchange(life.isUnreachable, true);
}

bool recordSilence(worker_liveness &life, milliseconds allowed, time_point now)
{
    return !life.workerId.empty() && now - life.lastHeardAt > allowed && recordUnreachable(life);
}

bool isAcceptingRequests(const worker_liveness &life)
{
    return !life.workerId.empty() && !life.isLeaving && !life.isUnreachable;
}

} // namespace pistachioquay
