#include "request/link_room/link_room.h"

#include <numeric>

namespace pistachioquay {

namespace {

std::uint64_t reservedBytes(const link_reservations &room)
{
    return std::accumulate(room.reservations.begin(),
                           room.reservations.end(),
                           std::uint64_t{0},
                           [](std::uint64_t sum, const auto &item) {
                               return sum + item.second.bytes;
                           });
}

double capacityOf(const link_reservations &room)
{
    return room.bytesPerMs * static_cast<double>(roomTime.count());
}

} // namespace

bool reserveBandwidth(link_reservations &room, const std::string &id, std::uint64_t bytes, time_point now)
{
    std::erase_if(room.reservations, [&](const auto &item) {
        return item.second.until <= now;
    });
    const auto wanted = static_cast<double>(reservedBytes(room) + bytes);
    const bool isGranted = room.bytesPerMs <= 0 || room.reservations.empty() || wanted <= capacityOf(room);
    if (isGranted) {
        room.reservations[id] = {bytes, now + reservationKept};
    }
    return isGranted;
}

void releaseBandwidth(link_reservations &room, const std::string &id)
{
    room.reservations.erase(id);
}

double reservedShare(const link_reservations &room)
{
    return room.bytesPerMs > 0 ? static_cast<double>(reservedBytes(room)) / capacityOf(room) : 0.0;
}

} // namespace pistachioquay
