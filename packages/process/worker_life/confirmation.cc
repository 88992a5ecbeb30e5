#include "process/worker_life/confirmation.h"

#include <algorithm>

namespace pistachioquay {

bool isSentSinceStart(const node_start &start, const first_heartbeat &first, std::uint64_t sequence, time_point now)
{
    if (now - start.at >= maxHeartbeatDelay) {
        return true;
    }
    // The first heartbeat was sent an interval earlier for each number between the two.
    const auto maxIntervals = static_cast<std::uint64_t>(maxHeartbeatDelay.count());
    const auto intervals = std::min(sequence - first.sequence, maxIntervals);
    return first.receivedAt - start.at + static_cast<std::int64_t>(intervals) * start.noticeInterval
        >= maxHeartbeatDelay;
}

} // namespace pistachioquay
