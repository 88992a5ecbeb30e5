// Room on the link of a VM for large bodies on their way to it.
//
//   if (!reserveBandwidth(room, id, bytes, now)) return refuse();           // before the body is sent
//   ...
//   releaseBandwidth(room, id);                                             // when it has arrived
//
// Load pattern: many nodes send uploads to the fastest worker at once. Its slots are free, but the link of its VM is
// not: the bodies queue up on it for seconds, and every other message behind them. So a sender asks first, and a node
// grants only what its link carries within `roomTime`.
//
// All functions work on one state of one loop and are not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds roomTime{150}; // of the link's rate that may be reserved at a time
inline constexpr milliseconds reservationKept{1500}; // a body that has not arrived by then is not waited for

struct link_reservations
{
    struct reservation
    {
        std::uint64_t bytes = 0;
        time_point until;
    };
    double bytesPerMs = 0; // rate of the link; 0: not known, everything is granted
    std::map<std::string, reservation> reservations; // by request id
};

// reserveBandwidth grants or refuses room for a body. A link without other reservations takes a body of any size.
bool reserveBandwidth(link_reservations &room, const std::string &id, std::uint64_t bytes, time_point now);

// releaseBandwidth ends a reservation.
void releaseBandwidth(link_reservations &room, const std::string &id);

// reservedShare returns which share of the room is reserved.
double reservedShare(const link_reservations &room);

} // namespace pistachioquay
