// Tests the gossip service with real sockets on loopback and bounded waits.
#include <catch2/catch.hpp>

#include <thread>

#include "process/membership/gossip.h"

using namespace pistachioquay;

namespace {

std::unique_ptr<gossip_service> startNode(const std::string &name, std::vector<endpoint> seeds)
{
    member self;
    self.nodeId = name;
    self.started = static_cast<std::uint64_t>(unixNowMs());
    self.dataCentre = "be-1";
    self.service = "orders";
    self.gossip = {"127.0.0.1", 0};
    self.slots = 6;
    auto started = attempt([&] {
        return startGossip({self, std::move(seeds)}, [](const pull &) {});
    });
    REQUIRE(started);
    return std::move(*started);
}

template<class Condition>
bool eventually(Condition condition)
{
    const time_point deadline = steadyNow() + seconds(20);
    while (steadyNow() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

std::size_t readyWorkers(const gossip_service &node)
{
    const auto view = node.view();
    const auto found = view->services.find("orders");
    return found == view->services.end() ? 0 : found->second.local.size();
}

} // namespace

TEST_CASE("three nodes discover each other over UDP, and a draining node disappears from the views of the others")
{
    const auto first = startNode("a", {});
    const auto second = startNode("b", {first->address()});
    const auto third = startNode("c", {first->address()});
    for (gossip_service *node : {first.get(), second.get(), third.get()}) {
        node->setLocal(1, 1, member_state::Ready, {1, 0});
        CHECK(node->isAccepting());
    }
    CHECK(eventually([&] {
        return readyWorkers(*first) == 3 && readyWorkers(*second) == 3 && readyWorkers(*third) == 3;
    }));
    third->beginDrain();
    CHECK_FALSE(third->isAccepting());
    CHECK(eventually([&] {
        return readyWorkers(*first) == 2 && readyWorkers(*second) == 2;
    }));
    CHECK(first->status().live.size() == 3);
    CHECK(first->isReader(configReaderTask));
}

TEST_CASE("a node that stops without a leave notice leaves the view, and returns after a restart under the same id")
{
    const auto first = startNode("a", {});
    auto second = startNode("b", {first->address()});
    first->setLocal(0, 0, member_state::Ready, {});
    second->setLocal(7, 9, member_state::Ready, {});
    CHECK(eventually([&] {
        return readyWorkers(*first) == 2 && first->highestSeen("b") == announced_version{9, 7};
    }));
    second.reset();
    CHECK(eventually([&] {
        return readyWorkers(*first) == 1;
    }));
    second = startNode("b", {first->address()});
    CHECK(eventually([&] {
        return second->status().ownHighest == announced_version{9, 7};
    }));
    second->setLocal(0, 0, member_state::Ready, {});
    CHECK(eventually([&] {
        return readyWorkers(*first) == 2;
    }));
}
