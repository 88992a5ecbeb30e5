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

TEST_CASE("each route has its own estimate")
{
    caller_timeouts timeouts;
    timeSinceFirstAttempt(timeouts, "lookup", longest);
    CHECK(timeSinceFirstAttempt(timeouts, "audit", milliseconds(300)) == milliseconds{0});
}
