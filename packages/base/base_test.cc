// Guards the error, hash, jitter and ring primitives that every other library relies on.
#include <catch2/catch.hpp>

#include <thread>

#include "base/error.h"
#include "base/hash.h"
#include "base/program_start.h"
#include "base/random.h"
#include "base/ring.h"

using namespace pistachioquay;

TEST_CASE("attempt keeps the kind, message and remedy of a failure")
{
    const auto tried = attempt([]() -> result<int> {
        return fail(error_kind::Timeout, "no answer in 5 s", "check the address");
    });
    REQUIRE_FALSE(tried);
    CHECK(tried.failure().kind == error_kind::Timeout);
    CHECK(describe(tried.failure()) == "timeout: no answer in 5 s; check the address");
}

TEST_CASE("attempt returns the value of a success")
{
    const auto tried = attempt([]() -> result<int> {
        return 7;
    });
    REQUIRE(tried);
    CHECK(*tried == 7);
}

TEST_CASE("a hash survives the way to text and back, and garbage is refused")
{
    const hash128 digest = hashBytes("orders");
    hash128 read;
    REQUIRE(hashFromHex(toHex(digest), read));
    CHECK(read == digest);
    CHECK_FALSE(hashFromHex("zz", read));
    CHECK_FALSE(hashFromHex(std::string(32, 'g'), read));
}

TEST_CASE("full jitter stays under the cap for any number of attempts")
{
    random_generator generator(1);
    for (unsigned attempt = 0; attempt < 100; ++attempt) {
        const milliseconds delay = fullJitter(milliseconds(100), milliseconds(5000), attempt, generator);
        CHECK(delay.count() >= 0);
        CHECK(delay <= milliseconds(5000));
    }
}

TEST_CASE("a full ring refuses and keeps its order")
{
    bounded_ring<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    const std::stop_token never;
    CHECK(ring.pop(never) == 1);
    CHECK(ring.pop(never) == 2);
    CHECK(ring.popFor(milliseconds(1), never) == std::nullopt);
}

TEST_CASE("a stop request ends a waiting receiver")
{
    bounded_ring<int> ring(1);
    std::jthread receiver([&](const std::stop_token &stop) {
        CHECK(ring.pop(stop) == std::nullopt);
    });
    receiver.request_stop();
}

TEST_CASE("a settings file that cannot be read is refused with its path and a remedy")
{
    const auto tried = attempt([] {
        return readSettingsFile("/nowhere/node.toml");
    });
    REQUIRE_FALSE(tried);
    CHECK(tried.failure().kind == error_kind::InvalidSettings);
    CHECK(tried.failure().message.find("/nowhere/node.toml") != std::string::npos);
    CHECK_FALSE(tried.failure().remedy.empty());
}
