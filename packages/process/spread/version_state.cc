#include "process/spread/version_state.h"

#include <algorithm>
#include <utility>

namespace pistachioquay {

namespace {

void storeVerdict(version_state &state, std::uint64_t offset, fold_verdict verdict)
{
    if (verdict.kind != verdict_kind::Accepted) {
        ++state.rejectedRecords;
    }
    state.verdicts.push_back({offset, std::move(verdict)});
    if (state.verdicts.size() > maxKeptVerdicts) {
        state.verdicts.pop_front();
    }
}

void updateOldestUncovered(version_state &state, const timed_record &entry)
{
    if (!state.snapshots.oldestUncoveredMs && entry.timeMs > 0) {
        state.snapshots.oldestUncoveredMs = entry.timeMs;
    }
}

// Folds the record at the state's position. Returns false if this program cannot read the record's schema.
bool foldNext(version_state &state, const timed_record &entry)
{
    fold_step step = foldRecord(std::move(state.folded), entry.record.offset, entry.record.data);
    state.folded = std::move(step.state);
    state.blockedBy.reset();
    if (step.verdict.kind == verdict_kind::UnreadableSchema) {
        state.blockedBy = entry;
        return false;
    }
    storeVerdict(state, entry.record.offset, std::move(step.verdict));
    updateOldestUncovered(state, entry);
    appendToBuffer(state.recent, entry.record);
    return true;
}

} // namespace

fold_progress progressOf(const version_state &state)
{
    return {state.folded.position, state.folded.version};
}

fold_progress advertisedProgress(const version_state &state)
{
    return {state.folded.position + (state.blockedBy ? 1 : 0), state.folded.version};
}

std::optional<std::vector<config_record>>
recordsForPeer(const version_state &state, std::uint64_t position, std::size_t maxBytes)
{
    auto records = recordsFrom(state.recent, position, state.folded.position, maxBytes);
    const std::uint64_t next = records && !records->empty() ? records->back().offset + 1 : position;
    if (records && state.blockedBy && next == state.blockedBy->record.offset) {
        records->push_back(state.blockedBy->record);
    }
    return records;
}

apply_result applyRecords(version_state &state, std::span<const timed_record> records)
{
    const fold_progress before = progressOf(state);
    apply_result report;
    for (const timed_record &entry : records) {
        if (entry.record.offset < state.folded.position) {
            continue;
        }
        if (entry.record.offset > state.folded.position) {
            report.hasGap = true;
            break;
        }
        if (!foldNext(state, entry)) {
            break;
        }
    }
    state.snapshots.position = state.folded.position;
    report.positionChanged = state.folded.position != before.position;
    report.versionChanged = state.folded.version != before.version;
    return report;
}

apply_result applySnapshot(version_state &state, fold_state snapshot)
{
    const fold_progress before = progressOf(state);
    if (snapshot.position <= before.position || snapshot.version < before.version) {
        return {};
    }
    state.folded = std::move(snapshot);
    state.recent = record_buffer{};
    state.blockedBy.reset();
    state.snapshots.position = state.folded.position;
    return {.positionChanged = true, .versionChanged = state.folded.version != before.version};
}

void updateLogRange(version_state &state, std::uint64_t first, std::uint64_t next)
{
    state.snapshots.logFirst = std::max(state.snapshots.logFirst, first);
    state.snapshots.logNext = std::max(state.snapshots.logNext, next);
}

void updateNewestSnapshot(version_state &state, std::uint64_t position, std::int64_t timeMs, bool isKept)
{
    snapshot_status &status = state.snapshots;
    status.isSnapshotKept = isKept;
    if (isKept && position >= status.snapshotPosition) {
        status.snapshotPosition = position;
        status.snapshotTimeMs = timeMs;
        status.oldestUncoveredMs.reset();
    }
}

} // namespace pistachioquay
