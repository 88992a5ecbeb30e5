#include <algorithm>

#include "process/membership/step.h"

namespace pistachioquay {

using namespace internal;

namespace {

bool isCandidate(const known_member &known)
{
    return isLive(known) && known.data.state < member_state::Draining;
}

worker toWorker(const known_member &known)
{
    const member &data = known.data;
    return {data.nodeId, data.started, data.dataCentre, data.service, data.peer, data.slots, known.readySince};
}

void addRemote(service_workers &workers, const remote_summary &remote)
{
    const service_summary &summary = remote.summary;
    for (const summary_node &node : summary.nodes) {
        workers.remote.push_back({node.nodeId,
                                  node.started,
                                  summary.dataCentre,
                                  summary.service,
                                  node.peer,
                                  node.slots,
                                  remote.readySince.at(node.nodeId)});
    }
    workers.remoteSpareSlots[summary.dataCentre] = summary.spareSlots;
}

} // namespace

namespace internal {

announced_version highestAnnouncedBy(const membership_state &state, std::uint64_t key)
{
    const auto found = state.members.find(key);
    return found == state.members.end() ? announced_version{} : found->second.highest;
}

} // namespace internal

member_list memberList(const membership_state &state, time_point now)
{
    member_list list;
    list.entries.push_back(updateOf(ownMember(state), true));
    for (const auto &[key, known] : state.members) {
        list.entries.push_back(updateOf(known, true));
        list.highest.emplace(key, known.highest);
    }
    for (const auto &[name, link] : state.links) {
        const std::int64_t age = std::clamp<std::int64_t>(millisBetween(link.lastHeard, now), 0, UINT32_MAX);
        list.links.push_back({name, static_cast<std::uint32_t>(age), link.contacts});
    }
    return list;
}

std::vector<member> liveMembers(const membership_state &state)
{
    std::vector<member> live{state.self};
    for (const auto &[key, known] : state.members) {
        if (isLive(known)) {
            live.push_back(known.data);
        }
    }
    std::ranges::sort(live, {}, &member::nodeId);
    return live;
}

std::vector<member> readersOf(const membership_state &state, std::string_view task)
{
    std::vector<std::pair<std::uint64_t, const member *>> ranked;
    if (state.self.state < member_state::Draining) {
        ranked.emplace_back(rendezvousWeight(selfKey(state), task), &state.self);
    }
    for (const auto &[key, known] : state.members) {
        if (isCandidate(known)) {
            ranked.emplace_back(rendezvousWeight(key, task), &known.data);
        }
    }
    const std::size_t count = std::min(readerCount, ranked.size());
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranked, middle, std::ranges::greater(), [](const auto &entry) {
        return entry.first;
    });
    std::vector<member> readers;
    std::ranges::transform(ranked.begin(), middle, std::back_inserter(readers), [](const auto &entry) {
        return *entry.second;
    });
    return readers;
}

bool isReader(const membership_state &state, std::string_view task)
{
    if (state.self.state >= member_state::Draining) {
        return false;
    }
    const std::uint64_t own = rendezvousWeight(selfKey(state), task);
    const auto ahead = std::ranges::count_if(state.members, [&](const auto &entry) {
        return isCandidate(entry.second) && rendezvousWeight(entry.first, task) > own;
    });
    return static_cast<std::size_t>(ahead) < readerCount;
}

worker_view workerView(const membership_state &state)
{
    worker_view view;
    if (state.self.state == member_state::Ready) {
        known_member own = ownMember(state);
        own.readySince = state.readySince;
        view.services[state.self.service].local.push_back(toWorker(own));
    }
    for (const auto &[key, known] : state.members) {
        if (isLive(known) && known.data.state == member_state::Ready) {
            view.services[known.data.service].local.push_back(toWorker(known));
        }
    }
    for (auto &[service, workers] : view.services) {
        std::ranges::sort(workers.local, {}, &worker::nodeId);
    }
    for (const auto &[name, remote] : state.remotes) {
        addRemote(view.services[name.first], remote);
    }
    return view;
}

bool isAccepting(const membership_state &state, time_point now)
{
    const bool isPaused = now - state.lastEvent > pauseThreshold;
    const bool isGated = !state.hasPeerResponded && now < state.gateUntil;
    return !isPaused && !isGated && state.self.state < member_state::Draining;
}

announced_version highestSeen(const membership_state &state, std::string_view nodeId)
{
    const std::uint64_t key = memberKey(nodeId);
    return key == selfKey(state) ? state.ownHighest : highestAnnouncedBy(state, key);
}

announced_version highestAnnounced(const membership_state &state)
{
    announced_version highest = state.ownHighest;
    for (const auto &[key, known] : state.members) {
        raiseTo(highest, known.highest);
    }
    return highest;
}

} // namespace pistachioquay
