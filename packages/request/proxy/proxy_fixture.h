// Nodes, workers and callers on loopback for the tests of the proxy. Used by tests only.
#pragma once

#include <catch2/catch.hpp>
#include <future>

#include "connection/http/client.h"
#include "request/proxy/proxy.h"
#include "testing/harness/raw_socket.h"

namespace pistachioquay::testing {

inline constexpr std::string_view okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Responds "ok" to each request that has no body and counts them.
inline raw_server::script okWorker(std::atomic<int> &runs)
{
    return [&runs](raw_connection &peer, int) {
        while (!peer.receiveUntil("\r\n\r\n").empty()) {
            ++runs;
            peer.send(okResponse);
        }
    };
}

// The whole of one response.
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

// One configuration with the routes /read (idempotent, GET) and /write (not idempotent, POST) of service "orders", one
// entry node without a worker, and any number of nodes with one.
class test_mesh
{
public:
    test_mesh()
    {
        addRoute("/write", "POST", false); // longest prefix first, as the compiler sorts them
        addRoute("/read", "GET", true);
        entry = makeNode("entry", {"127.0.0.1", 1}, 1);
    }

    // Adds a node in front of `upstream`.
    std::unique_ptr<proxy> addNode(const std::string &nodeId, const endpoint &upstream, std::uint32_t slots = 6)
    {
        auto node = makeNode(nodeId, upstream, slots);
        addWorker(nodeId, node->peerAddress());
        return node;
    }

    // Adds an address to the workers of "orders".
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

    void setConfig(std::shared_ptr<const compiled_config> value)
    {
        const std::lock_guard guard(m_mutex);
        m_config = std::move(value);
    }

    // Runs one call through the entry node.
    caller_response call(const std::string &method, const std::string &target, header_list headers = {})
    {
        return callTo(entry->callerAddress(), method, target, std::move(headers));
    }

    caller_response
    callTo(const endpoint &address, const std::string &method, const std::string &target, header_list headers = {})
    {
        client_request request;
        request.target = address;
        request.head = {method, target, std::move(headers), 0, false};
        request.deadline = steadyNow() + longestWait;
        http_call made(m_pool, request, m_noWatch);
        made.provideLast({});
        caller_response response;
        if (const response_head *head = made.awaitHead()) {
            response.status = head->status;
            response.headers = head->headers;
            char buffer[4096];
            for (read_result got = made.read(buffer); got.state == read_state::Data; got = made.read(buffer)) {
                response.body.append(buffer, got.bytes);
            }
        }
        response.progress = made.progress();
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
    caller_watch m_noWatch;

public:
    std::unique_ptr<proxy> entry;
};

// waitFor polls a condition; false after the longest wait.
inline bool waitFor(const std::function<bool()> &condition)
{
    const time_point until = steadyNow() + longestWait;
    while (!condition() && steadyNow() < until) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return condition();
}

} // namespace pistachioquay::testing
