#include "process/worker_life/confirmation.h"

#include <algorithm>

namespace pistachioquay {

namespace {

// Returns whether rejections can confirm the worker: a running one sends its first heartbeat within an interval.
bool mayReject(const node_start &start, const received_heartbeats &received, time_point storeReadAt)
{
    return storeReadAt - start.at <= maxPromptStoreRead && received.firstAt - start.at <= start.noticeInterval;
}

} // namespace

void recordHeartbeat(received_heartbeats &received, std::uint64_t sequence, time_point now)
{
    const duration sinceLast = now - received.lastAt;
    ++received.repeats;
    received.isInStep = received.isInStep && sinceLast >= minRepeatDelay && sinceLast <= maxRepeatDelay;
    received.lastSequence = sequence;
    received.lastAt = now;
}

bool isSentSinceStart(const node_start &start, const received_heartbeats &received, time_point now)
{
    if (now - start.at >= maxHeartbeatDelay) {
        return true;
    }
    const bool isRepeated = received.isInStep && received.repeats >= repeatsToConfirm;
    if (isRepeated && start.storeReadAt && mayReject(start, received, *start.storeReadAt)) {
        return true;
    }
    // The first heartbeat was sent an interval earlier for each number between the two.
    const auto maxIntervals = static_cast<std::uint64_t>(maxHeartbeatDelay.count());
    const auto intervals = std::min(received.lastSequence - received.firstSequence, maxIntervals);
    return received.firstAt - start.at + static_cast<std::int64_t>(intervals) * start.noticeInterval
        >= maxHeartbeatDelay;
}

bool shouldRepeatHeartbeat(const node_start &start, const received_heartbeats &received, time_point now)
{
    return received.isInStep && mayReject(start, received, start.storeReadAt.value_or(now))
        && now - received.firstAt < start.noticeInterval / 2;
}

} // namespace pistachioquay
