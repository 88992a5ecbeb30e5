// Guards against a link that is saturated by uploads while the worker behind it has free slots.
#include <catch2/catch.hpp>

#include "request/link_room/link_room.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock
constexpr double slowLink = 875; // 7 Mbit/s

} // namespace

TEST_CASE("reservations do not exceed what the link transfers within the limit")
{
    link_reservations link{slowLink, {}};
    std::uint64_t granted = 0;
    for (int index = 0; index < 50; ++index) {
        granted += reserveBandwidth(link, std::to_string(index), 60000, start) ? 60000U : 0U;
    }
    CHECK(granted >= 60000);
    CHECK(static_cast<double>(granted) <= slowLink * static_cast<double>(reservableTime.count()));
}

TEST_CASE("bandwidth is available again when a reservation is released or times out")
{
    link_reservations link{slowLink, {}};
    REQUIRE(reserveBandwidth(link, "a", 130000, start));
    CHECK_FALSE(reserveBandwidth(link, "b", 60000, start));
    releaseBandwidth(link, "a");
    CHECK(reserveBandwidth(link, "b", 60000, start));
    CHECK_FALSE(reserveBandwidth(link, "c", 130000, start));
    CHECK(reserveBandwidth(link, "c", 130000, start + reservationTimeout));
}

TEST_CASE("a body of any size is granted on an idle link")
{
    link_reservations link{slowLink, {}};
    CHECK(reserveBandwidth(link, "large", 60'000'000, start));
}

TEST_CASE("everything is granted while the rate of the link is unknown")
{
    link_reservations link;
    CHECK(reserveBandwidth(link, "a", 60'000'000, start));
    CHECK(reserveBandwidth(link, "b", 60'000'000, start));
    CHECK(reservedShare(link) == 0);
}

TEST_CASE("large bodies are granted only while they fit into the memory with their copies, until they are freed")
{
    constexpr std::uint64_t mebibyte = 1024UL * 1024;
    body_memory memory{260 * mebibyte, {}};
    CHECK(reserveMemory(memory, "a", 20 * mebibyte, start));
    CHECK(reserveMemory(memory, "b", 20 * mebibyte, start));
    CHECK_FALSE(reserveMemory(memory, "c", 20 * mebibyte, start));
    holdMemory(memory, "a", 20 * mebibyte);
    CHECK(reserveMemory(memory, "c", 20 * mebibyte, start + reservationTimeout)); // b has not arrived
    CHECK_FALSE(reserveMemory(memory, "d", 20 * mebibyte, start + reservationTimeout));
    releaseMemory(memory, "a");
    CHECK(reserveMemory(memory, "d", 20 * mebibyte, start + reservationTimeout));
}
