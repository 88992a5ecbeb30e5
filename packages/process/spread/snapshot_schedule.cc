#include "process/spread/snapshot_schedule.h"

namespace pistachioquay {

namespace {

constexpr std::int64_t recordAgeDivisor = 4;
constexpr std::int64_t snapshotAgeDivisor = 2;
constexpr std::int64_t rankDelayDivisor = 16;
constexpr std::uint64_t rankDelayRecords = 100;

bool isOlderThan(const std::optional<std::int64_t> &timeMs, std::int64_t ageMs, std::int64_t nowMs)
{
    return timeMs && nowMs - *timeMs >= ageMs;
}

} // namespace

bool isSnapshotDue(const snapshot_status &facts, const snapshot_policy &rules, std::uint32_t rank, std::int64_t nowMs)
{
    const bool hasState = facts.position > 1;
    const bool isAtEnd = facts.position >= facts.logNext;
    if (!hasState || !isAtEnd) {
        return false;
    }
    const std::int64_t retentionMs = rules.retention.count();
    const std::int64_t rankDelayMs = retentionMs / rankDelayDivisor * rank;
    const std::uint64_t uncovered = facts.position - facts.snapshotPosition;
    const bool isLost = facts.snapshotPosition > 0 && !facts.isSnapshotKept;
    const bool isExpired = facts.snapshotPosition == 0 && facts.logFirst > 1;
    const bool isCountDue = uncovered >= rules.maxUncoveredRecords + rankDelayRecords * rank;
    const bool isRecordAgeDue =
        isOlderThan(facts.oldestUncoveredMs, retentionMs / recordAgeDivisor + rankDelayMs, nowMs);
    const bool isSnapshotAgeDue =
        isOlderThan(facts.snapshotTimeMs, retentionMs / snapshotAgeDivisor + rankDelayMs, nowMs);
    return isLost || isExpired || isCountDue || isRecordAgeDue || isSnapshotAgeDue;
}

} // namespace pistachioquay
