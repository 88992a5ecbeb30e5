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

startup_gate withPeerProgress(startup_gate gate, const fold_progress &heard, time_point now)
{
    if (!gate.firstPeerAt) {
        gate.firstPeerAt = now;
    }
    gate.highestHeard.position = std::max(gate.highestHeard.position, heard.position);
    gate.highestHeard.version = std::max(gate.highestHeard.version, heard.version);
    return gate;
}

startup_gate advanceGate(startup_gate gate, const fold_progress &own, time_point now)
{
    const bool isAtLogEnd = gate.logEnd && own.position >= *gate.logEnd;
    const bool hasListened = gate.firstPeerAt && now - *gate.firstPeerAt >= peerListenTime;
    const bool isAtPeers = own.position >= gate.highestHeard.position && own.version >= gate.highestHeard.version;
    if (isAtLogEnd || (hasListened && isAtPeers && own.version > 0)) {
        gate.wasOpened = true;
    }
    return gate;
}

} // namespace pistachioquay
