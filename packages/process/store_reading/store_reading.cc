#include "process/store_reading/store_reading.h"

#include <algorithm>

namespace pistachioquay {

namespace {

constexpr unsigned maxDoublings = 10; // beyond it every pause is the longest

} // namespace

bool shouldRead(const reader_status &facts)
{
    const milliseconds overdue = longPollWait(facts.bound) + facts.bound / 8;
    return facts.rank == 0 || facts.behindFor > facts.bound / 3
        || facts.sinceReaderAnnouncement > overdue + rankStagger * std::min<std::size_t>(facts.rank - 1, lastStagger);
}

milliseconds longPollWait(milliseconds bound)
{
    return bound * 3 / 5;
}

milliseconds readBackoff(unsigned failures, std::size_t rank)
{
    const unsigned doublings = std::min(failures > 0 ? failures - 1 : 0U, maxDoublings);
    const milliseconds longest =
        longestReadPause + readPausePerRank * static_cast<std::int64_t>(std::min(rank, lastPauseRank));
    return std::min(firstReadPause * (1U << doublings), longest);
}

} // namespace pistachioquay
