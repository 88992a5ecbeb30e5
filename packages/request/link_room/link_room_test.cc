// Guards against a link that fills up with uploads while the worker behind it has free slots.
#include <catch2/catch.hpp>

#include "request/link_room/link_room.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero
constexpr double slowLink = 875; // 7 Mbit/s

} // namespace

TEST_CASE("no more is granted than the link carries within its time")
{
    link_reservations room{slowLink, {}};
    std::uint64_t granted = 0;
    for (int index = 0; index < 50; ++index) {
        granted += reserveBandwidth(room, std::to_string(index), 60000, start) ? 60000U : 0U;
    }
    CHECK(granted >= 60000);
    CHECK(static_cast<double>(granted) <= slowLink * static_cast<double>(roomTime.count()));
}

TEST_CASE("room is free again when a body has arrived, or was not sent")
{
    link_reservations room{slowLink, {}};
    REQUIRE(reserveBandwidth(room, "a", 130000, start));
    CHECK_FALSE(reserveBandwidth(room, "b", 60000, start));
    releaseBandwidth(room, "a");
    CHECK(reserveBandwidth(room, "b", 60000, start));
    CHECK_FALSE(reserveBandwidth(room, "c", 130000, start));
    CHECK(reserveBandwidth(room, "c", 130000, start + reservationKept));
}

TEST_CASE("a body of any size gets through an idle link")
{
    link_reservations room{slowLink, {}};
    CHECK(reserveBandwidth(room, "large", 60'000'000, start));
}

TEST_CASE("an unknown rate grants everything")
{
    link_reservations room;
    CHECK(reserveBandwidth(room, "a", 60'000'000, start));
    CHECK(reserveBandwidth(room, "b", 60'000'000, start));
    CHECK(reservedShare(room) == 0);
}
