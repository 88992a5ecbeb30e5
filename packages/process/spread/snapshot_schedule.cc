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

bool isSnapshotDue(const snapshot_status &status, const snapshot_policy &policy, std::uint32_t rank, std::int64_t nowMs)
{
    const bool hasFoldedRecords = status.position > 1;
    const bool isAtLogEnd = status.position >= status.logNext;
    if (!hasFoldedRecords || !isAtLogEnd) {
        return false;
    }
    const std::int64_t retentionMs = policy.retention.count();
    const std::int64_t rankDelayMs = retentionMs / rankDelayDivisor * rank;
    const std::uint64_t uncoveredRecords = status.position - status.snapshotPosition;
    const bool isSnapshotExpired = status.snapshotPosition > 0 && !status.isSnapshotKept;
    const bool isLogTruncatedWithoutSnapshot = status.snapshotPosition == 0 && status.logFirst > 1;
    const bool isCountDue = uncoveredRecords >= policy.maxUncoveredRecords + rankDelayRecords * rank;
    const bool isRecordAgeDue =
        isOlderThan(status.oldestUncoveredMs, retentionMs / recordAgeDivisor + rankDelayMs, nowMs);
    const bool isSnapshotAgeDue =
        isOlderThan(status.snapshotTimeMs, retentionMs / snapshotAgeDivisor + rankDelayMs, nowMs);
    return isSnapshotExpired || isLogTruncatedWithoutSnapshot || isCountDue || isRecordAgeDue || isSnapshotAgeDue;
}

} // namespace pistachioquay
