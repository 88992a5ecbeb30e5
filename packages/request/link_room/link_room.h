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
// Load pattern: uploads of tens of megabytes arrive for all slots of a worker at once, and the node beside it runs out
// of memory. It grants only as many as fit into `bodyMemoryShare` of its memory, with the copies that it makes of each.
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

inline constexpr double bodyMemoryShare = 0.5; // of the node's memory, for large bodies with their copies
// The message, the request for the worker, and the bytes that are written to it.
inline constexpr std::uint64_t copiesOfBody = 3;

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

// Memory for the large bodies that other nodes send, from their reservation until their request has ended.
struct body_memory
{
    std::uint64_t memoryBytes = 0; // of the node; 0 if unknown: everything is granted
    std::map<std::string, link_reservations::reservation> bodies; // by request id
};

// reserveMemory returns whether a body fits into the memory beside those that are held, and reserves it if so. The
// reservation ends after `reservationTimeout` unless the body arrives.
bool reserveMemory(body_memory &memory, const std::string &id, std::uint64_t bytes, time_point now);

// holdMemory records that a body has arrived, with or without a reservation, and is held until `releaseMemory`.
void holdMemory(body_memory &memory, const std::string &id, std::uint64_t bytes);

// releaseMemory ends a reservation or records that a body is freed.
void releaseMemory(body_memory &memory, const std::string &id);

// reservedShare returns the reserved share of the link; may exceed 1 for a single large body.
double reservedShare(const link_reservations &link);

} // namespace pistachioquay
