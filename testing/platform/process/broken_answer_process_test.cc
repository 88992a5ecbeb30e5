// Tests with real processes that broken responses of a worker reach no caller: the caller gets a 502, because the
// request may have run.
#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "testing/harness/raw_socket.h"
#include "testing/platform/platform_mesh.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

constexpr milliseconds startTimeout{8000};
constexpr milliseconds logTimeout{3000};
constexpr milliseconds uploadTimeout{10000};
constexpr std::size_t uploadBytes = 20UL * 1024 * 1024; // does not fit into the socket buffers of a connection

// The value of a header in the head of a raw request.
std::string headerValue(std::string_view head, std::string_view name)
{
    const std::string line = "\r\n" + std::string(name) + ": ";
    const std::size_t found = head.find(line);
    if (found == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = head.substr(found + line.size());
    return std::string(rest.substr(0, rest.find("\r\n")));
}

// Two nodes of which one has a worker of "orders" that answers each request with the script, except those that wait for
// the start of the mesh. A second stand-in sends the heartbeats of that worker.
class broken_worker_mesh
{
public:
    using script = std::function<void(raw_connection &, const std::string &id)>;

    explicit broken_worker_mesh(script answer)
        : m_mesh({{"a1", "shop", "dc-1"}, {"b1", "orders", "dc-1"}})
    {
        m_mesh.publish(5,
                       {{"/orders/", "orders"},
                        {"/sign/", "orders", "unsafe"},
                        {"/file/", "orders", "upload", static_cast<unsigned>(uploadTimeout.count())}});
        REQUIRE(m_mesh.waitReady(startTimeout));
        m_mesh.stopWorker("b1");
        constexpr std::size_t controlIndex = 3;
        m_heartbeats =
            std::make_unique<worker_stand_in>(worker_options{.id = "w-broken",
                                                             .service = "orders",
                                                             .dataCentre = "dc-1",
                                                             .address = m_ownAddress[0],
                                                             .control = m_mesh.tcpAddresses("b1").at(controlIndex),
                                                             .announcedAddress = m_mesh.workerAddress("b1")});
        m_worker.emplace(
            [this, answer = std::move(answer)](raw_connection &peer, int) {
                const std::string head = peer.receiveUntil("\r\n\r\n");
                const std::string id = headerValue(head, "Request-Attempt-Id");
                if (head.starts_with("GET /orders/warm ")) {
                    peer.send("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + id
                              + "\r\nServer-Signature: s.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                } else if (!head.empty()) { // a probe of the port sends nothing
                    ++m_requests;
                    answer(peer, id);
                }
            },
            m_mesh.workerAddress("b1"));
        REQUIRE(waitUntil(
            [&] {
                return send("/orders/warm").response.status == 200;
            },
            startTimeout));
    }

    caller_result send(const std::string &target, const std::string &method = "GET", std::string body = "")
    {
        const std::string id = "broken-" + std::to_string(++m_sent);
        return m_mesh.send(
            "a1",
            {.id = id, .target = target, .method = method, .body = std::move(body), .timeLeft = uploadTimeout});
    }

    // hasLogged waits until the log of the worker's node contains `text`; false if it does not in time.
    bool hasLogged(const std::string &text)
    {
        return waitUntil(
            [&] {
                return m_mesh.log("b1").find(text) != std::string::npos;
            },
            logTimeout);
    }

    // requests returns the number of requests that have reached the worker.
    int requests() const
    {
        return m_requests;
    }

private:
    platform_mesh m_mesh;
    address_lease m_ownAddress{1};
    std::atomic<int> m_requests = 0;
    std::optional<raw_server> m_worker;
    std::unique_ptr<worker_stand_in> m_heartbeats;
    unsigned m_sent = 0;
};

void checkIsBadGateway(const caller_result &got)
{
    CHECK(got.end == exchange_end::Complete);
    CHECK(got.response.status == 502);
    CHECK_FALSE(findHeader(got.response.headers, "Server-Signature").has_value());
}

} // namespace

TEST_CASE("a response without a length that is reset during the upload reaches no caller")
{
    const std::string line = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n");
    CAPTURE(line);
    broken_worker_mesh mesh([&](raw_connection &peer, const std::string &id) {
        peer.send(line + "Request-Attempt-Id: " + id + "\r\nServer-Signature: s.1\r\n\r\npart of the body.");
        std::this_thread::sleep_for(milliseconds(150));
        peer.reset();
    });
    for (int attempt = 1; attempt <= 4; ++attempt) {
        checkIsBadGateway(mesh.send("/file/1", "POST", std::string(uploadBytes, 'a')));
        CHECK(mesh.requests() == attempt);
    }
    CHECK(mesh.hasLogged("detail=\"connection reset within a response without a length\""));
}

TEST_CASE("a response with an invalid status or field name, or whose head ends early, reaches no caller")
{
    const std::string end = "Content-Length: 2\r\n\r\nok";
    const auto [line, rest] =
        GENERATE_COPY(table<std::string, std::string>({{"HTTP/1.1 000 OK", end},
                                                       {"HTTP/1.1 200 OK", "X Odd: 1\r\n" + end},
                                                       {"HTTP/1.1 200 OK", "X\x01Odd: 1\r\n" + end},
                                                       {"HTTP/1.1 200 OK", ""},
                                                       {"HTTP/1.1 200 OK", "Content-Le"},
                                                       {"HTTP/1.1 200 OK", "Content-Length: 2\r\n"},
                                                       {"HTTP/1.1 200 OK", "Connection: close\r\n"},
                                                       {"HTTP/1.1 503 Busy", "Not-Executed: 1\r\n"}}));
    CAPTURE(line, rest);
    broken_worker_mesh mesh([line = line, rest = rest](raw_connection &peer, const std::string &id) {
        peer.send(line + "\r\nRequest-Attempt-Id: " + id + "\r\nServer-Signature: s.1\r\n" + rest);
    });
    checkIsBadGateway(mesh.send("/orders/1"));
    CHECK(mesh.requests() >= 1);
    const int before = mesh.requests();
    checkIsBadGateway(mesh.send("/sign/1", "POST", "order"));
    CHECK(mesh.requests() == before + 1);
}

// Each form comes while the node still writes an upload that does not fit into the buffers of the connection, and ends
// with a reset, as that of a worker that closes its connection before it has read the request.
TEST_CASE("a broken response that comes during an upload reaches no caller")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> forms = {
        {"HTTP/1.1 000 OK\r\n", "Content-Length: 2\r\n\r\nok"},
        {"HTTP/1.1 000 OK\r\n", "\r\nok"},
        {"HTTP/1.1 000 OK\r\n", "Content-Length: 2\r\n\r\nok" + ok + "Content-Length: 2\r\n\r\nok"},
        {ok, "Content-Length: 100\r\n\r\npart"},
        {ok, chunked + "4\r\npart\r\n"},
        {ok, chunked + "4\r\npa"},
        {ok, chunked + "4\r\npart\r\n0\r\n"},
        {ok, "\r\npart"},
        {ok, "\r\n"},
        {ok, "Content-Le"},
        {ok, "Content-Length: 4\r\n"},
        {"HTTP/1.1 503 Busy\r\n", "Not-Executed: 1\r\n"}};
    std::atomic<std::size_t> form = 0;
    std::atomic<int> pauseMs = 0;
    broken_worker_mesh mesh([&](raw_connection &peer, const std::string &id) {
        const auto &[line, rest] = forms.at(form);
        peer.send(line + "Request-Attempt-Id: " + id + "\r\nServer-Signature: s.1\r\n" + rest);
        std::this_thread::sleep_for(milliseconds(pauseMs.load()));
        peer.reset();
    });
    int sent = 0;
    for (form = 0; form < forms.size(); ++form) {
        for (const int pause : {0, 20, 150}) {
            pauseMs = pause;
            CAPTURE(forms.at(form).first, forms.at(form).second, pause);
            checkIsBadGateway(mesh.send("/file/1", "POST", std::string(uploadBytes, 'a')));
            CHECK(mesh.requests() == ++sent);
        }
    }
}
