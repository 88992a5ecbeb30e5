// Guards against calls of workers that are refused like requests of callers, and against requests of callers that are
// taken for calls and therefore never refused.
#include <catch2/catch.hpp>

#include "request/call_origin/call_origin.h"

using namespace pistachioquay;

namespace {

const time_point start{};

// Records `count` requests of a route, one each 10 ms, that begin on the VMs of the services in turn.
void recordRequests(call_origins &origins,
                    const std::string &route,
                    const std::vector<std::string> &services,
                    int count,
                    time_point from = start)
{
    for (int index = 0; index < count; ++index) {
        recordOrigin(origins,
                     route,
                     services.at(static_cast<std::size_t>(index) % services.size()),
                     from + milliseconds(10 * index));
    }
}

} // namespace

TEST_CASE("a route that only the VMs of one service send to is a route of calls")
{
    call_origins origins;
    recordRequests(origins, "look-up", {"desk"}, 40);
    CHECK(originOf(origins, "look-up") == request_origin::Unknown); // no other route shows where callers are
    recordRequests(origins, "orders", {"desk", "ledger", "vault"}, 40);
    CHECK(originOf(origins, "look-up") == request_origin::Worker);
    CHECK(originOf(origins, "orders") == request_origin::Caller);
    CHECK(originOf(origins, "new") == request_origin::Unknown);
}

TEST_CASE("few requests do not tell the origin of a route")
{
    call_origins origins;
    recordRequests(origins, "orders", {"desk", "ledger", "vault"}, 60);
    recordRequests(origins, "look-up", {"desk"}, 20);
    CHECK(originOf(origins, "look-up") == request_origin::Unknown);
}

TEST_CASE("callers on the VMs of a single service are not taken for workers")
{
    call_origins origins;
    recordRequests(origins, "orders", {"desk"}, 200);
    recordRequests(origins, "history", {"desk"}, 200);
    CHECK(originOf(origins, "orders") == request_origin::Unknown);
    CHECK(originOf(origins, "history") == request_origin::Unknown);
}

TEST_CASE("a route that callers begin to use is no route of calls any longer")
{
    call_origins origins;
    recordRequests(origins, "orders", {"desk", "ledger", "vault"}, 60);
    recordRequests(origins, "look-up", {"desk"}, 200);
    REQUIRE(originOf(origins, "look-up") == request_origin::Worker);
    recordRequests(origins, "look-up", {"desk", "ledger"}, 60, start + milliseconds(2000));
    CHECK(originOf(origins, "look-up") == request_origin::Caller);
}

TEST_CASE("the state stays bounded under many routes and services")
{
    call_origins origins;
    for (int index = 0; index < 10000; ++index) {
        recordOrigin(origins, "route-" + std::to_string(index), "desk", start);
        recordOrigin(origins, "orders", "service-" + std::to_string(index), start);
    }
    CHECK(origins.byRoute.size() <= maxOriginRoutes);
    CHECK(origins.all.byService.size() <= maxOriginServices);
}
