// Start-up gate: a node without a disk must not serve an older version than the one it served before it restarted. It
// routes nothing until it has caught up with what it can learn.
//
//   startup_gate gate;
//   gate = withPeerProgress(gate, {.position = 12, .version = 11}, now);
//   gate = advanceGate(gate, {.position = 12, .version = 11}, now);
//   if (gate.wasOpened) startRouting();
//
// The gate opens when the node has (a) folded up to the log's end once, or (b) folded up to the highest position and
// version heard from peers, and 1 s has passed since the first peer responded. Once open it stays open.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

// How far a node has folded the log.
struct fold_progress
{
    std::uint64_t position = 0; // next offset to fold
    std::uint64_t version = 0; // last accepted version

    friend auto operator<=>(const fold_progress &, const fold_progress &) = default;
};

// Time to hear of newer versions from further peers after the first one responded.
inline constexpr milliseconds peerListenTime{1000};

// Immutable state of the gate.
struct startup_gate
{
    bool wasOpened = false;
    std::optional<std::uint64_t> logEnd; // `next` of the first read of the log
    std::optional<time_point> firstPeerAt;
    fold_progress highestHeard;

    friend auto operator<=>(const startup_gate &, const startup_gate &) = default;
};

// withLogEnd notes the end of the log at the first successful read. Thread safe.
startup_gate withLogEnd(startup_gate gate, std::uint64_t next);

// withPeerProgress notes how far a peer has folded, or what a peer remembers of this node's earlier life. Thread safe.
startup_gate withPeerProgress(startup_gate gate, const fold_progress &heard, time_point now);

// advanceGate returns the gate with `wasOpened` set if a condition for opening holds. Thread safe.
startup_gate advanceGate(startup_gate gate, const fold_progress &own, time_point now);

} // namespace pistachioquay
