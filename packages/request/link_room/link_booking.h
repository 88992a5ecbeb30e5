// Bookings of the capacity of a VM's network link for the large responses of requests that wait or run at its worker.
//
//   recordMeanBytes(bookings, route, response.body.size());
//   const booking_decision decision = book(bookings, {id, route, waitMs, runMs, targetAt, deadline}, link, now);
//   if (!decision.isBooked) return refuse(decision.retryAfterMs);      // before the worker runs it
//   ...
//   releaseBooking(bookings, id);                                      // the response is being sent, or there is none
//
// Load pattern: callers ask for more downloads than the link of a VM carries. The worker has free slots and runs all of
// them, their responses queue at the link, and each one arrives late. The node therefore estimates the size of a
// response by the mean of its route, and refuses a request at once if its response would not have arrived by its target
// after what is queued and what was booked before, with a margin for the spread of their sizes. Requests of routes with
// small responses are not counted.
//
// All functions operate on the state of one event loop and are not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr std::size_t largeResponseBytes = 16UL * 1024; // up to this size they are sent at once and not booked
inline constexpr double meanSizeWeight = 0.05; // weight of one response in the mean size of its route
inline constexpr double sizeSpread = 0.5; // of the responses of a route, as share of their mean
inline constexpr double marginDeviations = 2.0; // margin for larger responses: about one in forty exceeds it
// Longest queue of a request that misses its target in any case, in transfer times of its response: more of them would
// fill the link up to their deadlines, and no later request would meet its target.
inline constexpr double maxLateQueueTransfers = 1.0;
inline constexpr std::size_t maxSizedRoutes = 4096; // bounds the memory; the sizes of further routes are not kept

struct link_bookings
{
    std::unordered_map<std::string, double> meanBytes; // of the responses, by route
    std::map<std::string, double> booked; // expected bytes by request id
    double bookedBytes = 0; // sum of `booked`
};

// The link as the node measures it.
struct link_state
{
    double drainBytesPerMs = 0; // rate for large payloads; 0: unknown or not paced, and everything is booked
    double queuedBytes = 0; // large payloads that wait to be sent

    friend auto operator<=>(const link_state &, const link_state &) = default;
};

struct booking_request
{
    std::string id;
    std::string route;
    double waitMs = 0; // expected, for a slot
    double runMs = 0; // expected
    time_point targetAt;
    time_point deadline;

    friend bool operator==(const booking_request &, const booking_request &) = default;
};

struct booking_decision
{
    bool isBooked = true;
    double transferMs = 0; // expected, from the end of the run until the response has arrived
    std::int64_t retryAfterMs = 0; // if refused: when the queue is expected to be short enough

    friend auto operator<=>(const booking_decision &, const booking_decision &) = default;
};

// recordMeanBytes counts a response of a route in the mean size of its responses.
void recordMeanBytes(link_bookings &bookings, const std::string &route, std::size_t bytes);

// isLargeRoute returns whether the responses of a route are booked.
bool isLargeRoute(const link_bookings &bookings, const std::string &route);

// book books the expected response of a request, unless it would arrive after its target. If the target is out of reach
// even on an idle link, it must arrive before its deadline and wait behind little else. A link without queue and
// bookings accepts everything: the mean size of a route may be wrong, and only further responses correct it.
booking_decision book(link_bookings &bookings, const booking_request &request, const link_state &link, time_point now);

// releaseBooking ends a booking, if there is one.
void releaseBooking(link_bookings &bookings, const std::string &id);

// transferWaitMs returns how long a large response that is ready now would wait for the link; 0 if it is not paced.
double transferWaitMs(const link_bookings &bookings, const link_state &link);

} // namespace pistachioquay
