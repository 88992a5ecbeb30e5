// Guards against requests that break the protocol, callers that leave unnoticed, and responses that look complete
// though they are not.
#include <catch2/catch.hpp>

#include <atomic>

#include "connection/loop/http_server.h"
#include "connection/loop/loop_fixture.h"
#include "testing/harness/raw_socket.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

// A server on a free port that answers with the method, target and body, unless the target asks for something else.
class echo_server
{
public:
    explicit echo_server(server_limits bounds = {})
        : m_server(m_loop.executor(),
                   {.address = {"127.0.0.1", 0},
                    .bounds =
                        [bounds] {
                            return bounds;
                        }},
                   [this](const whole_request &request, caller_connection &caller) {
                       return answer(request, caller);
                   })
    {
        m_loop.run([this] {
            return attempt([this] {
                       return m_server.start();
                   })
                .
                operator bool();
        });
    }
    ~echo_server()
    {
        m_loop.run([this] {
            m_server.stop();
            return 0;
        });
        m_loop.stop();
    }

    endpoint address()
    {
        return m_server.address();
    }
    int handled() const
    {
        return m_handled;
    }
    bool sawCallerLeave() const
    {
        return m_sawCallerLeave;
    }

private:
    awaitable<whole_response> answer(const whole_request &request, caller_connection &caller)
    {
        ++m_handled;
        if (request.target == "/throw") {
            throw std::runtime_error("handler");
        }
        if (request.target == "/wait") {
            async_event left(m_loop.executor());
            caller.onDisconnect([&left] {
                left.notify();
            });
            m_sawCallerLeave = co_await left.waitUntil(steadyNow() + seconds(5));
            caller.onDisconnect(nullptr);
        }
        co_return textReply(200, request.method + " " + request.target + " " + request.body);
    }

    loop_thread m_loop;
    std::atomic<int> m_handled = 0;
    std::atomic<bool> m_sawCallerLeave = false;
    async_http_server m_server;
};

std::string roundTrip(echo_server &server, std::string_view text)
{
    raw_connection caller(server.address());
    caller.send(text);
    return caller.receiveAll();
}

} // namespace

TEST_CASE("bodies with a length and in chunks arrive whole")
{
    echo_server server;
    CHECK(roundTrip(server, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc")
              .ends_with("POST /a abc"));
    CHECK(roundTrip(server,
                    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
              .ends_with("POST /a abc"));
}

TEST_CASE("several requests use one connection, also when they come at once")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string text = caller.receiveUntil("GET /2 ");
    CHECK(text.find("GET /1 ") < text.find("GET /2 "));
}

TEST_CASE("a request with two framings is refused and not run")
{
    echo_server server;
    const std::string text = roundTrip(server,
                                       "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 400"));
    CHECK(server.handled() == 0);
}

TEST_CASE("bounds on headers, bodies and time give their status and a close")
{
    echo_server server({.headerBytes = 512, .bodyBytes = 10, .headerTimeout = milliseconds(200)});
    CHECK(roundTrip(server, "GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(600, 'a') + "\r\n\r\n")
              .starts_with("HTTP/1.1 431"));
    CHECK(roundTrip(server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(roundTrip(server, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(server.handled() == 0);
}

TEST_CASE("a head that takes too long ends its connection")
{
    echo_server server({.headerTimeout = milliseconds(200)});
    const time_point begin = steadyNow();
    CHECK(roundTrip(server, "GET / HTTP/1.1\r\nHost").empty());
    CHECK(steadyNow() - begin < milliseconds(2000));
    CHECK(server.handled() == 0);
}

TEST_CASE("a connection that stays idle beyond the timeout is closed without a response")
{
    echo_server server({.idleTimeout = milliseconds(200)});
    raw_connection caller(server.address());
    const time_point begin = steadyNow();
    CHECK(caller.isClosedByPeer());
    CHECK(steadyNow() - begin >= milliseconds(200));
    CHECK(caller.receiveAll().empty());
}

TEST_CASE("a caller that leaves while its request is served is noticed within half a second")
{
    echo_server server;
    const time_point begin = steadyNow();
    {
        raw_connection caller(server.address());
        caller.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        while (server.handled() == 0 && steadyNow() - begin < longestWait) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    const time_point left = steadyNow();
    while (!server.sawCallerLeave() && steadyNow() - left < longestWait) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(server.sawCallerLeave());
    CHECK(steadyNow() - left < milliseconds(500));
}

TEST_CASE("a handler that throws gives a whole 500 response")
{
    echo_server server;
    const std::string text = roundTrip(server, "GET /throw HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 500"));
    CHECK(text.ends_with("internal error\n"));
}

TEST_CASE("a caller that waits for 100 Continue gets it")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n");
    CHECK(caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
    caller.send("ok");
    CHECK(caller.receiveAll().ends_with("POST /a ok"));
}
