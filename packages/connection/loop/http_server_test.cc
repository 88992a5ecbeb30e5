// Guards against requests that violate the protocol, undetected disconnects of callers, and incomplete responses that
// look complete.
#include <catch2/catch.hpp>

#include <atomic>

#include "connection/loop/http_server.h"
#include "connection/loop/loop_fixture.h"
#include "testing/harness/raw_socket.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

// Server on a free port. It responds with the method, target and body of the request. The target /throw makes the
// handler throw; /wait makes it wait until the caller disconnects, for at most 5 s.
class echo_server
{
public:
    explicit echo_server(server_limits limits = {})
        : m_server(m_loop.executor(),
                   {.address = {"127.0.0.1", 0},
                    .bounds =
                        [limits] {
                            return limits;
                        }},
                   [this](const whole_request &request, caller_connection &caller) {
                       return respond(request, caller);
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
    int handledRequests() const
    {
        return m_handledRequests;
    }
    bool sawCallerDisconnect() const
    {
        return m_sawCallerDisconnect;
    }

private:
    awaitable<whole_response> respond(const whole_request &request, caller_connection &caller)
    {
        ++m_handledRequests;
        if (request.target == "/throw") {
            throw std::runtime_error("handler");
        }
        if (request.target == "/wait") {
            async_event callerGone(m_loop.executor());
            caller.onDisconnect([&callerGone] {
                callerGone.notify();
            });
            m_sawCallerDisconnect = co_await callerGone.waitUntil(steadyNow() + seconds(5));
            caller.onDisconnect(nullptr);
        }
        co_return textReply(200, request.method + " " + request.target + " " + request.body);
    }

    loop_thread m_loop;
    std::atomic<int> m_handledRequests = 0;
    std::atomic<bool> m_sawCallerDisconnect = false;
    async_http_server m_server;
};

std::string roundTrip(echo_server &server, std::string_view text)
{
    raw_connection caller(server.address());
    caller.send(text);
    return caller.receiveAll();
}

} // namespace

TEST_CASE("request bodies with Content-Length and with chunked encoding arrive complete")
{
    echo_server server;
    CHECK(roundTrip(server, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc")
              .ends_with("POST /a abc"));
    CHECK(roundTrip(server,
                    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
              .ends_with("POST /a abc"));
}

TEST_CASE("pipelined requests on one connection are answered in order")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string text = caller.receiveUntil("GET /2 ");
    CHECK(text.find("GET /1 ") < text.find("GET /2 "));
}

TEST_CASE("a request with both Content-Length and Transfer-Encoding is rejected without a call of the handler")
{
    echo_server server;
    const std::string text = roundTrip(server,
                                       "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 400"));
    CHECK(server.handledRequests() == 0);
}

TEST_CASE("oversized headers get 431, oversized bodies 413 and malformed requests 400")
{
    echo_server server({.headerBytes = 512, .bodyBytes = 10, .headerTimeout = milliseconds(200)});
    CHECK(roundTrip(server, "GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(600, 'a') + "\r\n\r\n")
              .starts_with("HTTP/1.1 431"));
    CHECK(roundTrip(server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(roundTrip(server, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(server.handledRequests() == 0);
}

TEST_CASE("a connection closes without a response if the headers exceed their timeout")
{
    echo_server server({.headerTimeout = milliseconds(200)});
    const time_point begin = steadyNow();
    CHECK(roundTrip(server, "GET / HTTP/1.1\r\nHost").empty());
    CHECK(steadyNow() - begin < milliseconds(2000));
    CHECK(server.handledRequests() == 0);
}

TEST_CASE("an idle connection is closed without a response after the idle timeout")
{
    echo_server server({.idleTimeout = milliseconds(200)});
    raw_connection caller(server.address());
    const time_point begin = steadyNow();
    CHECK(caller.isClosedByPeer());
    CHECK(steadyNow() - begin >= milliseconds(200));
    CHECK(caller.receiveAll().empty());
}

TEST_CASE("a caller that disconnects while its request is served is detected within half a second")
{
    echo_server server;
    const time_point begin = steadyNow();
    {
        raw_connection caller(server.address());
        caller.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
        while (server.handledRequests() == 0 && steadyNow() - begin < longestWait) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    const time_point disconnectedAt = steadyNow();
    while (!server.sawCallerDisconnect() && steadyNow() - disconnectedAt < longestWait) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(server.sawCallerDisconnect());
    CHECK(steadyNow() - disconnectedAt < milliseconds(500));
}

TEST_CASE("a handler that throws results in a complete 500 response")
{
    echo_server server;
    const std::string text = roundTrip(server, "GET /throw HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 500"));
    CHECK(text.ends_with("internal error\n"));
}

TEST_CASE("a caller that sends Expect: 100-continue gets 100 Continue")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send(
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n");
    CHECK(caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
    caller.send("ok");
    CHECK(caller.receiveAll().ends_with("POST /a ok"));
}
