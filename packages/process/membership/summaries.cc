#include <algorithm>

#include "process/membership/step.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds minLoadInterval{500};
constexpr milliseconds loadIntervalPerMember{15}; // limits a reader to 67 reports a second
constexpr std::size_t nodesPerSummary = 3;
constexpr milliseconds minSummaryTtl{10'000};
constexpr std::size_t summariesPerDatagram = 6;
constexpr milliseconds minLinkInterval{1'000};
constexpr std::int64_t linksPerSecond = 2; // limits the traffic of a reader, at about 1 KB per link and round

std::uint32_t spareSlotsOf(const member &data)
{
    const std::uint32_t usedSlots = data.load.running + data.load.waiting;
    return data.slots > usedSlots ? data.slots - usedSlots : 0;
}

struct candidate
{
    const member *data = nullptr;
    std::uint32_t spare = 0;
};

void addNodes(service_summary &summary, std::vector<candidate> &candidates)
{
    // Workers with spare slots come first. Within each group a hash fixes the order, so that the listed workers seldom
    // change.
    std::ranges::sort(candidates, [&](const candidate &left, const candidate &right) {
        const bool leftHasSpare = left.spare > 0;
        const bool rightHasSpare = right.spare > 0;
        if (leftHasSpare != rightHasSpare) {
            return leftHasSpare;
        }
        return rendezvousWeight(memberKey(left.data->nodeId), summary.service)
            > rendezvousWeight(memberKey(right.data->nodeId), summary.service);
    });
    candidates.resize(std::min(candidates.size(), nodesPerSummary));
    for (const candidate &chosen : candidates) {
        const member &data = *chosen.data;
        summary.nodes.push_back({data.nodeId, data.started, data.peer, data.slots});
    }
}

} // namespace

milliseconds loadInterval(const membership_state &state)
{
    const auto count = static_cast<std::int64_t>(liveCount(state));
    return std::max(minLoadInterval, loadIntervalPerMember * count);
}

milliseconds linkInterval(const membership_state &state)
{
    return std::max(minLinkInterval, minLinkInterval * static_cast<std::int64_t>(state.links.size()) / linksPerSecond);
}

std::map<std::string, service_summary> ownSummaries(const membership_state &state, time_point now)
{
    const duration maxLoadAge = std::max<duration>(seconds(5), loadInterval(state) * 4);
    std::map<std::string, std::vector<candidate>> services;
    if (state.self.state == member_state::Ready) {
        services[state.self.service].push_back({&state.self, spareSlotsOf(state.self)});
    }
    for (const auto &[key, known] : state.members) {
        if (isLive(known) && known.data.state == member_state::Ready) {
            const bool isFresh = known.loadAt != time_point{} && now - known.loadAt < maxLoadAge;
            services[known.data.service].push_back({&known.data, isFresh ? spareSlotsOf(known.data) : 0});
        }
    }
    const auto datagrams = static_cast<std::int64_t>(services.size() / summariesPerDatagram + 1);
    const milliseconds ttl = minSummaryTtl + linkInterval(state) * datagrams;
    const std::uint64_t timestampMs =
        state.self.started + static_cast<std::uint64_t>(millisBetween(state.startedAt, now));
    std::map<std::string, service_summary> summaries;
    for (auto &[service, candidates] : services) {
        service_summary
            summary{state.self.dataCentre, service, timestampMs, 0, static_cast<std::uint32_t>(ttl.count()), 0, 0, {}};
        summary.readyWorkers = static_cast<std::uint32_t>(candidates.size());
        for (const candidate &ready : candidates) {
            summary.spareSlots += ready.spare;
        }
        addNodes(summary, candidates);
        summaries.emplace(service, std::move(summary));
    }
    return summaries;
}

} // namespace pistachioquay::internal
