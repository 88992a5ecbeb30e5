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
    state.isSchemaBlocked = step.verdict.kind == verdict_kind::UnreadableSchema;
    if (state.isSchemaBlocked) {
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

absorb_report absorbRecords(version_state &state, std::span<const timed_record> records)
{
    const fold_progress before = progressOf(state);
    absorb_report report;
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

absorb_report absorbSnapshot(version_state &state, fold_state snapshot)
{
    const fold_progress before = progressOf(state);
    if (snapshot.position <= before.position || snapshot.version < before.version) {
        return {};
    }
    state.folded = std::move(snapshot);
    state.recent = record_buffer{};
    state.isSchemaBlocked = false;
    state.snapshots.position = state.folded.position;
    return {.positionChanged = true, .versionChanged = state.folded.version != before.version};
}

void noteLogRange(version_state &state, std::uint64_t first, std::uint64_t next)
{
    state.snapshots.logFirst = std::max(state.snapshots.logFirst, first);
    state.snapshots.logNext = std::max(state.snapshots.logNext, next);
}

void noteSnapshot(version_state &state, std::uint64_t position, std::int64_t timeMs, bool isKept)
{
    snapshot_facts &facts = state.snapshots;
    facts.isSnapshotKept = isKept;
    if (isKept && position >= facts.snapshotPosition) {
        facts.snapshotPosition = position;
        facts.snapshotTimeMs = timeMs;
        facts.oldestUncoveredMs.reset();
    }
}

} // namespace pistachioquay
