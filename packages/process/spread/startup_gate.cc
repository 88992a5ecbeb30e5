#include "process/spread/startup_gate.h"

#include <algorithm>

namespace pistachioquay {

startup_gate withLogEnd(startup_gate gate, std::uint64_t next)
{
    if (!gate.logEnd) {
        gate.logEnd = next;
    }
    return gate;
}

startup_gate withPeerProgress(startup_gate gate, const fold_progress &peer, time_point now)
{
    if (!gate.firstPeerResponseAt) {
        gate.firstPeerResponseAt = now;
    }
    gate.highestPeerProgress.position = std::max(gate.highestPeerProgress.position, peer.position);
    gate.highestPeerProgress.version = std::max(gate.highestPeerProgress.version, peer.version);
    return gate;
}

startup_gate advanceGate(startup_gate gate, const fold_progress &own, time_point now)
{
    const bool isAtLogEnd = gate.logEnd && own.position >= *gate.logEnd;
    const bool hasWaitedForPeers = gate.firstPeerResponseAt && now - *gate.firstPeerResponseAt >= peerWaitTime;
    const bool isAtPeerProgress =
        own.position >= gate.highestPeerProgress.position && own.version >= gate.highestPeerProgress.version;
    if (isAtLogEnd || (hasWaitedForPeers && isAtPeerProgress && own.version > 0)) {
        gate.wasOpened = true;
    }
    return gate;
}

} // namespace pistachioquay
