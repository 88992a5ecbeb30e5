#include "request/link_room/link_booking.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

double meanBytesOf(const link_bookings &bookings, const std::string &route)
{
    const auto found = bookings.meanBytes.find(route);
    return found == bookings.meanBytes.end() ? 0.0 : found->second;
}

} // namespace

void recordMeanBytes(link_bookings &bookings, const std::string &route, std::size_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto found = bookings.meanBytes.find(route);
    if (found != bookings.meanBytes.end()) {
        found->second += meanSizeWeight * (size - found->second);
    } else if (bookings.meanBytes.size() < maxSizedRoutes) {
        bookings.meanBytes[route] = size;
    }
}

bool isLargeRoute(const link_bookings &bookings, const std::string &route)
{
    return meanBytesOf(bookings, route) > static_cast<double>(largeResponseBytes);
}

booking_decision book(link_bookings &bookings, const booking_request &request, const link_state &link, time_point now)
{
    if (link.drainBytesPerMs <= 0 || !isLargeRoute(bookings, request.route)) {
        return {};
    }
    const double bytes = meanBytesOf(bookings, request.route);
    const double untilReadyMs = request.waitMs + request.runMs;
    const double ownMs = bytes / link.drainBytesPerMs;
    // The link goes on sending what precedes the response while the request waits and runs.
    const double queueMs = std::max(0.0, transferWaitMs(bookings, link) - untilReadyMs);
    const double count = static_cast<double>(bookings.booked.size()) + 1;
    const double marginMs = ownMs * sizeSpread * marginDeviations * std::sqrt(count);
    const time_point earliest = now + fromMs(untilReadyMs + ownMs);
    const bool isOnTimeWhenIdle = earliest <= request.targetAt;
    const double excessMs = isOnTimeWhenIdle
        ? msBetween(request.targetAt, earliest + fromMs(queueMs + marginMs))
        : std::max(queueMs - maxLateQueueTransfers * ownMs, msBetween(request.deadline, earliest + fromMs(queueMs)));
    booking_decision decision;
    decision.transferMs = queueMs + ownMs;
    const bool isIdle = bookings.booked.empty() && link.queuedBytes <= 0;
    if (excessMs > 0 && !isIdle) {
        decision.isBooked = false;
        decision.retryAfterMs = std::llround(std::ceil(excessMs));
        return decision;
    }
    releaseBooking(bookings, request.id);
    bookings.booked[request.id] = bytes;
    bookings.bookedBytes += bytes;
    return decision;
}

void releaseBooking(link_bookings &bookings, const std::string &id)
{
    const auto found = bookings.booked.find(id);
    if (found == bookings.booked.end()) {
        return;
    }
    bookings.bookedBytes -= found->second;
    bookings.booked.erase(found);
    if (bookings.booked.empty()) {
        bookings.bookedBytes = 0; // without the rounding errors of the sum
    }
}

double transferWaitMs(const link_bookings &bookings, const link_state &link)
{
    return link.drainBytesPerMs > 0 ? (link.queuedBytes + bookings.bookedBytes) / link.drainBytesPerMs : 0.0;
}

} // namespace pistachioquay
