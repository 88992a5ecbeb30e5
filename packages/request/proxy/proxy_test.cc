#include <fstream>

#include <unistd.h>

#include "request/proxy/proxy_fixture.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

// Returns the headers that a node sends to the peer port of another.
header_list peerHeaders(const std::string &service)
{
    return {{"X-Pq-Request-Id", "1f"}, {"X-Pq-Service", service}, {"X-Pq-Deadline-Ms", "5000"}};
}

// Returns the resident memory of this process.
std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    statm >> all >> resident;
    return resident * static_cast<std::size_t>(::getpagesize());
}

} // namespace

TEST_CASE("a request passes two nodes without hop-by-hop headers and without X-Pq headers of the caller or worker",
          "[proxy]")
{
    std::string seen;
    raw_server upstream([&](raw_connection &peer, int) {
        seen = peer.receiveUntil("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
                  "Keep-Alive: timeout=5\r\nX-Pq-Outcome: not-run\r\n\r\nok");
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    const caller_response got =
        mesh.call("GET",
                  "/read/a%2Fb?q=%20",
                  {{"Connection", "X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"}, {"X-Pq-Version", "99"}});
    CHECK(got.status == 200);
    CHECK(got.body == "ok");
    CHECK(got.header("X-Pq-Version") == "7");
    CHECK(got.header("X-Pq-Request-Id").size() == 32);
    CHECK(got.header("X-Pq-Outcome").empty()); // a header of the worker must not pass for one of a node
    CHECK(got.header("Keep-Alive").empty());
    CHECK(std::ranges::count(got.headers, std::string("Set-Cookie"), &header_field::name) == 2);
    CHECK(seen.starts_with("GET /read/a%2Fb?q=%20 HTTP/1.1\r\n"));
    CHECK(seen.find("X-End: 2") != std::string::npos);
    CHECK(seen.find("X-Hop") == std::string::npos);
    CHECK(seen.find("X-Pq-Version: 7") != std::string::npos);
    CHECK(seen.find("X-Pq-Depth: 1") != std::string::npos);
}

TEST_CASE("a request that no route, method, worker or configuration can serve gets a not-run response", "[proxy]")
{
    test_mesh mesh;
    const caller_response noRoute = mesh.call("GET", "/readable");
    CHECK(noRoute.status == 404);
    CHECK(noRoute.header("X-Pq-Outcome") == "not-run");
    CHECK(noRoute.body.find("\"error\":\"no-route\"") != std::string::npos);
    CHECK(noRoute.body.find("\"remedy\":") != std::string::npos);
    const caller_response wrongMethod = mesh.call("DELETE", "/write/7");
    CHECK(wrongMethod.status == 405);
    CHECK(wrongMethod.header("Allow") == "POST");
    const caller_response noWorker = mesh.call("GET", "/read");
    CHECK(noWorker.status == 503);
    CHECK(noWorker.header("X-Pq-Outcome") == "not-run");
    const caller_response tooDeep = mesh.call("GET", "/read", {{"X-Pq-Depth", "16"}});
    CHECK(tooDeep.header("X-Pq-Outcome") == "not-run");
    CHECK(tooDeep.body.find("too-deep") != std::string::npos);
    mesh.setConfig(nullptr);
    const caller_response noConfig = mesh.call("GET", "/read");
    CHECK(noConfig.status == 503);
    CHECK(noConfig.header("X-Pq-Outcome") == "not-run");
    CHECK(mesh.entry->status().refusals.at("no-configuration") == 1);
}

TEST_CASE("the peer port accepts only requests from nodes and only for its service", "[proxy]")
{
    std::atomic<int> runs = 0;
    raw_server upstream(okWorker(runs));
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    CHECK(mesh.callTo(node->peerAddress(), "GET", "/read", peerHeaders("shop")).header("X-Pq-Outcome") == "not-run");
    CHECK(mesh.callTo(node->peerAddress(), "GET", "/read").status == 400);
    CHECK(runs == 0);
    const caller_response got = mesh.callTo(node->peerAddress(), "GET", "/read", peerHeaders("orders"));
    CHECK(got.status == 200);
    CHECK(got.header("X-Pq-Request-Id") == "1f");
    CHECK(got.header("X-Pq-Running") == "1");
    CHECK(got.header("X-Pq-Waiting") == "0");
}

TEST_CASE("a worker that is down yields not-run, a worker that dies during the call yields unknown", "[proxy]")
{
    test_mesh mesh;
    const refusing_port closed;
    const auto down = mesh.addNode("down", closed.address());
    const caller_response whenDown = mesh.call("POST", "/write");
    CHECK(whenDown.status == 503);
    CHECK(whenDown.header("X-Pq-Outcome") == "not-run");

    raw_server dying([](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
    });
    test_mesh other;
    const auto node = other.addNode("dying", dying.address());
    const caller_response whenDying = other.call("POST", "/write");
    CHECK(whenDying.status == 502);
    CHECK(whenDying.header("X-Pq-Outcome") == "unknown");
    CHECK(dying.connections() == 1);
}

TEST_CASE("a non-idempotent request is retried only after not-run or a failed connection, and runs once", "[proxy]")
{
    std::atomic<int> runs = 0;
    raw_server upstream(okWorker(runs));
    const refusing_port closed;
    test_mesh mesh;
    const auto down = mesh.addNode("down", closed.address()); // responds not-run
    mesh.addWorker("left", closed.address()); // no connection
    const auto up = mesh.addNode("up", upstream.address());
    for (int index = 1; index <= 20; ++index) {
        CHECK(mesh.call("POST", "/write").status == 200);
        CHECK(runs == index);
    }
    CHECK(mesh.entry->status().retries > 0);
}

TEST_CASE("an idempotent request whose response is lost or truncated is retried on another worker", "[proxy]")
{
    const std::string partialResponse =
        GENERATE(as<std::string>(), "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
    std::atomic<int> runs = 0;
    raw_server upstream(okWorker(runs));
    raw_server dying([&](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send(partialResponse);
    });
    test_mesh mesh;
    const auto first = mesh.addNode("dying", dying.address());
    const auto second = mesh.addNode("up", upstream.address());
    int failed = 0;
    for (int index = 0; index < 5; ++index) { // the retry budget always allows 5 retries
        failed += mesh.call("GET", "/read").status == 200 ? 0 : 1;
    }
    CHECK(failed == 0);
    CHECK(runs == 5);
}

TEST_CASE("a request that an earlier node has retried is attempted only once", "[proxy]")
{
    raw_server dying([](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
    });
    test_mesh mesh;
    const auto first = mesh.addNode("n1", dying.address());
    const auto second = mesh.addNode("n2", dying.address());
    CHECK(mesh.call("GET", "/read", {{"X-Pq-Attempt", "1"}}).status == 502);
    CHECK(dying.connections() == 1);
    CHECK(mesh.call("GET", "/read").status == 502);
    CHECK(dying.connections() == 3);
}

TEST_CASE("the caller can detect a truncated response", "[proxy]")
{
    raw_server upstream([](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
        std::this_thread::sleep_for(milliseconds(50)); // lets the head pass before the connection closes
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    const caller_response got = mesh.call("POST", "/write");
    CHECK(got.progress != call_progress::Complete);
    CHECK((got.status == 502 || got.body == "first"));
    CHECK(mesh.entry->status().truncated == 1);
}

TEST_CASE("a response with the request id of another request becomes a 502", "[proxy]")
{
    raw_server mismatched([](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Pq-Request-Id: 00\r\n\r\nother");
    });
    test_mesh asPeer;
    asPeer.addWorker("crossed", mismatched.address());
    const caller_response got = asPeer.call("POST", "/write");
    CHECK(got.status == 502);
    CHECK(got.header("X-Pq-Outcome") == "unknown");
    CHECK(got.body.find("other\"") == std::string::npos);
    test_mesh asWorker;
    const auto node = asWorker.addNode("n1", mismatched.address());
    const caller_response fromWorker = asWorker.call("POST", "/write");
    CHECK(fromWorker.status == 502);
    CHECK(fromWorker.body.find("crossed-response") != std::string::npos);
}

TEST_CASE("a response that HTTP does not allow, or whose head ends early, becomes a 502", "[proxy]")
{
    const std::string response =
        GENERATE(as<std::string>(),
                 "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nX-Odd: a\r\n folded: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Le");
    CAPTURE(response);
    raw_server upstream([&](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send(response);
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    const caller_response got = mesh.call("POST", "/write");
    CHECK(got.status == 502);
    CHECK(got.header("X-Pq-Outcome") == "unknown");
    CHECK(got.progress == call_progress::Complete);
    CHECK(upstream.connections() == 1);
}

TEST_CASE("a caller that closes its connection cancels the call at the worker and frees the slot", "[proxy]")
{
    std::promise<void> arrived;
    std::promise<bool> cancelled;
    raw_server upstream([&](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        arrived.set_value();
        cancelled.set_value(peer.isClosedByPeer());
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    raw_connection caller(mesh.entry->callerAddress());
    caller.send("GET /read HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(arrived.get_future().wait_for(longestWait) == std::future_status::ready);
    CHECK(node->status().running == 1);
    caller.close();
    CHECK(cancelled.get_future().get());
    CHECK(waitFor([&] {
        return node->status().running == 0 && mesh.entry->status().cancelled == 1;
    }));
}

TEST_CASE("a drain refuses new requests and completes those in flight", "[proxy]")
{
    std::promise<void> arrived;
    std::promise<void> release;
    auto released = release.get_future().share();
    raw_server upstream([&](raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        arrived.set_value();
        released.wait_for(longestWait);
        peer.send(okResponse);
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    auto running = std::async(std::launch::async, [&] {
        return mesh.call("POST", "/write");
    });
    REQUIRE(arrived.get_future().wait_for(longestWait) == std::future_status::ready);
    auto draining = std::async(std::launch::async, [&] {
        node->drain(longestWait);
    });
    const header_list headers = peerHeaders("orders");
    CHECK(waitFor([&] {
        return mesh.callTo(node->peerAddress(), "GET", "/nothing", peerHeaders("shop")).status == 503
            && mesh.callTo(node->callerAddress(), "GET", "/nothing").status == 503;
    }));
    const caller_response refused = mesh.callTo(node->peerAddress(), "POST", "/write", headers);
    CHECK(refused.status == 503);
    CHECK(refused.header("X-Pq-Outcome") == "not-run");
    CHECK(refused.body.find("draining") != std::string::npos);
    // A call that the running request makes through its node is still served.
    CHECK(mesh.callTo(node->callerAddress(), "GET", "/nothing", {{"X-Pq-Depth", "1"}}).status == 404);
    CHECK(draining.wait_for(milliseconds(0)) == std::future_status::timeout);
    release.set_value();
    CHECK(running.get().status == 200);
    CHECK(draining.wait_for(longestWait) == std::future_status::ready);
    node->stop();
}

TEST_CASE("a slow 20 MB upload neither blocks short calls nor is buffered in memory", "[proxy]")
{
    constexpr std::size_t uploadBytes = 20UL * 1024 * 1024;
    constexpr std::size_t allowedGrowth = 6UL * 1024 * 1024; // the caller, the worker and two nodes are in this process
    std::promise<void> halfway;
    std::promise<void> release;
    auto released = release.get_future().share();
    std::atomic<std::size_t> received = 0;
    raw_server upstream([&](raw_connection &peer, int) {
        std::string head = peer.receiveUntil("\r\n\r\n");
        while (head.starts_with("GET")) {
            peer.send(okResponse);
            head = peer.receiveUntil("\r\n\r\n");
        }
        if (head.empty()) {
            return;
        }
        received += head.size() - head.find("\r\n\r\n") - 4;
        bool isWaiting = true;
        while (received < uploadBytes) {
            const std::string piece = peer.receiveSome();
            if (piece.empty()) {
                return;
            }
            received += piece.size();
            if (isWaiting && received > uploadBytes / 2) {
                isWaiting = false;
                halfway.set_value();
                released.wait_for(longestWait);
            }
        }
        peer.send(okResponse);
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    REQUIRE(mesh.call("GET", "/read").status == 200);
    const std::size_t before = residentBytes();
    auto upload = std::async(std::launch::async, [&] {
        raw_connection caller(mesh.entry->callerAddress());
        caller.send("POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n");
        const std::string piece(64UL * 1024, 'x');
        for (std::size_t sent = 0; sent < uploadBytes; sent += piece.size()) {
            if (!caller.send(piece)) {
                return std::string("cut");
            }
        }
        return caller.receiveUntil("ok");
    });
    REQUIRE(halfway.get_future().wait_for(longestWait) == std::future_status::ready);
    for (int index = 0; index < 100; ++index) {
        CHECK(mesh.call("GET", "/read").status == 200);
    }
    CHECK(residentBytes() < before + allowedGrowth);
    release.set_value();
    CHECK(upload.get().starts_with("HTTP/1.1 200"));
    CHECK(received == uploadBytes);
    CHECK(residentBytes() < before + allowedGrowth);
}

TEST_CASE("a streamed body goes to another worker if the first one refuses the request before the body is sent",
          "[proxy]")
{
    std::atomic<int> runs = 0;
    // Keeps its connections open. If it closed one after a response, the node could still send the next request on it,
    // and the outcome of that request would be unknown.
    raw_server upstream([&](raw_connection &peer, int) {
        while (!peer.receiveUntil("end").empty()) {
            ++runs;
            peer.send(okResponse);
        }
    });
    const refusing_port closed;
    test_mesh mesh;
    const auto down = mesh.addNode("down", closed.address());
    const auto up = mesh.addNode("up", upstream.address());
    const std::string body = std::string(200000, 'x') + "end";
    for (int index = 1; index <= 20; ++index) {
        raw_connection caller(mesh.entry->callerAddress());
        caller.send("POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                    + body);
        const std::string response = caller.receiveUntil("ok");
        INFO(response);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(runs == index);
    }
    CHECK(mesh.entry->status().retries > 0);
}

TEST_CASE("an upload that stalls is aborted after 5 s and frees its slot", "[proxy]")
{
    raw_server upstream([](raw_connection &peer, int) {
        peer.isClosedByPeer();
    });
    test_mesh mesh;
    const auto node = mesh.addNode("n1", upstream.address());
    raw_connection caller(mesh.entry->callerAddress());
    caller.send("POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\nfirst bytes");
    CHECK(waitFor([&] {
        return node->status().running == 1;
    }));
    CHECK(caller.isClosedByPeer());
    CHECK(waitFor([&] {
        return node->status().running == 0;
    }));
}
