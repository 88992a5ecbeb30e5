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

// Server on a free port. It responds with the method, target and body of the request. GET requests may overlap. The
// target /throw makes the handler throw; /odd returns a status that HTTP cannot express; /wait makes it wait until the
// caller disconnects, for at most 5 s; /meet makes it wait until two handlers run, for at most 1 s; /late makes it wait
// for 200 ms; /last closes the connection; /empty has a response without a body.
class echo_server
{
public:
    explicit echo_server(server_limits limits = {}, std::size_t maxBufferedBytes = 1024UL * 1024)
        : m_server(m_loop.executor(),
                   {.address = {"127.0.0.1", 0},
                    .maxBufferedBytes = maxBufferedBytes,
                    .bounds =
                        [limits] {
                            return limits;
                        },
                    .maxPipelined = maxPipelined,
                    .mayOverlap =
                        [](const whole_request &request) {
                            return request.method == "GET";
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
    // disconnectsSeen returns how many handlers of /wait were told that their caller has disconnected.
    int disconnectsSeen() const
    {
        return m_disconnectsSeen;
    }
    // mostRunning returns the largest number of handlers that ran at the same time.
    int mostRunning() const
    {
        return m_mostRunning;
    }
    // closeAfterResponse starts the shutdown of the connections.
    void closeAfterResponse()
    {
        m_loop.run([this] {
            m_server.closeAfterResponse();
            return 0;
        });
    }

    static constexpr std::size_t maxPipelined = 4;

private:
    // Counts the handlers that run.
    class running_handler
    {
    public:
        explicit running_handler(echo_server &server)
            : m_owner(server)
        {
            ++m_owner.m_running;
            m_owner.m_mostRunning = std::max<int>(m_owner.m_mostRunning, m_owner.m_running);
        }
        running_handler(const running_handler &) = delete;
        running_handler &operator=(const running_handler &) = delete;
        ~running_handler()
        {
            --m_owner.m_running;
        }

    private:
        echo_server &m_owner;
    };

    awaitable<void> pause(milliseconds length)
    {
        net::steady_timer timer(m_loop.executor(), length);
        co_await timer.async_wait(awaitResult);
    }

    awaitable<whole_response> respond(const whole_request &request, caller_connection &caller)
    {
        ++m_handledRequests;
        const running_handler running(*this);
        if (request.target == "/throw") {
            throw std::runtime_error("handler");
        }
        if (request.target == "/meet") {
            const time_point until = steadyNow() + seconds(1);
            while (m_mostRunning < 2 && steadyNow() < until) {
                co_await pause(milliseconds(2));
            }
        }
        if (request.target == "/late") {
            co_await pause(milliseconds(200));
        }
        if (request.target == "/wait") {
            async_event callerGone(m_loop.executor());
            caller.onDisconnect([&callerGone] {
                callerGone.notify();
            });
            const bool sawDisconnect = caller.isGone() || co_await callerGone.waitUntil(steadyNow() + seconds(5));
            m_sawCallerDisconnect = sawDisconnect;
            m_disconnectsSeen += sawDisconnect ? 1 : 0;
            caller.onDisconnect(nullptr);
        }
        whole_response response = textReply(200, request.method + " " + request.target + " " + request.body);
        if (request.target == "/empty") {
            response.body.clear();
        }
        response.closesConnection = request.target == "/last";
        response.status = request.target == "/odd" ? 4711 : 200;
        co_return response;
    }

    loop_thread m_loop;
    std::atomic<int> m_handledRequests = 0;
    std::atomic<bool> m_sawCallerDisconnect = false;
    std::atomic<int> m_disconnectsSeen = 0;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_mostRunning = 0;
    async_http_server m_server;
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

// Waits until `isDone` returns true, for at most `longestWait`; returns whether it did.
template<class Predicate>
bool waitFor(Predicate isDone)
{
    const time_point until = steadyNow() + longestWait;
    while (!isDone() && steadyNow() < until) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return isDone();
}

std::string roundTrip(echo_server &server, std::string_view text)
{
    raw_connection caller(server.address());
    caller.send(text);
    return caller.receiveAll();
}

} // namespace

TEST_CASE("a response to HEAD announces no length that it does not know, and no body follows it")
{
    echo_server server;
    raw_connection client(server.address());
    // The handler returns a body for the first request and none for the second.
    CHECK(client.send("HEAD /known HTTP/1.1\r\nHost: x\r\n\r\n"));
    const std::string known = client.receiveUntil("\r\n\r\n");
    CHECK(known.find("Content-Length: 12\r\n") != std::string::npos);
    CHECK(known.ends_with("\r\n\r\n"));
    CHECK(client.send("HEAD /empty HTTP/1.1\r\nHost: x\r\n\r\n"));
    const std::string unknown = client.receiveUntil("\r\n\r\n");
    CHECK(unknown.starts_with("HTTP/1.1 200"));
    CHECK(unknown.find("Content-Length") == std::string::npos);
    CHECK(unknown.ends_with("\r\n\r\n"));
    CHECK(client.send("GET /empty HTTP/1.1\r\nHost: x\r\n\r\n"));
    CHECK(client.receiveUntil("\r\n\r\n").find("Content-Length: 0\r\n") != std::string::npos);
}

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

TEST_CASE("pipelined requests that may overlap run side by side")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send(get("/meet") + get("/meet"));
    caller.receiveUntil("GET /meet ");
    CHECK(server.mostRunning() == 2);
}

TEST_CASE("the response to a pipelined request waits for the one before it")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send(get("/late") + get("/2") + get("/3"));
    const std::string text = caller.receiveUntil("GET /3 ");
    CHECK(text.find("GET /late ") < text.find("GET /2 "));
    CHECK(text.find("GET /2 ") < text.find("GET /3 "));
    CHECK(server.mostRunning() == 2);
}

TEST_CASE("a pipelined request that must not overlap runs alone")
{
    echo_server server;
    raw_connection caller(server.address());
    const std::string post = "POST /late HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na";
    caller.send(get("/late") + post + get("/3"));
    const std::string text = caller.receiveUntil("GET /3 ");
    CHECK(text.find("GET /late ") < text.find("POST /late a"));
    CHECK(text.find("POST /late a") < text.find("GET /3 "));
    CHECK(server.mostRunning() == 1);
}

TEST_CASE("at most maxPipelined requests of a connection are open")
{
    echo_server server;
    raw_connection caller(server.address());
    std::string requests;
    for (std::size_t index = 0; index < 3 * echo_server::maxPipelined; ++index) {
        requests += get("/late");
    }
    caller.send(requests + get("/end"));
    CHECK(caller.receiveUntil("GET /end ").find("GET /end ") != std::string::npos);
    CHECK(server.mostRunning() == static_cast<int>(echo_server::maxPipelined));
}

TEST_CASE("a request behind a response that closes the connection does not run if it must not overlap")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send(get("/last") + "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    const std::string text = caller.receiveAll();
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(text.find("POST /2") == std::string::npos);
    CHECK(server.handledRequests() == 1);
}

TEST_CASE("a closing connection answers each pipelined request that has started and announces the close with the last")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send(get("/late") + get("/late"));
    REQUIRE(waitFor([&] {
        return server.handledRequests() == 2;
    }));
    server.closeAfterResponse();
    const std::string text = caller.receiveAll();
    const auto second = text.rfind("HTTP/1.1 200");
    CHECK(second > 0);
    CHECK(text.rfind("GET /late ") > second);
    CHECK(text.find("Connection: close") > second);
}

TEST_CASE("requests that arrive behind the last response of a closing connection are not run, and do not reset it")
{
    echo_server server;
    raw_connection caller(server.address());
    server.closeAfterResponse();
    std::string requests = get("/late");
    for (std::size_t index = 0; index < 64; ++index) {
        requests += "POST /more HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'a');
    }
    caller.send(requests);
    CHECK(caller.receiveAll().ends_with("GET /late "));
    CHECK(server.handledRequests() == 1);
}

TEST_CASE("a caller that disconnects cancels all its pipelined requests within half a second")
{
    // The first size leaves nothing unread. The second exceeds what the server reads ahead.
    const std::size_t surplusBytes = GENERATE(std::size_t{0}, std::size_t{100} * 1024);
    echo_server server;
    const std::size_t count = echo_server::maxPipelined;
    {
        raw_connection caller(server.address());
        std::string requests;
        for (std::size_t index = 0; index < count; ++index) {
            requests += get("/wait");
        }
        caller.send(requests + std::string(surplusBytes, 'a'));
        REQUIRE(waitFor([&] {
            return server.handledRequests() == static_cast<int>(count);
        }));
    }
    const time_point disconnectedAt = steadyNow();
    CHECK(waitFor([&] {
        return server.disconnectsSeen() == static_cast<int>(count);
    }));
    CHECK(steadyNow() - disconnectedAt < milliseconds(500));
}

TEST_CASE("a header that never ends delays neither the response before it nor the end of the connection")
{
    echo_server server({.headerTimeout = milliseconds(300)});
    raw_connection caller(server.address());
    const time_point begin = steadyNow();
    caller.send(get("/late") + "GET /endless HTTP/1.1\r\nLong: aaa");
    CHECK(caller.receiveAll().ends_with("GET /late "));
    CHECK(steadyNow() - begin < milliseconds(2000));
    CHECK(server.handledRequests() == 1);
}

TEST_CASE("chunked bodies count towards the limit of buffered bytes")
{
    echo_server server({}, 4096);
    std::string request = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t index = 0; index < 16; ++index) {
        request += "400\r\n" + std::string(1024, 'a') + "\r\n";
    }
    CHECK(roundTrip(server, request + "0\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(server.handledRequests() == 0);
    CHECK(roundTrip(server, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc")
              .ends_with("POST /a abc"));
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

TEST_CASE("a response that HTTP cannot express closes its connection, and the server goes on")
{
    echo_server server;
    CHECK(roundTrip(server, get("/odd")).empty());
    CHECK(roundTrip(server, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ends_with("GET /a "));
}

TEST_CASE("a chunk header without end is rejected with bounded memory")
{
    echo_server server;
    raw_connection caller(server.address());
    caller.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    caller.send(std::string(std::size_t{1024} * 1024, 'a'));
    CHECK(caller.receiveAll().starts_with("HTTP/1.1 4"));
    CHECK(server.handledRequests() == 0);
}
