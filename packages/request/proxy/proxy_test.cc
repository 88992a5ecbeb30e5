#include <catch2/catch.hpp>

#include "connection/http/client.h"
#include "connection/http/server.h"
#include "request/proxy/proxy.h"

using namespace pistachioquay;

TEST_CASE("a call goes through two nodes to the worker and back", "[proxy]")
{
    http_server upstream({.address = {"127.0.0.1", 0}}, [](const request_head &head, const caller_watch &) {
        auto body = std::make_shared<std::string>();
        exchange steps;
        steps.onBody = [body](std::string_view piece) {
            *body += piece;
            return true;
        };
        steps.onEnd = [head, body] {
            return textResponse(200, "text/plain", head.method + " " + head.target + " " + *body);
        };
        return steps;
    });
    REQUIRE(attempt([&] {
        return upstream.start();
    }));
    auto config = std::make_shared<compiled_config>();
    config->version = 7;
    route orders;
    orders.name = "orders";
    orders.prefix = "/orders";
    orders.methods = {"POST"};
    orders.service = "orders";
    config->routes.push_back(orders);
    auto workers = std::make_shared<worker_view>();
    proxy_sources sources;
    sources.config = [&] {
        return config;
    };
    sources.workers = [&] {
        return workers;
    };
    sources.isAccepting = [] {
        return true;
    };
    proxy_options options{.callerAddress = {"127.0.0.1", 0},
                          .peerAddress = {"127.0.0.1", 0},
                          .upstream = upstream.address(),
                          .service = "orders",
                          .dataCentre = "be-1",
                          .nodeId = "n1",
                          .slots = 6,
                          .maxConnections = 20};
    proxy inner(options, sources);
    REQUIRE(attempt([&] {
        return inner.start();
    }));
    worker known;
    known.nodeId = "n1";
    known.service = "orders";
    known.peerAddress = inner.peerAddress();
    workers->services["orders"].local.push_back(known);
    options.service = "shop";
    proxy entry(options, sources);
    REQUIRE(attempt([&] {
        return entry.start();
    }));
    client_pool pool({});
    const caller_watch watch;
    for (int index = 0; index < 3; ++index) {
        call_request request;
        request.target = entry.callerAddress();
        request.head = {"POST", "/orders/7?full=1", {}, 5, false};
        request.deadline = steadyNow() + seconds(5);
        http_call call(pool, request, watch);
        call.provideLast("hello");
        const response_head *head = call.awaitHead();
        REQUIRE(head != nullptr);
        CHECK(head->status == 200);
        CHECK(findHeader(head->headers, "X-Pq-Version") == "7");
        char buffer[100];
        const read_result got = call.read(buffer);
        CHECK(std::string_view(buffer, got.bytes) == "POST /orders/7?full=1 hello");
        CHECK(call.read(buffer).state == read_state::End);
        CHECK(call.progress() == call_progress::Complete);
    }
    CHECK(pool.status().reused == 2);
}
