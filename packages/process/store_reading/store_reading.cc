#include "process/store_reading/store_reading.h"

#include <algorithm>

namespace pistachioquay {

namespace {

constexpr unsigned maxDoublings = 10; // prevents an overflow; each backoff reaches its maximum before

} // namespace

bool shouldRead(const reader_status &status)
{
    const milliseconds overdueAfter = longPollWait(status.bound) + status.bound / 8;
    return status.rank == 0 || status.behindFor > status.bound / 3
        || status.sinceReaderAnnouncement
        > overdueAfter + rankStagger * std::min<std::size_t>(status.rank - 1, maxStaggers);
}

milliseconds longPollWait(milliseconds bound)
{
    return bound * 3 / 5;
}

milliseconds readBackoff(unsigned failures, std::size_t rank)
{
    const unsigned doublings = std::min(failures > 0 ? failures - 1 : 0U, maxDoublings);
    const milliseconds longestBackoff =
        maxReadBackoff + maxReadBackoffPerRank * static_cast<std::int64_t>(std::min(rank, maxBackoffRank));
    return std::min(initialReadBackoff * (1U << doublings), longestBackoff);
}

} // namespace pistachioquay
