// Decides when a node writes a snapshot of the fold state to the log, before retention removes the records that the
// state was folded from.
//
//   if (isSnapshotDue(status, policy, rank, nowUnixMs)) writeSnapshot();
//
// The snapshot at a position is the same whichever node writes it, so a duplicate is harmless. Delays that grow with a
// node's rank among the live nodes make it likely that only one node writes it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

// What a node has seen of the log, its newest snapshot and the records after that snapshot.
struct snapshot_status
{
    std::uint64_t position = 0; // next offset that this node folds
    std::uint64_t snapshotPosition = 0; // of the newest snapshot seen in the log; 0 if none was seen
    std::uint64_t logFirst = 0; // oldest offset that the log retains
    std::uint64_t logNext = 0; // offset of the next append
    std::optional<std::int64_t> oldestUncoveredMs; // log time of the oldest folded record after that snapshot
    std::optional<std::int64_t> snapshotTimeMs; // log time of the newest snapshot
    bool isSnapshotKept = false; // whether the log still retains the newest snapshot

    friend auto operator<=>(const snapshot_status &, const snapshot_status &) = default;
};

// Limits that isSnapshotDue applies. `retention` is how long the log keeps records (setting `platform.retention_ms`).
struct snapshot_policy
{
    milliseconds retention{0};
    std::uint64_t maxUncoveredRecords = 500;

    friend auto operator<=>(const snapshot_policy &, const snapshot_policy &) = default;
};

// isSnapshotDue returns whether the node with `rank` (0 is the first of the live nodes) must write a snapshot now. An
// uncovered record is one after the newest snapshot. A snapshot is due when
// - the oldest uncovered record is at least a quarter of the retention time old,
// - at least `maxUncoveredRecords` records are uncovered,
// - the newest snapshot is at least half of the retention time old, or
// - the log no longer retains the newest snapshot, or has removed its first records and no snapshot was seen.
// For the first three, each rank waits a further sixteenth of the retention time, or 100 records, so that it writes
// only if the nodes before it did not. A node that has not folded up to the end of the log never writes, so that an old
// state never replaces a newer one. Thread safe.
bool isSnapshotDue(const snapshot_status &status,
                   const snapshot_policy &policy,
                   std::uint32_t rank,
                   std::int64_t nowMs);

} // namespace pistachioquay
