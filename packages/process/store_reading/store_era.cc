#include "process/store_reading/store_era.h"

#include <algorithm>

namespace pistachioquay {

namespace {

void enterEra(store_eras &eras, std::uint64_t era, boot_time now)
{
    eras.current = era;
    eras.knownSince = now;
}

} // namespace

era_change recordEra(store_eras &eras, std::uint64_t era, boot_time sentAt, boot_time now)
{
    if (!eras.current) {
        enterEra(eras, era, now);
        return era_change::First;
    }
    if (era == *eras.current) {
        return era_change::None;
    }
    if (era < *eras.current) {
        if (sentAt <= eras.knownSince) {
            return era_change::Outdated;
        }
        eras.refuted = std::max(eras.refuted, *eras.current);
    }
    enterEra(eras, era, now);
    ++eras.returns;
    return era_change::Returned;
}

bool recordToldEra(store_eras &eras, std::uint64_t era, milliseconds age, boot_time now)
{
    if (eras.current == era) {
        eras.knownSince = std::min<boot_time>(eras.knownSince, now - age);
    }
    if (!eras.current || era <= *eras.current || era <= eras.refuted) {
        return false;
    }
    enterEra(eras, era, now - age);
    ++eras.returns;
    return true;
}

bool isCurrent(const store_eras &eras, std::uint64_t era)
{
    return eras.current == era;
}

boot_time provableFrom(const store_eras &eras)
{
    return eras.current ? eras.knownSince + rewriteTime : boot_time::max();
}

bool mayLackWrites(const store_eras &eras, boot_time sentAt)
{
    return eras.returns > 0 && sentAt < provableFrom(eras);
}

milliseconds rewriteSpread(std::size_t nodes)
{
    return rewriteSpreadPerNode * static_cast<std::int64_t>(nodes);
}

} // namespace pistachioquay
