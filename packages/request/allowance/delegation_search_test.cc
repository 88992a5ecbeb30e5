// Explores all interleavings of a few steps of the delegation protocol: one node, two desks that it may prefer, late
// and repeated messages, restarts. Guards against a right that two desks count at the same time.
#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <set>
#include <sstream>
#include <variant>

#include <catch2/catch.hpp>

#include "request/allowance/borrower.h"

using namespace pistachioquay;

namespace {

constexpr std::size_t maxSteps = 22;
constexpr std::size_t maxFlights = 2;
constexpr std::size_t maxStates = 400'000;
constexpr milliseconds stepTime = delegationTime / 2;
constexpr std::array<std::uint64_t, 2> deskKeys = {1, 2};
constexpr std::uint64_t nodeKey = 3;

using message = std::variant<allowance_ask, allowance_answer>;

struct world_state
{
    time_point now{seconds(10)};
    std::uint64_t lastProcess = 3;
    std::size_t home = 0; // desk that the node prefers
    bool hasRestarted = false; // the node, or a desk: one restart in each sequence
    borrower_state node = makeBorrower(nodeKey, 3, time_point(seconds(10)) - delegationTime);
    std::array<desk_state, 2> desks = {makeDesk(1, 1, {}, time_point(seconds(10))),
                                       makeDesk(2, 2, {}, time_point(seconds(10)))};
    std::vector<message> flights;
};

void rank(world_state &world)
{
    setDesks(world.node, {{deskKeys.at(world.home), deskKeys.at(1 - world.home)}}, world.now);
}

// Returns whether both desks count the right of the node.
bool isCountedTwice(const world_state &world)
{
    return std::ranges::all_of(world.desks, [&](const desk_state &desk) {
        const auto member = desk.members.find(nodeKey);
        return member != desk.members.end() && member->second > world.now;
    });
}

std::string describe(const world_state &world)
{
    std::ostringstream text;
    const auto add = [&](const auto &...values) {
        ((text << values << ' '), ...);
    };
    const auto addTime = [&](time_point time) {
        add(std::max<std::int64_t>(-5000, millisBetween(world.now, time)));
    };
    add(millisBetween({}, world.now), world.home, world.hasRestarted, world.node.process, world.node.lentTo);
    addTime(world.node.lentUntil);
    addTime(world.node.startedAt);
    for (const auto &[key, link] : world.node.links) {
        add(key, link.process, link.stamp, link.sequence, link.isSilent, link.open ? link.open->tries : 0);
        addTime(link.stampReceivedAt);
        addTime(link.lastAskAt);
        addTime(link.open ? link.open->sentAt : time_point());
    }
    for (const desk_state &desk : world.desks) {
        const auto member = desk.members.find(nodeKey);
        add(desk.process);
        addTime(member == desk.members.end() ? time_point() : member->second);
        for (const std::uint64_t process : {3U, 4U}) {
            const auto session = desk.sessions.find(process);
            add(session == desk.sessions.end() ? 0 : session->second.lastAnswer.sequence);
        }
    }
    for (const message &each : world.flights) {
        if (const auto *ask = std::get_if<allowance_ask>(&each)) {
            add('q', ask->process, ask->desk, ask->sequence, ask->delegates, ask->deskProcess, ask->stamp);
        } else {
            const auto &answer = std::get<allowance_answer>(each);
            add('a', answer.process, answer.deskProcess, answer.sequence, answer.stamp);
        }
    }
    return text.str();
}

void deliver(world_state &world, const message &arrived)
{
    if (const auto *ask = std::get_if<allowance_ask>(&arrived)) {
        const auto answer = handleAsk(world.desks.at(ask->desk - 1), *ask, world.now);
        if (answer && world.flights.size() < maxFlights) {
            world.flights.emplace_back(*answer);
        }
    } else {
        receiveAnswer(world.node, std::get<allowance_answer>(arrived), world.now);
    }
}

// Returns the states that one step leads to.
std::vector<world_state> successors(const world_state &world, bool isNaive)
{
    std::vector<world_state> next;
    const auto add = [&](auto step) {
        next.push_back(world);
        step(next.back());
    };
    add([](world_state &each) {
        each.now += stepTime;
    });
    add([&](world_state &each) {
        each.home = 1 - each.home;
        if (isNaive) {
            each.node.lentUntil = {}; // forgets that the other desk still counts the right
        }
        rank(each);
    });
    add([](world_state &each) {
        for (const allowance_ask &ask : collectAsks(each.node, each.now)) {
            if (each.flights.size() < maxFlights) {
                each.flights.emplace_back(ask); // otherwise lost
            }
        }
    });
    if (!world.hasRestarted) {
        add([](world_state &each) {
            each.hasRestarted = true;
            each.node = makeBorrower(nodeKey, ++each.lastProcess, each.now);
            each.node.isNeeded = true;
            rank(each);
        });
        add([](world_state &each) {
            each.hasRestarted = true;
            each.desks.front() = makeDesk(1, ++each.lastProcess, {}, each.now);
        });
    }
    for (std::size_t index = 0; index < world.flights.size(); ++index) {
        const auto position = static_cast<std::ptrdiff_t>(index);
        add([&](world_state &each) {
            deliver(each, world.flights.at(index)); // a copy stays in the network
        });
        add([&](world_state &each) {
            each.flights.erase(each.flights.begin() + position);
            deliver(each, world.flights.at(index));
        });
        add([&](world_state &each) {
            each.flights.erase(each.flights.begin() + position);
        });
    }
    return next;
}

struct search_result
{
    std::size_t states = 0;
    std::size_t steps = 0; // all sequences of this length were explored
    std::size_t counted = 0; // states in which a desk counts the right
    bool isSafe = true;
};

// Returns a state in which the first desk has just got the right of the node.
world_state delegatedState()
{
    world_state start;
    start.node.isNeeded = true;
    rank(start);
    for (int exchange = 0; exchange < 2; ++exchange) {
        for (const allowance_ask &ask : collectAsks(start.node, start.now)) {
            receiveAnswer(start.node, *handleAsk(start.desks.front(), ask, start.now), start.now);
        }
        start.now += firstRenewalInterval;
    }
    return start;
}

search_result explore(bool isNaive)
{
    const world_state start = delegatedState();
    std::set<std::size_t> reached; // hashes of the descriptions
    std::deque<std::pair<world_state, std::size_t>> open{{start, 0}};
    search_result result;
    while (!open.empty() && result.isSafe) {
        const auto [world, steps] = std::move(open.front());
        open.pop_front();
        result.steps = steps;
        if (steps == maxSteps || reached.size() >= maxStates) {
            break;
        }
        for (world_state &next : successors(world, isNaive)) {
            if (reached.insert(std::hash<std::string>{}(describe(next))).second) {
                result.isSafe = result.isSafe && !isCountedTwice(next);
                result.counted += next.desks[0].members.size() + next.desks[1].members.size() > 0 ? 1U : 0U;
                open.emplace_back(std::move(next), steps + 1);
            }
        }
    }
    result.states = reached.size();
    return result;
}

} // namespace

TEST_CASE("no sequence of steps lets two desks count the right of one node")
{
    const search_result result = explore(false);
    std::cout << "delegation search: " << result.states << " states, all sequences of " << result.steps << " steps, "
              << result.counted << " with a delegation\n";
    CHECK(result.isSafe);
    CHECK(result.counted > maxStates / 4);
}

TEST_CASE("the search finds the fault of a node that forgets its delegation")
{
    CHECK_FALSE(explore(true).isSafe);
}
