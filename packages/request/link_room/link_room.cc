#include "request/link_room/link_room.h"

#include <numeric>

namespace pistachioquay {

namespace {

std::uint64_t sumOf(const std::map<std::string, link_reservations::reservation> &reservations)
{
    return std::accumulate(reservations.begin(),
                           reservations.end(),
                           std::uint64_t{0},
                           [](std::uint64_t sum, const auto &item) {
                               return sum + item.second.bytes;
                           });
}

std::uint64_t reservedBytes(const link_reservations &link)
{
    return sumOf(link.reservations);
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

bool reserveMemory(body_memory &memory, const std::string &id, std::uint64_t bytes, time_point now)
{
    std::erase_if(memory.bodies, [&](const auto &item) {
        return item.second.until <= now;
    });
    const auto limit = static_cast<double>(memory.memoryBytes) * bodyMemoryShare;
    const auto copies = static_cast<double>(copiesOfBody);
    const double wanted = (static_cast<double>(sumOf(memory.bodies)) + static_cast<double>(bytes)) * copies;
    const bool isGranted = memory.memoryBytes == 0 || wanted <= limit;
    if (isGranted) {
        memory.bodies[id] = {bytes, now + reservationTimeout};
    }
    return isGranted;
}

void holdMemory(body_memory &memory, const std::string &id, std::uint64_t bytes)
{
    memory.bodies[id] = {bytes, time_point::max()};
}

void releaseMemory(body_memory &memory, const std::string &id)
{
    memory.bodies.erase(id);
}

double reservedShare(const link_reservations &link)
{
    return link.bytesPerMs > 0 ? static_cast<double>(reservedBytes(link)) / capacityBytes(link) : 0.0;
}

} // namespace pistachioquay
