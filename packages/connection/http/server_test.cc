#include <algorithm>
#include <catch2/catch.hpp>
#include <future>

#include "connection/http/server.h"
#include "testing/harness/raw_socket.h"

using namespace pistachioquay;
using pistachioquay::testing::raw_connection;

namespace {

// A server whose responses come from `respond`; reports how requests ended.
struct test_server
{
    explicit test_server(std::function<http_response()> respond, seconds timeout = seconds(10))
        : server({.address = {"127.0.0.1", 0}, .idleTimeout = timeout, .stallTimeout = timeout},
                 [this, respond](const request_head &, const caller_watch &) {
                     exchange steps;
                     steps.onBody = [](std::string_view) {
                         return true;
                     };
                     steps.onEnd = respond;
                     steps.onDone = [this](bool isComplete) {
                         if (!isReported.exchange(true)) {
                             ended.set_value(isComplete);
                         }
                     };
                     return steps;
                 })
    {
        REQUIRE(attempt([&] {
            return server.start();
        }));
    }

    bool endedWhole()
    {
        std::future<bool> result = ended.get_future();
        REQUIRE(result.wait_for(seconds(10)) == std::future_status::ready);
        return result.get();
    }

    std::promise<bool> ended;
    std::atomic<bool> isReported = false;
    http_server server;
};

http_response helloResponse()
{
    return textResponse(200, "text/plain", "hello");
}

} // namespace

TEST_CASE("a port in use is reported with its remedy", "[http]")
{
    test_server first(helloResponse);
    http_server second({.address = first.server.address()}, {});
    const auto started = attempt([&] {
        return second.start();
    });
    REQUIRE_FALSE(started);
    CHECK(started.failure().kind == error_kind::Unavailable);
    CHECK(started.failure().message.find(toText(first.server.address())) != std::string::npos);
    CHECK(started.failure().remedy.find("another port") != std::string::npos);
}

TEST_CASE("a response that is cut at its source ends without a clean end", "[http]")
{
    const bool isChunked = GENERATE(true, false);
    test_server cut([isChunked] {
        http_response response;
        response.head = {200, {}, isChunked ? std::nullopt : std::optional<std::uint64_t>(100)};
        response.read = [isFirst = true](std::span<char> buffer) mutable {
            if (!std::exchange(isFirst, false)) {
                return read_result{read_state::Cut, 0};
            }
            std::ranges::fill(buffer.first(50), 'x');
            return read_result{read_state::Data, 50};
        };
        return response;
    });
    raw_connection client(cut.server.address());
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string received = client.receiveAll();
    CHECK(received.find("xxxxx") != std::string::npos);
    CHECK(received.find("\r\n0\r\n") == std::string::npos);
    CHECK_FALSE(cut.endedWhole());
}

TEST_CASE("a garbled request line or an oversized header is refused and closes the connection", "[http]")
{
    test_server target(helloResponse);
    const std::string request =
        GENERATE(as<std::string>(),
                 "GARBLED\r\n\r\n",
                 "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(100000, 'x') + "\r\n\r\n");
    raw_connection client(target.server.address());
    client.send(request);
    const std::string received = client.receiveAll();
    CHECK((received.empty() || received.starts_with("HTTP/1.1 4") || received.starts_with("HTTP/1.0 4")));
    CHECK(received.find("hello") == std::string::npos);

    raw_connection next(target.server.address());
    next.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(next.receiveUntil("hello").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a body that makes no progress is cut", "[http]")
{
    test_server target(helloResponse, seconds(1));
    raw_connection client(target.server.address());
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nfirst part");
    CHECK_FALSE(target.endedWhole());
    CHECK(client.isClosedByPeer());
}

TEST_CASE("the time that a handler takes is not held against the caller", "[http]")
{
    test_server target(
        [] {
            std::this_thread::sleep_for(milliseconds(1500));
            return helloResponse();
        },
        seconds(1));
    raw_connection client(target.server.address());
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok");
    CHECK(client.receiveUntil("hello").ends_with("hello"));
    CHECK(target.endedWhole());
}

TEST_CASE("a refusal before the body keeps the connection usable", "[http]")
{
    http_server server({.address = {"127.0.0.1", 0}}, [](const request_head &, const caller_watch &) {
        exchange steps;
        steps.onHead = [] {
            return textResponse(503, "text/plain", "refused");
        };
        return steps;
    });
    REQUIRE(attempt([&] {
        return server.start();
    }));
    raw_connection client(server.address());
    for (int index = 0; index < 2; ++index) {
        client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
        CHECK(client.receiveUntil("refused").starts_with("HTTP/1.1 503"));
    }
    client.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    const std::string refusal = client.receiveUntil("refused");
    CHECK(refusal.starts_with("HTTP/1.1 503"));
}

TEST_CASE("stopping the server wakes a handler that waits for something else", "[http]")
{
    std::promise<void> begun;
    std::promise<bool> seen;
    http_server server({.address = {"127.0.0.1", 0}}, [&](const request_head &, const caller_watch &watch) {
        exchange steps;
        steps.onEnd = [&] {
            begun.set_value();
            const time_point until = steadyNow() + seconds(10);
            while (!watch.isGone() && steadyNow() < until) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            seen.set_value(watch.isGone());
            return helloResponse();
        };
        return steps;
    });
    REQUIRE(attempt([&] {
        return server.start();
    }));
    raw_connection client(server.address());
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(begun.get_future().wait_for(seconds(10)) == std::future_status::ready);
    server.stop();
    CHECK(seen.get_future().get());
}
