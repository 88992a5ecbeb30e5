// Reservations of bandwidth on the link of a VM for large request bodies that are sent to it.
//
//   if (!reserveBandwidth(link, id, bytes, now)) return refuse();           // before the body is sent
//   ...
//   releaseBandwidth(link, id);                                             // once it has arrived
//
// Load pattern: many nodes send uploads to the fastest worker at once. Its slots are free, but the link of its VM is
// saturated: the bodies queue on it for seconds, and all other messages behind them. A sender therefore asks first, and
// the receiving node grants only as much as its link can transfer within `reservableTime`.
//
// All functions operate on the state of one event loop and are not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds reservableTime{150}; // total reservations, as transfer time of the link
inline constexpr milliseconds reservationTimeout{1500}; // a body that has not arrived by then loses its reservation

struct link_reservations
{
    struct reservation
    {
        std::uint64_t bytes = 0;
        time_point until;
    };
    double bytesPerMs = 0; // rate of the link; 0 if unknown: everything is granted
    std::map<std::string, reservation> reservations; // by request id
};

// reserveBandwidth returns whether a body may be sent, and reserves bandwidth for it if so. A link without other
// reservations accepts a body of any size.
bool reserveBandwidth(link_reservations &link, const std::string &id, std::uint64_t bytes, time_point now);

// releaseBandwidth ends a reservation.
void releaseBandwidth(link_reservations &link, const std::string &id);

// reservedShare returns the reserved share of the link; may exceed 1 for a single large body.
double reservedShare(const link_reservations &link);

} // namespace pistachioquay
