// Guards the overshoot bound of limits: an operator sets a limit to protect something behind the service, and the nodes
// together must keep it although each decides alone and on a stale view.
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>

#include "request/admission/limits.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};

std::vector<std::string> namesOf(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t each = 0; each < count; ++each) {
        names.push_back("node-" + std::to_string(each));
    }
    return names;
}

struct fleet
{
    std::vector<limit_state> nodes;
    std::vector<std::deque<std::uint32_t>> held;
    std::vector<time_point> passed;

    std::size_t active() const
    {
        return std::accumulate(held.begin(), held.end(), std::size_t(0), [](std::size_t sum, const auto &each) {
            return sum + each.size();
        });
    }
};

// `live` nodes that know each other and `stale` ones that have left; the last `unknown` live nodes are missing from the
// views of all others.
fleet makeFleet(std::size_t live, std::size_t stale, std::size_t unknown, std::uint32_t staleMask)
{
    const std::vector<std::string> names = namesOf(live + stale);
    fleet made;
    made.held.resize(live);
    for (std::size_t self = 0; self < live; ++self) {
        std::vector<std::string_view> view;
        for (std::size_t other = 0; other < names.size(); ++other) {
            const bool isKnown = other < live - unknown || other == self;
            const bool isStale = other >= live && ((staleMask >> ((self + other) % 32U)) & 1U) != 0;
            if (isKnown || isStale) {
                view.emplace_back(names.at(other));
            }
        }
        made.nodes.push_back(makeLimits(names.at(self), start));
        recordSeenWorkers(made.nodes.back(), view, start + newNodeWait);
    }
    return made;
}

void run(fleet &nodes, const limit_bound &bound, const std::vector<std::uint32_t> &words, std::size_t mostActive)
{
    time_point now = start + newNodeWait;
    for (const std::uint32_t word : words) {
        const std::size_t node = word % nodes.nodes.size();
        now += milliseconds((word >> 4U) % 100U);
        std::uint32_t index = noLimit;
        if ((word >> 12U) % 4U == 0 && !nodes.held.at(node).empty()) {
            releaseLimit(nodes.nodes.at(node), nodes.held.at(node).front());
            nodes.held.at(node).pop_front();
        } else if (takeLimit(nodes.nodes.at(node), "orders", bound, now, index) == limit_verdict::Pass) {
            nodes.held.at(node).push_back(index);
            nodes.passed.push_back(now);
        }
        RC_ASSERT(nodes.active() <= mostActive);
    }
}

// Largest excess over `perSecond` in any window of time.
double worstExcess(const std::vector<time_point> &passed, double perSecond)
{
    double worst = 0;
    for (std::size_t first = 0; first < passed.size(); ++first) {
        for (std::size_t last = first; last < passed.size(); ++last) {
            const double elapsed = std::chrono::duration<double>(passed[last] - passed[first]).count();
            worst = std::max(worst, static_cast<double>(last - first + 1) - perSecond * elapsed);
        }
    }
    return worst;
}

constexpr std::uint32_t ample = 1'000'000;

} // namespace

TEST_CASE("concurrency of all nodes stays under the limit, with stale views and less than one per node")
{
    CHECK(
        holds("concurrency", 3000, [](std::uint8_t sizes, std::uint32_t mask, const std::vector<std::uint32_t> &words) {
            const std::size_t live = 1U + sizes % 8U;
            const std::uint32_t value = 1U + mask % 20U;
            fleet nodes = makeFleet(live, sizes / 8U % 4U, 0, mask);
            run(nodes, {0, value}, words, value);
        }));
}

TEST_CASE("nodes that others do not know add at most their own share")
{
    CHECK(holds("unknown nodes",
                3000,
                [](std::uint8_t sizes, std::uint32_t mask, const std::vector<std::uint32_t> &words) {
                    const std::size_t live = 2U + sizes % 7U;
                    const std::size_t unknown = 1U + sizes / 8U % (live - 1);
                    const std::uint32_t value = 1U + mask % 20U;
                    fleet nodes = makeFleet(live, 0, unknown, mask);
                    const std::size_t share = (value + live - unknown) / (live - unknown + 1);
                    run(nodes, {0, value}, words, value + unknown * share);
                }));
}

TEST_CASE("requests per second of all nodes stay under the limit plus the stated burst")
{
    CHECK(holds("rate", 2000, [](std::uint8_t sizes, std::uint32_t mask, const std::vector<std::uint32_t> &words) {
        const std::size_t live = 1U + sizes % 8U;
        const std::uint32_t value = 1U + mask % 60U;
        fleet nodes = makeFleet(live, sizes / 8U % 4U, 0, mask);
        run(nodes, {value, ample}, words, words.size());
        const double burst = value * std::chrono::duration<double>(burstWindow).count();
        RC_ASSERT(worstExcess(nodes.passed, value) <= burst + static_cast<double>(live) + 1e-6);
    }));
}

TEST_CASE("the shares of all nodes use the whole limit when the views agree")
{
    for (std::uint32_t value = 1; value < 30; ++value) {
        std::uint32_t sum = 0;
        for (std::uint64_t rank = 0; rank < 7; ++rank) {
            sum += concurrencyShare(value, rank, 7);
        }
        CHECK(sum == value);
    }
}

TEST_CASE("a new node takes no share before the others can know it")
{
    limit_state node = makeLimits("a", start);
    std::uint32_t index = noLimit;
    CHECK(takeLimit(node, "orders", {0, 9}, start + seconds(2), index) == limit_verdict::OverConcurrency);
    CHECK(takeLimit(node, "orders", {0, 9}, start + seconds(3), index) == limit_verdict::Pass);
}

TEST_CASE("a worker that left counts for 30 s more")
{
    limit_state node = makeLimits("a", start);
    const std::vector<std::string_view> both = {"a", "b"};
    const std::vector<std::string_view> alone = {"a"};
    recordSeenWorkers(node, both, start);
    recordSeenWorkers(node, alone, start + seconds(30));
    CHECK(node.seen.size() == 2);
    recordSeenWorkers(node, alone, start + seconds(31));
    CHECK(node.seen.size() == 1);
}

TEST_CASE("the state of limits that are no longer used is reused")
{
    limit_state node = makeLimits("a", start);
    for (int each = 0; each < 1000; ++each) {
        std::uint32_t index = noLimit;
        const time_point now = start + seconds(10 + each);
        REQUIRE(takeLimit(node, "limit-" + std::to_string(each), {0, 5}, now, index) == limit_verdict::Pass);
        releaseLimit(node, index);
    }
    CHECK(node.entries.size() == maxLimits);
}
