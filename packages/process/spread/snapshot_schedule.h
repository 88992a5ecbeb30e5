// Decides when a node writes a snapshot of the fold state to the log.
//
//   if (isSnapshotDue(facts, rank, nowUnixMs)) writeSnapshot();
//
// A snapshot is a pure function of the position, so a second one does no harm; the rank among the live nodes makes
// about one node write it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

// What a node knows about the records that no snapshot covers.
struct snapshot_status
{
    std::uint64_t position = 0; // of the own fold
    std::uint64_t snapshotPosition = 0; // of the newest snapshot seen in the log; 0 is none
    std::uint64_t logFirst = 0; // oldest offset that the log keeps
    std::uint64_t logNext = 0; // offset of the next append
    std::optional<std::int64_t> oldestUncoveredMs; // log time of the oldest folded record after that snapshot
    std::optional<std::int64_t> snapshotTimeMs; // log time of that snapshot
    bool isSnapshotKept = false; // whether the log still keeps that snapshot

    friend auto operator<=>(const snapshot_status &, const snapshot_status &) = default;
};

// The time that the log keeps records, as operators set it for the platform.
struct snapshot_policy
{
    milliseconds retention{0};
    std::uint64_t maxUncoveredRecords = 500;

    friend auto operator<=>(const snapshot_policy &, const snapshot_policy &) = default;
};

// isSnapshotDue tells whether the node of `rank` (0 is first among the live nodes) has to write one now. It is due when
// the oldest uncovered record has used a quarter of the retention time, when too many records are uncovered, when the
// newest snapshot has used half of the retention time, or when the log no longer keeps it. Each rank waits a further
// sixteenth of the retention time, or 100 records, before it steps in. A node that has not folded up to the log's end
// never writes, so an old state never replaces a newer one. Thread safe.
bool isSnapshotDue(const snapshot_status &facts, const snapshot_policy &rules, std::uint32_t rank, std::int64_t nowMs);

} // namespace pistachioquay
