// The versions that one node knows: the fold, the newest records for peers, the start-up gate and the facts about
// snapshots. All functions only go forward: no input makes the position or the version smaller.
//
//   version_state state;
//   const apply_result report = applyRecords(state, batch.records);
//   if (report.versionChanged) swapIn(compileConfig(state.folded.tree, dataCentre, state.folded.version));
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "process/spread/record_buffer.h"
#include "process/spread/snapshot_schedule.h"
#include "process/spread/startup_gate.h"
#include "version/fold/fold.h"

namespace pistachioquay {

// A record with the time at which the log took it; 0 when a peer passed it on without the time.
struct timed_record
{
    config_record record;
    std::int64_t timeMs = 0;

    friend auto operator<=>(const timed_record &, const timed_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(record, timeMs);
    }
};

// Verdict on a record, kept for status.
struct record_verdict
{
    std::uint64_t offset = 0;
    fold_verdict verdict;

    friend bool operator==(const record_verdict &, const record_verdict &) = default;
};

inline constexpr std::size_t keptVerdicts = 64;

// Not thread safe.
struct version_state
{
    fold_state folded;
    record_buffer recent;
    startup_gate gate;
    snapshot_status snapshots;
    std::optional<timed_record> blockedBy; // the next record, if its schema is newer than this program reads
    std::deque<record_verdict> verdicts; // newest last
    std::uint64_t rejectedRecords = 0;
};

// What a change of the state means for the node.
struct apply_result
{
    bool positionChanged = false;
    bool versionChanged = false;
    bool hasGap = false; // records are missing before the first one given: a snapshot or older records are needed

    friend auto operator<=>(const apply_result &, const apply_result &) = default;
};

// progressOf returns how far the state has folded.
fold_progress progressOf(const version_state &state);

// advertisedProgress returns what the node tells its peers: its progress, with the position behind a record that blocks
// it. So peers that have not seen that record pull it, and a peer of the same release does not ask for it again and
// again.
fold_progress advertisedProgress(const version_state &state);

// recordsForPeer returns the records that a peer at `position` lacks, the blocking one among them; empty optional if
// they are no longer kept.
std::optional<std::vector<config_record>>
recordsForPeer(const version_state &state, std::uint64_t position, std::size_t maxBytes);

// applyRecords folds the records that follow the position, in order; older ones are ignored, and a gap stops it.
apply_result applyRecords(version_state &state, std::span<const timed_record> records);

// applySnapshot takes over a whole state if it is ahead. A state with an older version or position is ignored.
apply_result applySnapshot(version_state &state, fold_state snapshot);

// updateLogRange notes the range of offsets that the log of stream `config` keeps.
void updateLogRange(version_state &state, std::uint64_t first, std::uint64_t next);

// updateNewestSnapshot notes the newest snapshot in the log: its position and time. `isKept` is false when the log
// keeps none.
void updateNewestSnapshot(version_state &state, std::uint64_t position, std::int64_t timeMs, bool isKept);

} // namespace pistachioquay
