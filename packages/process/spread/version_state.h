// Configuration state of one node: the fold state, the newest records for peers, the start-up gate and the status of
// snapshots. No input decreases the position or the version.
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

// A record with the time at which the log appended it; 0 if a peer sent the record without the time.
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

// Verdict of the fold on the record at `offset`.
struct record_verdict
{
    std::uint64_t offset = 0;
    fold_verdict verdict;

    friend bool operator==(const record_verdict &, const record_verdict &) = default;
};

inline constexpr std::size_t maxKeptVerdicts = 64;

// See the head of this file. Not thread safe.
struct version_state
{
    fold_state folded;
    record_buffer recent;
    startup_gate gate;
    snapshot_status snapshots;
    std::optional<timed_record> blockedBy; // the next record, if its schema is too new for this program
    std::deque<record_verdict> verdicts; // of the newest `maxKeptVerdicts` records, newest last
    std::uint64_t rejectedRecords = 0; // since the node started
};

// What applyRecords or applySnapshot changed.
struct apply_result
{
    bool positionChanged = false;
    bool versionChanged = false;
    bool hasGap = false; // the given records skip offsets: earlier records or a snapshot are needed

    friend auto operator<=>(const apply_result &, const apply_result &) = default;
};

// progressOf returns the position and version of the fold state.
fold_progress progressOf(const version_state &state);

// advertisedProgress returns the progress that the node announces to its peers. If a record with an unreadable schema
// blocks the fold, the announced position is the one after that record: peers that lack the record pull it, and a peer
// of the same release, blocked by it too, does not pull it repeatedly.
fold_progress advertisedProgress(const version_state &state);

// recordsForPeer returns the records from `position` on, limited by `maxBytes` as in recordsFrom; a record that blocks
// the fold is added when it comes next. Returns std::nullopt if the records are no longer buffered.
std::optional<std::vector<config_record>>
recordsForPeer(const version_state &state, std::uint64_t position, std::size_t maxBytes);

// applyRecords folds `records`, which are in ascending order of offset. It skips those before the state's position,
// and stops at a gap or at a record with an unreadable schema.
apply_result applyRecords(version_state &state, std::span<const timed_record> records);

// applySnapshot replaces the fold state if the snapshot's position is higher and its version is not lower. Otherwise
// it changes nothing.
apply_result applySnapshot(version_state &state, fold_state snapshot);

// updateLogRange stores which offsets of stream `config` the log retains: from `first` up to, but not including,
// `next`. Neither bound is ever decreased.
void updateLogRange(version_state &state, std::uint64_t first, std::uint64_t next);

// updateNewestSnapshot stores the position and time of the newest snapshot in the log. `isKept` is false if the log
// retains no snapshot; position and time are then ignored.
void updateNewestSnapshot(version_state &state, std::uint64_t position, std::int64_t timeMs, bool isKept);

} // namespace pistachioquay
