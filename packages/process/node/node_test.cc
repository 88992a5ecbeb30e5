#include <catch2/catch.hpp>

#include <optional>
#include <thread>

#include "connection/wire/socket.h"
#include "process/node/worker_health.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds checkWait{2000}; // far longer than a dying process needs to close its port
constexpr milliseconds shortCheckWait{60};
constexpr milliseconds closingDelay{30};

tcp_listener listenAnywhere()
{
    auto listener = attempt([] {
        return listenTcp({"127.0.0.1", 0});
    });
    REQUIRE(listener);
    return std::move(*listener);
}

} // namespace

TEST_CASE("a port that closes some milliseconds after the connections of its process counts as closed")
{
    std::optional<tcp_listener> listener = listenAnywhere();
    const endpoint address = listener->address;
    std::jthread dying([&] {
        std::this_thread::sleep_for(closingDelay);
        listener.reset();
    });
    CHECK(isPortClosed(address, steadyNow() + checkWait));
}

TEST_CASE("a port that stays open does not count as closed")
{
    const tcp_listener listener = listenAnywhere();
    CHECK_FALSE(isPortClosed(listener.address, steadyNow() + shortCheckWait));
}
