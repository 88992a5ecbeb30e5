// Start-up gate: holds back routing until a restarted node has caught up. A node keeps no state on disk, and must not
// route by an older version than before its restart.
//
//   startup_gate gate;
//   gate = withPeerProgress(gate, {.position = 12, .version = 11}, now);
//   gate = advanceGate(gate, {.position = 12, .version = 11}, now);
//   if (gate.wasOpened) startRouting();
//
// The gate opens when the node
// (a) has folded up to the end that the log had at its first read, or
// (b) has an accepted version, has folded up to the highest position and version that peers reported, and
//     `peerWaitTime` has passed since the first peer responded.
// Once open it stays open.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

// Position and version that a node has reached by folding the log.
struct fold_progress
{
    std::uint64_t position = 0; // next offset to fold
    std::uint64_t version = 0; // last accepted version

    friend auto operator<=>(const fold_progress &, const fold_progress &) = default;
};

// Wait after the first peer response, so that further peers can report a newer version.
inline constexpr milliseconds peerWaitTime{1000};

// State of the gate; the functions below return a changed copy.
struct startup_gate
{
    bool wasOpened = false;
    std::optional<std::uint64_t> logEnd; // next offset to append, from the first read of the log
    std::optional<time_point> firstPeerResponseAt;
    fold_progress highestPeerProgress; // highest position and highest version, each over all reports

    friend auto operator<=>(const startup_gate &, const startup_gate &) = default;
};

// withLogEnd stores the end of the log at the first read; later calls change nothing. Thread safe.
startup_gate withLogEnd(startup_gate gate, std::uint64_t next);

// withPeerProgress stores the progress that a peer reports: its own, or the progress that this node reported to it
// before the restart. Thread safe.
startup_gate withPeerProgress(startup_gate gate, const fold_progress &peer, time_point now);

// advanceGate returns the gate with `wasOpened` set if a condition for opening holds. Thread safe.
startup_gate advanceGate(startup_gate gate, const fold_progress &own, time_point now);

} // namespace pistachioquay
