// Guards first attempts of callers with little patience against being taken for late ones.
#include <catch2/catch.hpp>

#include <random>

#include "base/random.h"
#include "request/attempt_age/attempt_age.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds longest{2500};
constexpr milliseconds targetLatency{400};

} // namespace

TEST_CASE("first attempts have their whole target, whatever the patience of their callers")
{
    caller_timeouts ages;
    random_generator generator(11);
    std::uniform_real_distribution<double> patience(0.85, 1.0);
    timeSinceFirstAttempt(ages, "lookup", longest);
    for (int index = 0; index < 1000; ++index) {
        const milliseconds stated(static_cast<std::int64_t>(longest.count() * patience(generator)));
        CHECK(timeSinceFirstAttempt(ages, "lookup", stated) == milliseconds{0});
    }
}

TEST_CASE("a caller that comes back well after its target is known as late")
{
    caller_timeouts ages;
    random_generator generator(12);
    std::uniform_real_distribution<double> patience(0.85, 1.0);
    timeSinceFirstAttempt(ages, "lookup", longest);
    constexpr milliseconds away{900};
    for (int index = 0; index < 1000; ++index) {
        const milliseconds stated =
            milliseconds(static_cast<std::int64_t>(longest.count() * patience(generator))) - away;
        CHECK(timeSinceFirstAttempt(ages, "lookup", stated) > targetLatency);
    }
}

TEST_CASE("routes are told apart")
{
    caller_timeouts ages;
    timeSinceFirstAttempt(ages, "lookup", longest);
    CHECK(timeSinceFirstAttempt(ages, "audit", milliseconds(300)) == milliseconds{0});
}
