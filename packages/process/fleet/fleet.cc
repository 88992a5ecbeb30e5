#include "process/fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>

namespace pistachioquay {

namespace {

constexpr unsigned silentPeerInterval = 8; // choosePeers adds a silent node about once in this many calls
constexpr std::size_t candidatesPerRecord = 4; // random records from which each unchanged one to send is chosen
constexpr std::uint32_t extraSends = 2; // datagrams with a change, in addition to log2 of the number of nodes

std::uint32_t changeSends(const fleet_state &fleet)
{
    return extraSends + static_cast<std::uint32_t>(std::ceil(std::log2(fleet.nodes.size() + 2)));
}

bool isAvailable(const node_record &record)
{
    return record.worker == worker_state::Ready && !record.isLeaving;
}

worker_entry entryOf(const known_node &node)
{
    return {node.record.nodeId,
            node.record.process,
            node.record.dataCentre,
            node.record.slots,
            node.warmUpUntil,
            static_cast<double>(node.record.linkBytesPerMs),
            node.record.workerVersion};
}

} // namespace

std::string_view stateName(worker_state state)
{
    switch (state) {
    case worker_state::Absent:
        return "absent";
    case worker_state::Ready:
        return "ready";
    case worker_state::Draining:
        return "draining";
    case worker_state::Down:
        return "down";
    }
    return "unknown";
}

bool isNewer(const node_record &left, const node_record &right)
{
    return std::tuple(left.started, left.revision) > std::tuple(right.started, right.revision);
}

bool isPlausible(const node_record &record)
{
    const auto isName = [](const std::string &name) {
        return !name.empty() && name.size() <= maxNameBytes;
    };
    const bool hasNames = isName(record.nodeId) && isName(record.dataCentre) && isName(record.service);
    const bool hasAddresses =
        record.peer.port != 0 && record.gossip.port != 0 && isName(record.peer.ip) && isName(record.gossip.ip);
    const bool hasRoutes =
        record.runMs.size() <= maxRecordRoutes && std::ranges::all_of(record.runMs, [&](const auto &route) {
            return route.first.size() <= maxNameBytes;
        });
    const bool hasDepartures = record.departures.size() <= maxDepartures
        && std::ranges::all_of(record.departures, isName, &worker_departure::workerId);
    const bool hasVersion = record.workerVersion.size() <= maxNameBytes;
    return hasNames && hasAddresses && hasVersion && isPlausible(record.evidence) && hasRoutes && hasDepartures
        && record.worker <= worker_state::Down && record.started < maxStartOrder;
}

merge_result mergeRecord(fleet_state &fleet, const node_record &record, std::uint64_t ownStarted, time_point now)
{
    merge_result merged;
    merged.isImplausible = !isPlausible(record);
    if (merged.isImplausible) {
        return merged;
    }
    if (record.nodeId == fleet.selfId) {
        merged.isOwnStartOutdated = record.started > ownStarted;
        return merged;
    }
    const auto found = fleet.nodes.find(record.nodeId);
    if (found == fleet.nodes.end() && fleet.nodes.size() >= maxNodes) {
        return merged;
    }
    if (found != fleet.nodes.end() && !isNewer(record, found->second.record)) {
        return merged;
    }
    merged.wasApplied = true;
    merged.isNew = found == fleet.nodes.end() || found->second.record.process != record.process;
    merged.hasWorkerChanged = merged.isNew || found->second.record.worker != record.worker
        || found->second.record.isLeaving != record.isLeaving || found->second.record.service != record.service
        || found->second.record.workerVersion != record.workerVersion;
    known_node &node = fleet.nodes[record.nodeId];
    if (found != fleet.nodes.end() && merged.isNew) {
        node.hasPredecessor = true;
        for (const worker_departure &departure : node.record.departures) {
            recordDeparture(node.predecessorDepartures, departure, now);
        }
    }
    node.record = record;
    node.lastHeardAt = now;
    node.warmUpUntil = now + milliseconds(record.warmUpRemainingMs);
    if (merged.hasWorkerChanged) {
        node.sendsLeft = changeSends(fleet);
    }
    return merged;
}

std::vector<node_record> chooseUpdates(fleet_state &fleet, std::size_t count, random_generator &generator)
{
    std::vector<known_node *> chosen;
    std::vector<known_node *> others;
    for (auto &[id, node] : fleet.nodes) {
        (node.sendsLeft > 0 ? chosen : others).push_back(&node);
    }
    std::ranges::shuffle(chosen, generator);
    std::ranges::shuffle(others, generator);
    // The most recently heard records are new to most other nodes; old ones mostly are not.
    const auto candidatesEnd =
        others.begin() + static_cast<std::ptrdiff_t>(std::min(others.size(), count * candidatesPerRecord));
    std::ranges::sort(others.begin(), candidatesEnd, std::ranges::greater(), &known_node::lastHeardAt);
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(chosen.size(), count));
    std::vector<node_record> records;
    for (known_node *node : chosen) {
        node->sendsLeft -= std::min<std::uint32_t>(node->sendsLeft, 1);
        records.push_back(node->record);
    }
    return records;
}

std::vector<endpoint>
choosePeers(const fleet_state &fleet, std::size_t count, time_point now, random_generator &generator)
{
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    std::vector<endpoint> silent;
    for (const auto &[id, node] : fleet.nodes) {
        const bool isNear = node.record.dataCentre == fleet.selfDataCentre;
        (isSilent(fleet, node, now) ? silent : isNear ? near : far).push_back(node.record.gossip);
    }
    const std::size_t nearCount = std::min(near.size(), far.empty() ? count : count - 1);
    std::vector<endpoint> peers;
    std::ranges::sample(near, std::back_inserter(peers), static_cast<std::ptrdiff_t>(nearCount), generator);
    std::ranges::sample(far, std::back_inserter(peers), static_cast<std::ptrdiff_t>(count - nearCount), generator);
    std::uniform_int_distribution<unsigned> draw(1, silentPeerInterval);
    if (!silent.empty() && (peers.empty() || draw(generator) == 1)) {
        std::ranges::sample(silent, std::back_inserter(peers), 1, generator);
    }
    return peers;
}

void recordNodeResponse(fleet_state &fleet, const std::string &nodeId, time_point now)
{
    if (const auto found = fleet.nodes.find(nodeId); found != fleet.nodes.end()) {
        found->second.lastHeardAt = now;
    }
}

milliseconds silenceLimit(const fleet_state &fleet)
{
    return std::max(minSilenceLimit, silenceLimitPerNode * static_cast<std::int64_t>(fleet.nodes.size()));
}

bool isSilent(const fleet_state &fleet, const known_node &node, time_point now)
{
    return now - node.lastHeardAt > silenceLimit(fleet);
}

std::vector<worker_entry> readyWorkers(const fleet_state &fleet, const std::string &service, time_point now)
{
    std::vector<worker_entry> heard;
    std::vector<worker_entry> silent;
    for (const auto &[id, node] : fleet.nodes) {
        if (node.record.service == service && isAvailable(node.record)) {
            (isSilent(fleet, node, now) ? silent : heard).push_back(entryOf(node));
        }
    }
    return heard.empty() ? silent : heard;
}

std::vector<worker_departure> departuresHeldFor(const fleet_state &fleet, const std::string &nodeId, time_point now)
{
    const auto found = fleet.nodes.find(nodeId);
    if (found == fleet.nodes.end()) {
        return {};
    }
    departure_list held = found->second.predecessorDepartures;
    removeOldDepartures(held, now);
    for (const worker_departure &departure : found->second.record.departures) {
        recordDeparture(held, departure, now);
    }
    return plainDepartures(held);
}

std::vector<std::string> removeSilentNodes(fleet_state &fleet, time_point now)
{
    const milliseconds limit = std::max<milliseconds>(minRemovalSilence, silenceLimit(fleet) * removalSilenceLimits);
    std::vector<std::string> removed;
    std::erase_if(fleet.nodes, [&](const auto &item) {
        const bool isRemovable = now - item.second.lastHeardAt > limit;
        if (isRemovable) {
            removed.push_back(item.first);
        }
        return isRemovable;
    });
    return removed;
}

} // namespace pistachioquay
