// Tests membership with lost, reordered, repeated, late and corrupted datagrams on a simulated network with fixed
// seeds.
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "testing/bench/datagram_network.h"

using namespace pistachioquay;

namespace {

std::string nameOf(std::size_t index)
{
    return "orders@" + datagram_network::endpointOf(index).ip;
}

// Starts `count` ready nodes that know each other.
datagram_network settledNetwork(std::size_t count, const network_options &options)
{
    datagram_network network({.seed = options.seed});
    for (std::size_t index = 0; index < count; ++index) {
        network.add(nameOf(index),
                    "be-1",
                    "orders",
                    index == 0 ? std::vector<std::size_t>{} : std::vector<std::size_t>{0});
        network.setState(index, member_state::Ready);
    }
    network.run(seconds(12));
    network.options = options;
    return network;
}

const known_member *memberSeenBy(const datagram_network &network, std::size_t observer, std::size_t subject)
{
    const auto &members = network.nodes[observer].state.members;
    const auto found = members.find(memberKey(network.nodes[subject].options.self.nodeId));
    return found == members.end() ? nullptr : &found->second;
}

std::set<std::string> liveIds(const membership_state &state)
{
    std::set<std::string> ids;
    for (const member &live : liveMembers(state)) {
        ids.insert(live.nodeId);
    }
    return ids;
}

std::set<std::string> runningIds(const datagram_network &network)
{
    std::set<std::string> ids;
    for (const auto &node : network.nodes) {
        if (node.isRunning && node.state.self.state != member_state::Left) {
            ids.insert(node.options.self.nodeId);
        }
    }
    return ids;
}

// Returns whether every running node has exactly the running nodes as live members.
bool nodesAgree(const datagram_network &network)
{
    const std::set<std::string> expected = runningIds(network);
    return std::ranges::all_of(network.nodes, [&](const auto &node) {
        return !node.isRunning || node.state.self.state == member_state::Left || liveIds(node.state) == expected;
    });
}

bool agreesWithin(datagram_network &network, duration length)
{
    network.run(length, [&] {
        return network.now.time_since_epoch() % seconds(1) == duration(0) && nodesAgree(network);
    });
    return nodesAgree(network);
}

// What one observer process knew of one node at the last check.
struct observed_member
{
    std::uint64_t observerStarted = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t leftIncarnation = 0;
    bool isDead = false;
    announced_version highest;
};

using observations = std::map<std::pair<std::size_t, std::size_t>, observed_member>;

bool wentBackwards(const known_member &known, const observed_member &before)
{
    const bool isSame = known.data.incarnation == before.incarnation;
    const bool isRevived = isSame && before.isDead && known.mark != member_mark::Dead;
    const bool isLeaveUndone =
        before.leftIncarnation == known.data.incarnation && known.data.state != member_state::Left;
    const bool isVersionLower =
        known.highest.position < before.highest.position || known.highest.version < before.highest.version;
    return known.data.incarnation < before.incarnation || isRevived || isLeaveUndone || isVersionLower;
}

// Counts member states that went backwards since the last check, and nodes that exceeded a size limit.
std::size_t violations(const datagram_network &network, observations &seen)
{
    std::size_t count = 0;
    for (std::size_t observer = 0; observer < network.nodes.size(); ++observer) {
        const membership_state &state = network.nodes[observer].state;
        count += state.pending.size() > maxPendingUpdates || network.nodes[observer].largestDatagram > 1'200 ? 1 : 0;
        for (std::size_t subject = 0; subject < network.nodes.size(); ++subject) {
            const known_member *known = memberSeenBy(network, observer, subject);
            if (known == nullptr) {
                continue;
            }
            observed_member &before = seen[{observer, subject}];
            if (before.observerStarted == state.self.started && wentBackwards(*known, before)) {
                ++count;
            }
            const bool isLeft = known->data.state == member_state::Left;
            before = {state.self.started,
                      known->data.incarnation,
                      isLeft ? known->data.incarnation : 0,
                      known->mark == member_mark::Dead,
                      known->highest};
        }
    }
    return count;
}

void injectFault(datagram_network &network, std::uint64_t &position)
{
    random_generator &generator = network.generator;
    const std::size_t index = generator() % network.nodes.size();
    auto &node = network.nodes[index];
    switch (generator() % 8) {
    case 0:
        network.kill(index);
        break;
    case 1: // the wall clock of the new process may be behind the old one's
        network.restart(index, node.options.self.started + generator() % 20'000 - 5'000);
        network.setState(index, member_state::Ready);
        break;
    case 2:
        network.pause(index, milliseconds(generator() % 6'000));
        break;
    case 3:
        node.island = static_cast<int>(generator() % 2);
        break;
    case 4:
        network.drain(index);
        break;
    case 5:
        network.leave(index);
        break;
    default:
        network.setPosition(index, ++position);
    }
}

} // namespace

TEST_CASE("updates about a member give the same state in any order and when repeated")
{
    random_generator generator(11);
    for (int round = 0; round < 5'000; ++round) {
        std::vector<member_update> updates;
        for (int count = 0; count < 8; ++count) {
            const std::uint64_t incarnation = 100 + generator() % 4;
            const auto mark = static_cast<member_mark>(generator() % 3);
            // Equal revisions imply equal states, because only the member itself changes them.
            const auto revision = static_cast<std::uint32_t>(generator() % 4);
            const auto state = static_cast<member_state>(revision);
            updates.push_back({1, 100, incarnation, revision, mark, state, revision, std::nullopt});
        }
        known_member first;
        known_member second;
        for (const member_update &update : updates) {
            mergeUpdate(first, update);
        }
        std::vector<member_update> reordered = updates;
        reordered.insert(reordered.end(), updates.begin(), updates.end());
        std::ranges::shuffle(reordered, generator);
        for (const member_update &update : reordered) {
            mergeUpdate(second, update);
        }
        REQUIRE(first == second);
        REQUIRE_FALSE(mergeUpdate(first, updates.front()));
    }
}

TEST_CASE("no member state goes backwards during random faults, and all nodes agree after the faults end")
{
    constexpr std::uint64_t sequences = 1'500;
    std::size_t badChecksums = 0;
    for (std::uint64_t seed = 1; seed <= sequences; ++seed) {
        datagram_network network = settledNetwork(4,
                                                  {.loss = static_cast<double>(seed % 4) * 0.1,
                                                   .repeat = 0.1,
                                                   .garble = 0.05,
                                                   .minDelay = milliseconds(0),
                                                   .maxDelay = milliseconds(300),
                                                   .seed = seed});
        observations seen;
        std::uint64_t position = 0;
        for (int fault = 0; fault < 8; ++fault) {
            injectFault(network, position);
            network.run(milliseconds(200 + network.generator() % 3'000));
            INFO("seed " << seed);
            REQUIRE(violations(network, seen) == 0);
        }
        // The only seed may have stopped for good, so the other nodes find each other through stream `rendezvous`.
        std::vector<endpoint> endpoints;
        for (auto &node : network.nodes) {
            node.island = 0;
            badChecksums += node.state.malformed.badChecksum;
            endpoints.push_back(node.options.self.gossip);
        }
        for (std::size_t index = 0; index < network.nodes.size(); ++index) {
            if (network.nodes[index].isRunning) {
                network.rendezvous(index, endpoints);
            }
        }
        network.options = {.seed = seed};
        INFO("seed " << seed);
        REQUIRE(agreesWithin(network, seconds(90)));
        REQUIRE(violations(network, seen) == 0);
    }
    CHECK(badChecksums > sequences);
}

TEST_CASE("every node learns of a drain within 3 s at 20% loss")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        datagram_network network = settledNetwork(60, {.loss = 0.2, .maxDelay = milliseconds(20), .seed = seed});
        network.drain(7);
        network.run(seconds(3));
        for (std::size_t observer = 0; observer < network.nodes.size(); ++observer) {
            INFO("seed " << seed << " observer " << observer);
            REQUIRE((observer == 7 || memberSeenBy(network, observer, 7)->data.state == member_state::Draining));
        }
        REQUIRE_FALSE(isAccepting(network.nodes[7].state, network.now));
    }
}

TEST_CASE("a drain is announced to every member at once and three times within a second")
{
    datagram_network network = settledNetwork(20, {.seed = 4});
    membership_state &state = network.nodes[3].state;
    std::map<std::string, int> notices;
    const auto count = [&](const membership_actions &actions) {
        for (const datagram &out : actions.sends) {
            const auto read = attempt([&] {
                return decodeDatagram(out.bytes, state.malformed);
            });
            notices[toText(out.to)] += read && read->from.state == member_state::Draining ? 1 : 0;
        }
    };
    count(beginDrain(state, network.now));
    CHECK(notices.size() == 19);
    for (int tick = 1; tick <= 20; ++tick) {
        count(onTick(state, network.now + tick * milliseconds(50), network.generator));
    }
    CHECK(std::ranges::all_of(notices, [](const auto &notice) {
        return notice.second >= 3;
    }));
}

TEST_CASE("a join reply returns the highest version announced under the joining node's id")
{
    datagram_network network = settledNetwork(3, {.seed = 3});
    network.setPosition(2, 31);
    network.run(seconds(2));
    message join;
    join.kind = message_kind::Join;
    join.dataCentre = dataCentreTag("be-1");
    join.entry = network.nodes[2].options.self;
    join.from.key = memberKey(nameOf(2));
    const membership_actions actions = onDatagram(network.nodes[0].state,
                                                  datagram_network::endpointOf(2),
                                                  encodeBounded(join),
                                                  network.now,
                                                  network.generator);
    REQUIRE(actions.sends.size() == 1);
    const auto reply = attempt([&] {
        return decodeDatagram(actions.sends[0].bytes, network.nodes[0].state.malformed);
    });
    REQUIRE(reply);
    CHECK(reply->highest == announced_version{31, 31});
}

TEST_CASE("live members refute every suspicion caused by datagram loss")
{
    datagram_network network = settledNetwork(40, {.loss = 0.25, .maxDelay = milliseconds(20), .seed = 5});
    network.run(seconds(60));
    network.options = {.seed = 5};
    CHECK(agreesWithin(network, seconds(20)));
    std::uint64_t suspicions = 0;
    for (const auto &node : network.nodes) {
        suspicions += node.state.counters.suspicions;
    }
    CHECK(suspicions > 0);
}

TEST_CASE("a partition inside a data centre heals after both halves marked each other dead")
{
    datagram_network network = settledNetwork(40, {.seed = 6});
    network.kill(0); // the only seed, so the halves can find each other only by pings to dead members
    for (std::size_t index = 0; index < 20; ++index) {
        network.nodes[index].island = 1;
    }
    network.run(seconds(40));
    CHECK(liveIds(network.nodes[1].state).size() == 19);
    CHECK(liveIds(network.nodes[39].state).size() == 20);
    for (auto &node : network.nodes) {
        node.island = 0;
    }
    CHECK(agreesWithin(network, seconds(30)));
}

TEST_CASE("the surviving nodes agree after half of the nodes are killed at once, and all agree after these restart")
{
    datagram_network network = settledNetwork(60, {.seed = 7});
    for (std::size_t index = 1; index < 60; index += 2) {
        network.kill(index);
    }
    CHECK(agreesWithin(network, seconds(30)));
    for (std::size_t index = 1; index < 60; index += 2) {
        network.restart(index, network.nodes[index].options.self.started + 60'000);
    }
    CHECK(agreesWithin(network, seconds(20)));
}

TEST_CASE("a resumed node accepts no requests until a peer responds or 1 s passes, and raises its incarnation")
{
    datagram_network network = settledNetwork(10, {.seed = 8});
    const std::uint64_t before = network.nodes[3].state.self.incarnation;
    network.pause(3, seconds(10));
    network.run(milliseconds(9'900));
    CHECK_FALSE(isAccepting(network.nodes[3].state, network.now));
    CHECK(memberSeenBy(network, 0, 3)->mark == member_mark::Dead);
    for (auto &node : network.nodes) {
        node.island = &node == &network.nodes[3] ? 1 : 0;
    }
    network.run(milliseconds(400));
    CHECK_FALSE(isAccepting(network.nodes[3].state, network.now));
    network.run(milliseconds(900));
    CHECK(isAccepting(network.nodes[3].state, network.now));
    network.nodes[3].island = 0;
    CHECK(agreesWithin(network, seconds(10)));
    CHECK(memberSeenBy(network, 0, 3)->data.incarnation > before);
    network.pause(3, seconds(4));
    network.run(milliseconds(4'200));
    CHECK(isAccepting(network.nodes[3].state, network.now));
}

TEST_CASE("a restarted node learns the highest version of its id, even if its clock went back")
{
    datagram_network network = settledNetwork(10, {.seed = 9});
    network.setPosition(4, 77);
    network.run(seconds(2));
    network.kill(4);
    network.run(seconds(1));
    network.restart(4, 5);
    CHECK(highestSeen(network.nodes[4].state, nameOf(4)) == announced_version{});
    network.run(seconds(2));
    CHECK(highestSeen(network.nodes[4].state, nameOf(4)) == announced_version{77, 77});
    CHECK(agreesWithin(network, seconds(10)));
}

TEST_CASE("a new position reaches every member within 3 s at 20% loss")
{
    datagram_network network = settledNetwork(60, {.loss = 0.2, .maxDelay = milliseconds(5), .seed = 10});
    network.setPosition(2, 5);
    network.run(seconds(3));
    for (const auto &node : network.nodes) {
        CHECK(node.state.self.position == 5);
    }
}

TEST_CASE("nodes with equal views choose the same readers, and one reader changes when a reader drains")
{
    datagram_network network = settledNetwork(30, {.seed = 12});
    for (int task = 0; task < 200; ++task) {
        const std::string name = "duty-" + std::to_string(task);
        const auto readers = readersOf(network.nodes[0].state, name);
        REQUIRE(readers.size() == 3);
        for (const auto &node : network.nodes) {
            const bool isOne = std::ranges::find(readers, node.options.self.nodeId, &member::nodeId) != readers.end();
            REQUIRE(isReader(node.state, name) == isOne);
        }
    }
    const auto before = readersOf(network.nodes[0].state, configReaderTask);
    const std::string leaving = before[1].nodeId;
    for (std::size_t index = 0; index < network.nodes.size(); ++index) {
        if (network.nodes[index].options.self.nodeId == leaving) {
            network.drain(index);
        }
    }
    network.run(seconds(3));
    const auto after = readersOf(network.nodes[0].state, configReaderTask);
    CHECK(after[0].nodeId == before[0].nodeId);
    CHECK(after[1].nodeId == before[2].nodeId);
}

TEST_CASE("data centres exchange summaries and positions through their readers, drop them in a partition, and recover")
{
    datagram_network network({.maxDelay = milliseconds(2), .seed = 13});
    for (std::size_t index = 0; index < 15; ++index) {
        const std::string dataCentre = "be-" + std::to_string(index % 3);
        // The first node of each data centre has one of the next as its seed; no node of be-0 has a seed in be-2.
        const std::vector<std::size_t> seeds =
            index < 3 ? std::vector<std::size_t>{(index + 1) % 3} : std::vector{index % 3};
        network.add(nameOf(index), dataCentre, "orders", seeds);
        network.setState(index, member_state::Ready, {2, 0});
    }
    network.run(seconds(25));
    for (const auto &node : network.nodes) {
        const worker_view view = workerView(node.state);
        REQUIRE(view.services.contains("orders"));
        CHECK(view.services.at("orders").local.size() == 5);
        CHECK(view.services.at("orders").remote.size() == 6);
        CHECK(view.services.at("orders").remoteSpareSlots.size() == 2);
        for (const auto &[dataCentre, spare] : view.services.at("orders").remoteSpareSlots) {
            CHECK(spare == 20);
        }
    }
    network.setPosition(0, 9);
    network.run(seconds(4));
    for (const auto &node : network.nodes) {
        CHECK(node.state.self.position == 9);
    }
    for (std::size_t index = 2; index < 15; index += 3) {
        network.nodes[index].island = 1;
    }
    network.run(seconds(60));
    CHECK(workerView(network.nodes[0].state).services.at("orders").remoteSpareSlots.size() == 1);
    CHECK(workerView(network.nodes[2].state).services.at("orders").remote.empty());
    CHECK(workerView(network.nodes[2].state).services.at("orders").local.size() == 5);
    for (auto &node : network.nodes) {
        node.island = 0;
    }
    network.run(seconds(20));
    for (const auto &node : network.nodes) {
        CHECK(workerView(node.state).services.at("orders").remoteSpareSlots.size() == 2);
    }
}
