#include <catch2/catch.hpp>

#include <optional>
#include <thread>

#include "connection/wire/socket.h"
#include "process/node/worker_health.h"
#include "testing/harness/raw_socket.h"

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

TEST_CASE("a worker is ready only if it answers its health check completely")
{
    constexpr int enoughPolls = 3;
    const auto [response, isWhole] =
        GENERATE(table<std::string, bool>({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
                                           {"HTTP/1.1 200 OK\r\n\r\nok", true},
                                           {"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", true},
                                           {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false},
                                           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", false},
                                           {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", false},
                                           {"HTTP/1.1 200 OK\r\nConn", false},
                                           {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false},
                                           {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n", false},
                                           {"", false}}));
    CAPTURE(response);
    testing::raw_server upstream([sent = response](testing::raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send(sent);
    });
    worker_health health(upstream.address(), [] {});
    std::jthread polling([&](const std::stop_token &stop) {
        health.run(stop);
    });
    const time_point until = steadyNow() + testing::longestWait;
    while (upstream.connections() < enoughPolls && steadyNow() < until) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(health.isReady() == isWhole);
}
