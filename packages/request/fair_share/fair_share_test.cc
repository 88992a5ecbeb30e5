// Guards against flows with few requests that an overloaded worker never serves.
#include <catch2/catch.hpp>

#include "request/fair_share/fair_share.h"

using namespace pistachioquay;

namespace {

const time_point start{};

// Replays a minute of overload: a heavy flow of 100 requests a second of which two thirds are served, and a light one
// of one request a second that would always be refused. Returns how many of its 60 requests are served.
int servedOfLightFlow(bool usesShares)
{
    flow_shares shares;
    int served = 0;
    for (int tick = 0; tick < 6000; ++tick) {
        const time_point now = start + milliseconds(10 * tick);
        recordOffered(shares, "heavy", now);
        if (tick % 3 != 0) {
            recordServed(shares, "heavy", now);
        }
        if (tick % 100 == 0) {
            recordOffered(shares, "light", now);
            if (usesShares && isUnderserved(shares, "light")) {
                recordServed(shares, "light", now);
                ++served;
            }
        }
    }
    return served;
}

} // namespace

TEST_CASE("a light flow is served about as often as the others under a lasting overload")
{
    CHECK(servedOfLightFlow(false) == 0);
    const int served = servedOfLightFlow(true);
    CHECK(served >= 60 / 4);
    CHECK(served <= 60);
}

TEST_CASE("a heavy flow is never underserved")
{
    flow_shares shares;
    for (int index = 0; index < 100; ++index) {
        recordOffered(shares, "heavy", start);
        recordOffered(shares, "other", start);
        recordServed(shares, "other", start);
    }
    CHECK_FALSE(isUnderserved(shares, "heavy"));
}

TEST_CASE("without overload no flow is underserved, and unknown flows are not either")
{
    flow_shares shares;
    for (int index = 0; index < 100; ++index) {
        const std::string flow = index % 50 == 0 ? "light" : "heavy";
        recordOffered(shares, flow, start);
        recordServed(shares, flow, start);
    }
    CHECK_FALSE(isUnderserved(shares, "light"));
    CHECK_FALSE(isUnderserved(shares, "unknown"));
}

TEST_CASE("the number of flows stays bounded, and old ones make room")
{
    flow_shares shares;
    for (int index = 0; index < 5000; ++index) {
        recordOffered(shares, "flow-" + std::to_string(index), start);
    }
    CHECK(shares.flows.size() == maxFlows);
    recordOffered(shares, "later", start + seconds(60));
    CHECK(shares.flows.size() == 1);
}
