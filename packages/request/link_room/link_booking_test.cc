// Guards against downloads that are accepted beyond what the link carries, so that all of them arrive late, and against
// small replies that wait behind them.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>

#include "base/milliseconds.h"
#include "connection/pacing/link_pacer.h"
#include "request/link_room/link_booking.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock
constexpr double slowLink = 1375; // 11 Mbit/s

link_bookings downloadsOf(std::size_t bytes)
{
    link_bookings bookings;
    recordMeanBytes(bookings, "downloads", bytes);
    recordMeanBytes(bookings, "calls", 1000);
    return bookings;
}

booking_request requestOf(std::string id, std::string route, std::int64_t targetMs = 1000)
{
    return {std::move(id), std::move(route), 0, 200, start + milliseconds(targetMs), start + milliseconds(2500)};
}

} // namespace

TEST_CASE("downloads are booked up to what the link carries until their target, and small responses always")
{
    link_bookings bookings = downloadsOf(100'000);
    const link_state link{1000, 0}; // 100 ms for each response
    int booked = 0;
    booking_decision refused;
    for (int index = 0; index < 50; ++index) {
        const booking_decision decision = book(bookings, requestOf(std::to_string(index), "downloads"), link, start);
        booked += decision.isBooked ? 1 : 0;
        refused = decision.isBooked ? refused : decision;
    }
    CHECK(booked * 100 <= 1000);
    CHECK(booked * 100 >= 1000 / 2);
    CHECK(refused.retryAfterMs > 0);
    CHECK(refused.retryAfterMs <= 1000);
    CHECK(book(bookings, requestOf("small", "calls"), link, start).isBooked);
    releaseBooking(bookings, "0");
    CHECK(book(bookings, requestOf("next", "downloads"), link, start).isBooked);
}

TEST_CASE("a download that misses its target in any case is booked only if the link is almost idle")
{
    link_bookings bookings = downloadsOf(100'000);
    CHECK(book(bookings, requestOf("idle", "downloads", -100), {1000, 0}, start).isBooked);
    CHECK_FALSE(book(bookings, requestOf("behind", "downloads", -100), {1000, 500'000}, start).isBooked);
    CHECK(book(bookings, requestOf("on-time", "downloads"), {1000, 300'000}, start).isBooked);
}

TEST_CASE("a mean size that is too large refuses requests of its route only while the link is used")
{
    link_bookings bookings = downloadsOf(50'000'000);
    CHECK(book(bookings, requestOf("first", "downloads"), {1000, 0}, start).isBooked);
    CHECK_FALSE(book(bookings, requestOf("second", "downloads"), {1000, 0}, start).isBooked);
    releaseBooking(bookings, "first");
    CHECK(book(bookings, requestOf("third", "downloads"), {1000, 0}, start).isBooked);
}

TEST_CASE("everything is booked on a link without pacing, and no bytes are left over")
{
    link_bookings bookings = downloadsOf(100'000);
    CHECK(book(bookings, requestOf("a", "downloads"), {0, 1e12}, start).isBooked);
    CHECK(transferWaitMs(bookings, {0, 1e12}) == 0);
    REQUIRE(book(bookings, requestOf("b", "downloads"), {1000, 0}, start).isBooked);
    REQUIRE(book(bookings, requestOf("b", "downloads"), {1000, 0}, start).isBooked);
    releaseBooking(bookings, "b");
    releaseBooking(bookings, "unknown");
    CHECK(bookings.bookedBytes == 0);
}

namespace {

// Replays the load of a VM with a link of 11 Mbit/s: 20 replies of 1 KB a second beside downloads of 90 KB, and returns
// what became of them. The link sends what it is given in order.
struct replay_result
{
    double longestSmallWaitMs = 0;
    int offered = 0;
    int booked = 0;
    int late = 0; // of the booked ones
};

replay_result replayDownloads(double downloadsPerSecond, milliseconds length)
{
    struct running_download
    {
        std::uint64_t ticket;
        std::uint64_t bytes;
        time_point readyAt;
        time_point targetAt;
    };
    std::mt19937 generator(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same load each time
    std::lognormal_distribution<double> sizes(std::log(90'000) - 0.18, 0.6);
    std::lognormal_distribution<double> runs(std::log(200), 0.3);
    std::bernoulli_distribution arrives(downloadsPerSecond / 1000.0);
    link_bookings bookings = downloadsOf(90'000);
    link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
    std::vector<running_download> running;
    std::map<std::uint64_t, time_point> targets;
    double linkQueue = 0;
    replay_result result;
    for (milliseconds at{0}; at < length; at += milliseconds(1)) {
        const time_point now = start + at;
        linkQueue = std::max(0.0, linkQueue - slowLink);
        if (at.count() % 50 == 0) {
            linkQueue += 1000;
            recordUnpaced(pacer, 1000, now);
            result.longestSmallWaitMs = std::max(result.longestSmallWaitMs, linkQueue / slowLink);
        }
        if (arrives(generator)) {
            const auto ticket = static_cast<std::uint64_t>(++result.offered);
            const link_state link{drainBytesPerMs(pacer, now), static_cast<double>(queuedBytes(pacer))};
            const time_point targetAt = now + milliseconds(1000);
            const booking_request request{std::to_string(ticket),
                                          "downloads",
                                          0,
                                          200,
                                          targetAt,
                                          now + milliseconds(2500)};
            if (book(bookings, request, link, now).isBooked) {
                ++result.booked;
                const auto bytes = static_cast<std::uint64_t>(std::min(sizes(generator), 540'000.0));
                running.push_back({ticket, bytes, now + fromMs(runs(generator)), targetAt});
            }
        }
        std::erase_if(running, [&](const running_download &download) {
            if (download.readyAt > now) {
                return false;
            }
            releaseBooking(bookings, std::to_string(download.ticket));
            recordMeanBytes(bookings, "downloads", download.bytes);
            targets[download.ticket] = download.targetAt;
            addTransfer(pacer,
                        {download.ticket, transfer_class::Body, download.bytes, download.targetAt, now + seconds(5)},
                        now);
            return true;
        });
        while (const auto chunk = takeChunk(pacer, now, [](std::uint64_t) {
                   return true;
               })) {
            linkQueue += static_cast<double>(chunk->bytes);
            const time_point deliveredAt = now + fromMs(linkQueue / slowLink);
            result.late += chunk->isLast && deliveredAt > targets[chunk->ticket] ? 1 : 0;
        }
    }
    return result;
}

} // namespace

TEST_CASE(
    "beside more downloads than the link carries, small replies are not delayed and accepted downloads are on time")
{
    for (const double perSecond : {15.0, 30.0}) {
        const replay_result result = replayDownloads(perSecond, seconds(60));
        INFO("downloads a second: " << perSecond << ", offered " << result.offered << ", booked " << result.booked
                                    << ", late " << result.late << ", longest small wait "
                                    << result.longestSmallWaitMs);
        CHECK(result.longestSmallWaitMs < 30);
        CHECK(result.late * 100 <= result.booked);
        // Refusing is right only for what the link cannot carry: at least 90% of its paced share is used.
        CHECK(result.booked * 90'000.0 >= 0.9 * slowLink * pacedShare * 60'000.0);
        CHECK(result.booked < result.offered);
    }
}
