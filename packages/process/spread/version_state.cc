#include "process/spread/version_state.h"

#include <algorithm>
#include <utility>

namespace pistachioquay {

namespace {

void keepVerdict(version_state &state, std::uint64_t offset, fold_verdict verdict)
{
    if (verdict.kind != verdict_kind::Accepted) {
        ++state.rejectedRecords;
    }
    state.verdicts.push_back({offset, std::move(verdict)});
    if (state.verdicts.size() > keptVerdicts) {
        state.verdicts.pop_front();
    }
}

void noteUncovered(version_state &state, const timed_record &each)
{
    if (!state.snapshots.oldestUncoveredMs && each.timeMs > 0) {
        state.snapshots.oldestUncoveredMs = each.timeMs;
    }
}

// Folds one record at the position; false if the fold cannot go on.
bool foldNext(version_state &state, const timed_record &each)
{
    fold_step step = foldRecord(std::move(state.folded), each.record.offset, each.record.data);
    state.folded = std::move(step.state);
    state.blockedBy.reset();
    if (step.verdict.kind == verdict_kind::UnreadableSchema) {
        state.blockedBy = each;
        return false;
    }
    keepVerdict(state, each.record.offset, std::move(step.verdict));
    noteUncovered(state, each);
    appendToBuffer(state.recent, each.record);
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
    for (const timed_record &each : records) {
        if (each.record.offset < state.folded.position) {
            continue;
        }
        if (each.record.offset > state.folded.position) {
            report.hasGap = true;
            break;
        }
        if (!foldNext(state, each)) {
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
    snapshot_status &facts = state.snapshots;
    facts.isSnapshotKept = isKept;
    if (isKept && position >= facts.snapshotPosition) {
        facts.snapshotPosition = position;
        facts.snapshotTimeMs = timeMs;
        facts.oldestUncoveredMs.reset();
    }
}

} // namespace pistachioquay
