// Guards the upper bound that limits.h states for all nodes together. An operator sets a limit to protect a dependency
// of the service; the nodes would exceed it if their shares, which each computes alone from a possibly stale view,
// summed to more than the bound.
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>

#include "request/admission/limits.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};

std::vector<std::string> makeNodeIds(std::size_t count)
{
    std::vector<std::string> ids;
    for (std::size_t each = 0; each < count; ++each) {
        ids.push_back("node-" + std::to_string(each));
    }
    return ids;
}

struct fleet
{
    std::vector<limit_state> nodes;
    std::vector<std::deque<std::uint32_t>> acquired; // limit indexes of requests in flight, by node
    std::vector<time_point> passedAt; // times at which requests passed, on any node

    std::size_t inFlight() const
    {
        return std::accumulate(acquired.begin(), acquired.end(), std::size_t(0), [](std::size_t sum, const auto &each) {
            return sum + each.size();
        });
    }
};

// Makes `live` nodes that know each other. `stale` further nodes have left but are still in the views that `staleMask`
// selects. The last `unknown` live nodes are missing from the views of all others.
fleet makeFleet(std::size_t live, std::size_t stale, std::size_t unknown, std::uint32_t staleMask)
{
    const std::vector<std::string> ids = makeNodeIds(live + stale);
    fleet made;
    made.acquired.resize(live);
    for (std::size_t self = 0; self < live; ++self) {
        std::vector<std::string_view> view;
        for (std::size_t other = 0; other < ids.size(); ++other) {
            const bool isKnown = other < live - unknown || other == self;
            const bool isStale = other >= live && ((staleMask >> ((self + other) % 32U)) & 1U) != 0;
            if (isKnown || isStale) {
                view.emplace_back(ids.at(other));
            }
        }
        made.nodes.push_back(makeLimits(ids.at(self), start));
        recordSeenWorkers(made.nodes.back(), view, start + newNodeShareDelay);
    }
    return made;
}

// Decodes each word into a request or the end of a request on one node, and checks the requests in flight after each.
void runSteps(fleet &nodes, const limit_bound &bound, const std::vector<std::uint32_t> &words, std::size_t maxInFlight)
{
    time_point now = start + newNodeShareDelay;
    for (const std::uint32_t word : words) {
        const std::size_t node = word % nodes.nodes.size();
        now += milliseconds((word >> 4U) % 100U);
        std::uint32_t index = noLimit;
        if ((word >> 12U) % 4U == 0 && !nodes.acquired.at(node).empty()) {
            releaseLimit(nodes.nodes.at(node), nodes.acquired.at(node).front());
            nodes.acquired.at(node).pop_front();
        } else if (tryAcquireLimit(nodes.nodes.at(node), "orders", bound, now, index) == limit_verdict::Pass) {
            nodes.acquired.at(node).push_back(index);
            nodes.passedAt.push_back(now);
        }
        RC_ASSERT(nodes.inFlight() <= maxInFlight);
    }
}

// Largest number of requests beyond `perSecond` in any interval.
double worstExcess(const std::vector<time_point> &passedAt, double perSecond)
{
    double worst = 0;
    for (std::size_t first = 0; first < passedAt.size(); ++first) {
        for (std::size_t last = first; last < passedAt.size(); ++last) {
            const double elapsed = std::chrono::duration<double>(passedAt[last] - passedAt[first]).count();
            worst = std::max(worst, static_cast<double>(last - first + 1) - perSecond * elapsed);
        }
    }
    return worst;
}

constexpr std::uint32_t unreachedConcurrency = 1'000'000;

} // namespace

TEST_CASE(
    "concurrency of all nodes together stays within the limit, with stale views and limits below the number of nodes")
{
    CHECK(holds("concurrency within limit",
                3000,
                [](std::uint8_t sizes, std::uint32_t mask, const std::vector<std::uint32_t> &words) {
                    const std::size_t live = 1U + sizes % 8U;
                    const std::uint32_t value = 1U + mask % 20U;
                    fleet nodes = makeFleet(live, sizes / 8U % 4U, 0, mask);
                    runSteps(nodes, {0, value}, words, value);
                }));
}

TEST_CASE("live nodes that others do not know add at most their own shares to the concurrency")
{
    CHECK(holds("concurrency with unknown nodes",
                3000,
                [](std::uint8_t sizes, std::uint32_t mask, const std::vector<std::uint32_t> &words) {
                    const std::size_t live = 2U + sizes % 7U;
                    const std::size_t unknown = 1U + sizes / 8U % (live - 1);
                    const std::uint32_t value = 1U + mask % 20U;
                    fleet nodes = makeFleet(live, 0, unknown, mask);
                    const std::size_t share = (value + live - unknown) / (live - unknown + 1);
                    runSteps(nodes, {0, value}, words, value + unknown * share);
                }));
}

TEST_CASE("requests per second of all nodes together stay within the limit plus the documented burst")
{
    CHECK(holds("rate within limit and burst",
                2000,
                [](std::uint8_t sizes, std::uint32_t mask, const std::vector<std::uint32_t> &words) {
                    const std::size_t live = 1U + sizes % 8U;
                    const std::uint32_t value = 1U + mask % 60U;
                    fleet nodes = makeFleet(live, sizes / 8U % 4U, 0, mask);
                    runSteps(nodes, {value, unreachedConcurrency}, words, words.size());
                    const double burst = value * std::chrono::duration<double>(burstWindow).count();
                    RC_ASSERT(worstExcess(nodes.passedAt, value) <= burst + static_cast<double>(live) + 1e-6);
                }));
}

TEST_CASE("the concurrency shares of all nodes sum to the limit when their views agree")
{
    for (std::uint32_t value = 1; value < 30; ++value) {
        std::uint32_t sum = 0;
        for (std::uint64_t rank = 0; rank < 7; ++rank) {
            sum += concurrencyShare(value, rank, 7);
        }
        CHECK(sum == value);
    }
}

TEST_CASE("a node has no share of a limit for the first 3 s after its start")
{
    limit_state node = makeLimits("a", start);
    std::uint32_t index = noLimit;
    CHECK(tryAcquireLimit(node, "orders", {0, 9}, start + seconds(2), index) == limit_verdict::OverConcurrency);
    CHECK(tryAcquireLimit(node, "orders", {0, 9}, start + seconds(3), index) == limit_verdict::Pass);
}

TEST_CASE("a worker that is no longer reported counts for 30 s")
{
    limit_state node = makeLimits("a", start);
    const std::vector<std::string_view> both = {"a", "b"};
    const std::vector<std::string_view> alone = {"a"};
    recordSeenWorkers(node, both, start);
    recordSeenWorkers(node, alone, start + seconds(30));
    CHECK(node.seenWorkers.size() == 2);
    recordSeenWorkers(node, alone, start + seconds(31));
    CHECK(node.seenWorkers.size() == 1);
}

TEST_CASE("new limits replace idle ones when maxLimits are tracked")
{
    limit_state node = makeLimits("a", start);
    for (int each = 0; each < 1000; ++each) {
        std::uint32_t index = noLimit;
        const time_point now = start + seconds(10 + each);
        REQUIRE(tryAcquireLimit(node, "limit-" + std::to_string(each), {0, 5}, now, index) == limit_verdict::Pass);
        releaseLimit(node, index);
    }
    CHECK(node.entries.size() == maxLimits);
}
