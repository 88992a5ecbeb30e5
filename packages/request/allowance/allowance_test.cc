// Guards against an account that gets more than its allowance over all nodes, against false denials, and against an
// overloaded account that takes tokens from others.
#include <algorithm>

#include <catch2/catch.hpp>

#include "request/allowance/allowance_fixture.h"
#include "testing/property.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

constexpr std::uint64_t first = 11;
constexpr std::uint64_t second = 22;
constexpr allowance_rules rules{.windowS = 2, .overage = 0.1, .slack = 5};
constexpr allowance_rules pageRules{.windowS = 5, .overage = 0.1, .slack = 20};
const limit_map highLimits{{first, {20, 5}}, {second, {4, 2}}};
const limit_map lowLimits{{first, {8, 2}}, {second, {4, 2}}};

double bound(const allowance_limit &limit)
{
    return (limit.ratePerS * rules.windowS + limit.burst) * (1 + rules.overage) + rules.slack;
}

// Plays one step for each word, while all nodes ask for far more than the allowances.
void play(allowance_world &world, const std::vector<std::uint32_t> &words)
{
    world.lossPercent = 5;
    world.repeatPercent = 5;
    world.returnPercent = 20;
    world.maxDelay = milliseconds(40);
    world.tick = milliseconds(5);
    for (const std::uint32_t word : words) {
        const std::size_t index = word / 16 % world.nodes.size();
        allowance_world::node &node = world.nodes.at(index);
        switch (word % 16) {
        case 0:
            world.start(index);
            break;
        case 1:
            node.isRunning = false;
            break;
        case 2:
            node.frozenUntil = world.now + milliseconds(word / 256 % 3000);
            break;
        case 3:
            node.isCut = !node.isCut;
            break;
        case 4:
        case 5:
        case 6:
        case 7:
            for (std::size_t each = 0; each < world.nodes.size(); ++each) {
                world.rankDesks(each, word / 256);
            }
            break;
        default:
            world.rankDesks(index, word / 256);
        }
        for (std::size_t each = 0; each < world.nodes.size(); ++each) {
            world.request(each, first);
            world.request(each, second);
        }
        world.run(milliseconds(20 + word / 256 % 40));
    }
}

// Returns the largest part of its bound that an account has used in any window from a time on.
double largestUse(const allowance_world &world, std::uint64_t account, const allowance_limit &limit, time_point from)
{
    const auto window = std::chrono::duration_cast<duration>(std::chrono::duration<double>(rules.windowS));
    double largest = 0;
    for (const auto &each : world.used) {
        if (each.account == account && each.sentAt >= from) {
            const auto used = static_cast<double>(world.usedIn(account, each.sentAt, each.sentAt + window));
            largest = std::max(largest, used / bound(limit));
        }
    }
    return largest;
}

bool staysInBound(const std::vector<std::uint32_t> &words, bool isNaive)
{
    allowance_world world(5, 2, rules);
    world.isNaive = isNaive;
    world.setLimitsEverywhere(highLimits);
    world.run(milliseconds(2500));
    play(world, words);
    if (largestUse(world, first, highLimits.at(first), {}) > 1
        || largestUse(world, second, highLimits.at(second), {}) > 1) {
        return false;
    }
    world.setLimitsEverywhere(lowLimits);
    const time_point loweredAt = world.now;
    play(world, words);
    return largestUse(world, first, lowLimits.at(first), loweredAt) <= 1;
}

// An account's clients: they send at random, at a mean rate. `allowed` is the token bucket of the account in one piece.
struct client_load
{
    std::uint64_t account = 0;
    double ratePerS = 0;
    bool staysInAllowance = true; // leaves out requests for which the whole bucket is empty
    double allowed = 0;
};

// Plays the loads at random nodes for a time; returns the number of requests.
std::size_t load(allowance_world &world, std::vector<client_load> loads, milliseconds length)
{
    std::size_t sent = 0;
    for (milliseconds passed{0}; passed < length; passed += milliseconds(1)) {
        for (client_load &each : loads) {
            const allowance_limit &limit = highLimits.at(each.account);
            each.allowed = std::min(limit.burst, each.allowed + limit.ratePerS / 1000);
            const bool wants = std::bernoulli_distribution(each.ratePerS / 1000)(world.generator);
            if (wants && (!each.staysInAllowance || each.allowed >= 1)) {
                each.allowed -= 1;
                ++sent;
                world.request(world.generator() % world.nodes.size(), each.account);
            }
        }
        world.run(milliseconds(1));
    }
    return sent;
}

} // namespace

TEST_CASE("no account exceeds its bound in any window, whatever happens to nodes and messages")
{
    CHECK(holds("sum of all nodes stays in the bound", 300, [](const std::vector<std::uint32_t> &words) {
        return staysInBound(words, false);
    }));
}

TEST_CASE("the check of the bound notices a node that delegates its right to two desks")
{
    std::vector<std::uint32_t> words(150);
    random_generator generator{3};
    std::ranges::generate(words, [&] {
        return static_cast<std::uint32_t>(4 + 16 * (generator() % 100000));
    });
    CHECK(staysInBound(words, false));
    CHECK_FALSE(staysInBound(words, true));
}

TEST_CASE("in calm, at most one request of 1,000 below the allowance is denied, also while a desk is replaced")
{
    allowance_world world(12, 3, pageRules);
    world.setLimitsEverywhere(highLimits);
    world.run(milliseconds(4000));
    const std::size_t calm = load(world, {{first, 18}, {second, 3.5}}, milliseconds(120000));
    CHECK((world.denied[first] + world.denied[second]) * 1000 <= calm);
    world.denied.clear();
    world.nodes.at(0).isRunning = false; // the preferred desk of a data centre
    const std::size_t replaced = load(world, {{first, 15}}, milliseconds(120000));
    CHECK(world.denied[first] * 1000 <= replaced);
    CHECK(world.unavailable.empty());
}

TEST_CASE("an account at seven times its usual load costs the others nothing, and gets its allowance")
{
    allowance_world world(12, 3, pageRules);
    world.setLimitsEverywhere(highLimits);
    world.run(milliseconds(4000));
    const time_point hotFrom = world.now;
    load(world, {{first, 7 * 15, false}, {second, 3.5}}, milliseconds(120000));
    CHECK(world.denied[second] == 0);
    CHECK(world.usedIn(first, hotFrom, world.now) > 120 * 20 * 95 / 100);
    CHECK(world.messages < 120 * 12 * 60); // the denied requests do not flood the desks
}

TEST_CASE("a desk that does not know the number of nodes grants nothing")
{
    const time_point now{seconds(5)};
    desk_state desk = makeDesk(1, 9, rules, now);
    setLimits(desk, highLimits, now);
    const auto stamp = handleAsk(desk, {.node = 2, .process = 3, .desk = 1, .sequence = 1}, now)->stamp;
    allowance_ask ask{2, 3, 1, 2, 0, true, 9, stamp, {{first, 1}}, {}};
    CHECK_FALSE(handleAsk(desk, ask, now)->grants.front().canGrant);
    ask.sequence = 3;
    ask.nodeCount = 4; // the sender has read the directory
    CHECK(handleAsk(desk, ask, now)->grants.front().canGrant);
    CHECK(deskShare(desk) == 0.25);
}

TEST_CASE("odd numbers of other nodes neither end a desk nor give it rights")
{
    const time_point now{seconds(5)};
    desk_state desk = makeDesk(1, 9, rules, now);
    setLimits(desk, highLimits, now);
    setNodeCount(desk, 2, now);
    for (const std::int64_t stamp : {INT64_MIN, std::int64_t{-1}, std::int64_t{0}, INT64_MAX}) {
        allowance_ask ask{2, 3, 1, 1, UINT32_MAX, true, 9, stamp, {{first, UINT32_MAX}, {77, 1}}, {{first, stamp}}};
        ask.process += static_cast<std::uint64_t>(stamp);
        REQUIRE(handleAsk(desk, ask, now));
    }
    CHECK(desk.members.empty());
    CHECK(desk.counters.returned == 0);
}
