// Nodes, workers and callers on loopback for the tests of the proxy.
//
//   raw_server upstream(okWorker(runs));
//   test_mesh mesh;
//   const auto node = mesh.addNode("n1", upstream.address());
//   CHECK(mesh.call("GET", "/read").status == 200);
#pragma once

#include <catch2/catch.hpp>
#include <future>

#include "connection/http/client.h"
#include "request/proxy/proxy.h"
#include "testing/harness/raw_socket.h"

namespace pistachioquay::testing {

inline constexpr std::string_view okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// okWorker returns a script that responds "ok" to each request without a body and counts the requests in `runs`.
inline raw_server::script okWorker(std::atomic<int> &runs)
{
    return [&runs](raw_connection &peer, int) {
        while (!peer.receiveUntil("\r\n\r\n").empty()) {
            ++runs;
            peer.send(okResponse);
        }
    };
}

// A response as the caller received it; `progress` tells whether it is whole.
struct caller_response
{
    unsigned status = 0;
    header_list headers;
    std::string body;
    call_progress progress = call_progress::NoConnection;

    std::string header(std::string_view name) const
    {
        return std::string(findHeader(headers, name).value_or(""));
    }
};

// A configuration with the routes /read (idempotent, GET) and /write (not idempotent, POST) of service "orders", an
// entry node without a worker, and any number of nodes with a worker.
class test_mesh
{
public:
    test_mesh()
    {
        addRoute("/write", "POST", false); // longest prefix first, as the compiler sorts them
        addRoute("/read", "GET", true);
        entry = makeNode("entry", {"127.0.0.1", 1}, 1);
    }

    // addNode starts a node whose worker is `upstream`, and adds it to the workers of "orders".
    std::unique_ptr<proxy> addNode(const std::string &nodeId, const endpoint &upstream, std::uint32_t slots = 6)
    {
        auto node = makeNode(nodeId, upstream, slots);
        addWorker(nodeId, node->peerAddress());
        return node;
    }

    // addWorker adds a worker of "orders" that is reached at `peerAddress`, without starting a node.
    void addWorker(const std::string &nodeId, const endpoint &peerAddress)
    {
        worker added;
        added.nodeId = nodeId;
        added.service = "orders";
        added.peerAddress = peerAddress;
        const std::lock_guard guard(m_mutex);
        auto view = std::make_shared<worker_view>(*m_workers);
        view->services["orders"].local.push_back(added);
        m_workers = view;
    }

    // setConfig replaces the configuration of all nodes; null for none.
    void setConfig(std::shared_ptr<const compiled_config> value)
    {
        const std::lock_guard guard(m_mutex);
        m_config = std::move(value);
    }

    // call sends a request to the caller port of the entry node and reads the whole response.
    caller_response call(const std::string &method, const std::string &target, header_list headers = {})
    {
        return callTo(entry->callerAddress(), method, target, std::move(headers));
    }

    // callTo sends a request to any address and reads the whole response.
    caller_response
    callTo(const endpoint &address, const std::string &method, const std::string &target, header_list headers = {})
    {
        client_request request;
        request.target = address;
        request.head = {method, target, std::move(headers), 0, false};
        request.deadline = steadyNow() + longestWait;
        http_call http(m_pool, request, m_noCallerWatch);
        http.provideLast({});
        caller_response response;
        if (const response_head *head = http.awaitHead()) {
            response.status = head->status;
            response.headers = head->headers;
            char buffer[4096];
            for (read_result chunk = http.read(buffer); chunk.state == read_state::Data; chunk = http.read(buffer)) {
                response.body.append(buffer, chunk.bytes);
            }
        }
        response.progress = http.progress();
        return response;
    }

private:
    void addRoute(const std::string &prefix, const std::string &method, bool isIdempotent)
    {
        route added;
        added.name = prefix.substr(1);
        added.prefix = prefix;
        added.methods = {method};
        added.service = "orders";
        added.applied.isIdempotent = isIdempotent;
        added.applied.retries = isIdempotent ? 2 : 0;
        added.applied.deadline = longestWait;
        auto config = std::make_shared<compiled_config>(*m_config);
        config->version = 7;
        config->routes.push_back(added);
        m_config = config;
    }

    std::unique_ptr<proxy> makeNode(const std::string &nodeId, const endpoint &upstream, std::uint32_t slots)
    {
        proxy_options options;
        options.callerAddress = {"127.0.0.1", 0};
        options.peerAddress = {"127.0.0.1", 0};
        options.upstream = upstream;
        options.service = "orders";
        options.nodeId = nodeId;
        options.slots = slots;
        options.maxConnections = 50;
        proxy_sources sources;
        sources.config = [this] {
            const std::lock_guard guard(m_mutex);
            return m_config;
        };
        sources.workers = [this] {
            const std::lock_guard guard(m_mutex);
            return m_workers;
        };
        sources.isAccepting = [] {
            return true;
        };
        auto node = std::make_unique<proxy>(options, sources);
        REQUIRE(attempt([&] {
            return node->start();
        }));
        return node;
    }

    std::mutex m_mutex;
    std::shared_ptr<const compiled_config> m_config = std::make_shared<compiled_config>();
    std::shared_ptr<const worker_view> m_workers = std::make_shared<worker_view>();
    client_pool m_pool{{}};
    caller_watch m_noCallerWatch;

public:
    std::unique_ptr<proxy> entry; // the entry node
};

// waitFor polls until the condition holds. Returns false if it does not within `longestWait`.
inline bool waitFor(const std::function<bool()> &condition)
{
    const time_point until = steadyNow() + longestWait;
    while (!condition() && steadyNow() < until) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return condition();
}

} // namespace pistachioquay::testing
