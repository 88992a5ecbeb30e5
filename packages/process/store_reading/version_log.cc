#include "process/store_reading/version_log.h"

#include <algorithm>

namespace pistachioquay {

std::optional<store_position> readPosition(const version_log &log, const store_eras &eras, std::uint64_t appliedVersion)
{
    const bool isUsable = log.position && isCurrent(eras, log.position->era) && log.appliedVersion == appliedVersion;
    return isUsable ? log.position : std::nullopt;
}

store_version_read
recordLogRead(version_log &log, const log_read &read, std::uint64_t appliedVersion, bool mayLackWrites)
{
    if (log.position && log.position->era != read.position.era) {
        log.newestVersion = 0;
    }
    log.position = read.position;
    if (read.hasNewest) {
        log.isNewestReadable = read.version.has_value();
        log.newestVersion = std::max(log.newestVersion, read.version.value_or(0));
    }
    return {.isComplete = read.isComplete,
            .isNewestReadable = log.isNewestReadable,
            .newestVersion = log.newestVersion,
            .appliedVersion = appliedVersion,
            .mayLackWrites = mayLackWrites};
}

bool isBehind(const store_version_read &read)
{
    return read.newestVersion < read.appliedVersion;
}

bool provesNewest(const store_version_read &read)
{
    // A newest version that cannot be decoded may have taken keys away.
    return read.isComplete && read.isNewestReadable && !read.mayLackWrites && !isBehind(read);
}

} // namespace pistachioquay
