// Guards against first attempts that count as retries, and are refused, because their callers have short timeouts.
#include <catch2/catch.hpp>

#include <random>

#include "base/random.h"
#include "request/attempt_age/attempt_age.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds longest{2500};
constexpr milliseconds targetLatency{400};

} // namespace

TEST_CASE("a first attempt is recognized whatever the timeout of its caller")
{
    caller_timeouts timeouts;
    random_generator generator(11);
    std::uniform_real_distribution<double> timeoutShare(0.85, 1.0);
    timeSinceFirstAttempt(timeouts, "lookup", longest);
    for (int index = 0; index < 1000; ++index) {
        const milliseconds stated(static_cast<std::int64_t>(longest.count() * timeoutShare(generator)));
        CHECK(timeSinceFirstAttempt(timeouts, "lookup", stated) == milliseconds{0});
    }
}

TEST_CASE("a retry sent well after the target is recognized as late")
{
    caller_timeouts timeouts;
    random_generator generator(12);
    std::uniform_real_distribution<double> timeoutShare(0.85, 1.0);
    timeSinceFirstAttempt(timeouts, "lookup", longest);
    constexpr milliseconds sinceFirstAttempt{900};
    for (int index = 0; index < 1000; ++index) {
        const milliseconds stated =
            milliseconds(static_cast<std::int64_t>(longest.count() * timeoutShare(generator))) - sinceFirstAttempt;
        CHECK(timeSinceFirstAttempt(timeouts, "lookup", stated) > targetLatency);
    }
}

TEST_CASE("one caller with a far longer timeout does not make the requests of the others look late for long")
{
    caller_timeouts timeouts;
    timeSinceFirstAttempt(timeouts, "lookup", milliseconds(3600 * 1000));
    for (unsigned index = 0; index < maxFarBelow; ++index) {
        timeSinceFirstAttempt(timeouts, "lookup", longest);
    }
    CHECK(timeSinceFirstAttempt(timeouts, "lookup", longest) == milliseconds{0});
}

TEST_CASE("many retries between two first attempts do not make a late retry look like a first attempt")
{
    caller_timeouts timeouts;
    constexpr milliseconds sinceFirstAttempt{900};
    for (int round = 0; round < 100; ++round) {
        CHECK(timeSinceFirstAttempt(timeouts, "lookup", longest) == milliseconds{0});
        for (int retry = 0; retry < 5; ++retry) {
            CHECK(timeSinceFirstAttempt(timeouts, "lookup", longest - sinceFirstAttempt) > targetLatency);
        }
    }
}

TEST_CASE("each route has its own estimate")
{
    caller_timeouts timeouts;
    timeSinceFirstAttempt(timeouts, "lookup", longest);
    CHECK(timeSinceFirstAttempt(timeouts, "audit", milliseconds(300)) == milliseconds{0});
}
