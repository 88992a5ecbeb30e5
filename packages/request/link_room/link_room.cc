#include "request/link_room/link_room.h"

#include <numeric>

namespace pistachioquay {

namespace {

std::uint64_t reservedBytes(const link_reservations &link)
{
    return std::accumulate(link.reservations.begin(),
                           link.reservations.end(),
                           std::uint64_t{0},
                           [](std::uint64_t sum, const auto &item) {
                               return sum + item.second.bytes;
                           });
}

double capacityBytes(const link_reservations &link)
{
    return link.bytesPerMs * static_cast<double>(reservableTime.count());
}

} // namespace

bool reserveBandwidth(link_reservations &link, const std::string &id, std::uint64_t bytes, time_point now)
{
    std::erase_if(link.reservations, [&](const auto &item) {
        return item.second.until <= now;
    });
    const auto totalBytes = static_cast<double>(reservedBytes(link) + bytes);
    const bool isGranted = link.bytesPerMs <= 0 || link.reservations.empty() || totalBytes <= capacityBytes(link);
    if (isGranted) {
        link.reservations[id] = {bytes, now + reservationTimeout};
    }
    return isGranted;
}

void releaseBandwidth(link_reservations &link, const std::string &id)
{
    link.reservations.erase(id);
}

double reservedShare(const link_reservations &link)
{
    return link.bytesPerMs > 0 ? static_cast<double>(reservedBytes(link)) / capacityBytes(link) : 0.0;
}

} // namespace pistachioquay
