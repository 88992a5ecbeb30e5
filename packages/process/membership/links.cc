#include <algorithm>

#include "connection/wire/socket.h"
#include "process/membership/step.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds joinDelay{500};
constexpr milliseconds floodInterval{1'000};
constexpr milliseconds slowFloodInterval{5'000}; // with many remote summaries; limits the traffic of every node
constexpr std::size_t floodFanout = 3;
constexpr std::size_t maxRemotesForFullFlood = 64; // up to this many, summaries of all services are distributed
constexpr std::size_t maxLinks = 64;
constexpr std::size_t maxRemotes = 8'192;
constexpr std::uint32_t maxSummaryTtlMs = 600'000;
constexpr std::size_t summaryBudgetBytes = 800;

bool differsNoticeably(const service_summary &before, const service_summary &after)
{
    const std::uint32_t larger = std::max(before.spareSlots, after.spareSlots);
    const std::uint32_t smaller = std::min(before.spareSlots, after.spareSlots);
    const bool isSpareChanged = larger - smaller > larger / 4;
    return isSpareChanged || before.readyWorkers != after.readyWorkers || before.nodes != after.nodes;
}

// Adds summaries to a datagram for another data centre: changed ones first, then those sent longest ago.
void addOwnSummaries(step &context, data_centre_link &link, message &datagram)
{
    struct summary_candidate
    {
        bool isUnchanged;
        time_point sentAt;
        const service_summary *summary;
    };
    const auto summaries = ownSummaries(context.state, context.now);
    std::erase_if(link.sent, [&](const auto &entry) {
        return !summaries.contains(entry.first);
    });
    std::vector<summary_candidate> candidates;
    for (const auto &[service, summary] : summaries) {
        const auto sent = link.sent.find(service);
        const bool isNew = sent == link.sent.end();
        const bool isChanged = isNew || differsNoticeably(sent->second.first, summary);
        candidates.push_back({!isChanged, isNew ? time_point{} : sent->second.second, &summary});
    }
    std::ranges::sort(candidates, {}, [](const summary_candidate &item) {
        return std::pair(item.isUnchanged, item.sentAt);
    });
    std::size_t bytesLeft = summaryBudgetBytes;
    for (const summary_candidate &next : candidates) {
        const std::size_t bytes = maxEncodedBytes(*next.summary);
        if (bytes > bytesLeft) {
            break;
        }
        bytesLeft -= bytes;
        datagram.summaries.push_back(*next.summary);
        link.sent[next.summary->service] = {*next.summary, context.now};
    }
}

bool mergeSummary(step &context, const service_summary &summary)
{
    membership_state &state = context.state;
    const bool isBounded = summary.ttlMs <= maxSummaryTtlMs && summary.ageMs < summary.ttlMs;
    if (summary.dataCentre == state.self.dataCentre || !isBounded) {
        return false;
    }
    const time_point writtenAt = context.now - milliseconds(summary.ageMs);
    const auto name = std::pair(summary.service, summary.dataCentre);
    const auto found = state.remotes.find(name);
    if (found == state.remotes.end() && state.remotes.size() >= maxRemotes) {
        ++state.counters.dropped;
        return false;
    }
    if (found != state.remotes.end()
        && (found->second.summary.timestampMs == summary.timestampMs || found->second.writtenAt >= writtenAt)) {
        return false;
    }
    remote_summary &remote = state.remotes[name];
    const std::map<std::string, time_point> before = std::move(remote.readySince);
    remote.readySince.clear();
    for (const summary_node &node : summary.nodes) {
        const auto known = before.find(node.nodeId);
        remote.readySince.emplace(node.nodeId, known == before.end() ? context.now : known->second);
    }
    const bool isChanged = remote.summary.nodes != summary.nodes || remote.summary.spareSlots != summary.spareSlots;
    remote.summary = summary;
    remote.writtenAt = writtenAt;
    context.actions.viewChanged = context.actions.viewChanged || isChanged;
    const auto link = state.links.find(summary.dataCentre);
    if (link != state.links.end()) {
        link->second.lastHeard = std::max(link->second.lastHeard, writtenAt);
    }
    return true;
}

service_summary withCurrentAge(const remote_summary &remote, time_point now)
{
    service_summary summary = remote.summary;
    summary.ageMs = static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisBetween(remote.writtenAt, now)));
    return summary;
}

void sendSummaries(step &context, const std::vector<service_summary> &summaries, std::uint64_t except)
{
    if (summaries.empty()) {
        return;
    }
    message datagram = newMessage(context.state, message_kind::Summaries);
    datagram.summaries = summaries;
    for (const std::uint64_t key : randomLive(context, floodFanout, except)) {
        sendTo(context, context.state.members.at(key).data.gossip, datagram);
    }
}

// Returns whether a newer summary has to be distributed: it differs from the one last distributed by any reader, or
// more than a third of its time to live has passed since then.
bool isFloodDue(const remote_summary &remote, time_point now)
{
    const bool isNew = remote.floodedAt < remote.writtenAt;
    const bool isOld = now - remote.floodedAt > milliseconds(remote.summary.ttlMs / 3);
    return isNew && (isOld || differsNoticeably(remote.flooded, remote.summary));
}

// Returns whether a service may soon need workers of other data centres: in the own one it has no ready worker, or at
// most a quarter of its slots spare.
bool needsRemoteCapacity(const std::map<std::string, service_summary> &own,
                         const std::map<std::string, std::uint32_t> &slots,
                         const std::string &service)
{
    const auto found = own.find(service);
    return found == own.end() || found->second.spareSlots * 4 <= slots.at(service);
}

std::map<std::string, std::uint32_t> slotsByService(const membership_state &state)
{
    std::map<std::string, std::uint32_t> slots;
    slots[state.self.service] += state.self.slots;
    for (const auto &[key, known] : state.members) {
        if (isLive(known)) {
            slots[known.data.service] += known.data.slots;
        }
    }
    return slots;
}

message linkMessage(step &context, message_kind kind)
{
    message datagram = newMessage(context.state, kind);
    datagram.entry = context.state.self;
    datagram.links.push_back(ownLink(context.state));
    return datagram;
}

} // namespace

link_record ownLink(const membership_state &state)
{
    link_record record{state.self.dataCentre, 0, {}};
    for (const member &reader : readersOf(state, configReaderTask)) {
        record.contacts.push_back(reader.gossip);
    }
    return record;
}

void mergeLink(step &context, const link_record &record)
{
    membership_state &state = context.state;
    if (record.contacts.empty() || record.contacts.size() > readerCount) {
        return;
    }
    if (record.dataCentre == state.self.dataCentre) {
        // Contacts in the own data centre are only used by a node that has found no member yet.
        if (state.liveKeys.empty() && state.members.empty()) {
            state.contacts = record.contacts;
            std::erase(state.contacts, state.self.gossip);
            state.next.join = std::min(state.next.join, context.now + joinDelay);
        }
        return;
    }
    const time_point lastHeard = context.now - milliseconds(record.ageMs);
    const auto found = state.links.find(record.dataCentre);
    if (found == state.links.end()) {
        if (state.links.size() < maxLinks) {
            state.links.emplace(record.dataCentre, data_centre_link{record.contacts, lastHeard, {}});
        }
        return;
    }
    if (lastHeard > found->second.lastHeard) {
        found->second.contacts = record.contacts;
        found->second.lastHeard = lastHeard;
    }
}

void handleLink(step &context, const endpoint &from, const message &datagram)
{
    membership_state &state = context.state;
    if (!datagram.entry || dataCentreTag(datagram.entry->dataCentre) != datagram.dataCentre) {
        return;
    }
    for (const service_summary &summary : datagram.summaries) {
        mergeSummary(context, summary);
    }
    if (datagram.from.position > state.self.position) {
        requestRecords(context, datagram.entry->sync, datagram.from.position);
    }
    if (datagram.kind == message_kind::Link) {
        message reply = linkMessage(context, message_kind::LinkReply);
        addLinks(context, reply);
        sendTo(context, from, reply);
    }
}

void handleSummaries(step &context, const message &datagram)
{
    std::vector<service_summary> newSummaries;
    for (const service_summary &summary : datagram.summaries) {
        if (mergeSummary(context, summary)) {
            remote_summary &remote = context.state.remotes.at({summary.service, summary.dataCentre});
            remote.floodedAt = context.now;
            remote.flooded = summary;
            newSummaries.push_back(summary);
        }
    }
    sendSummaries(context, newSummaries, datagram.from.key);
}

void announceToLinks(step &context)
{
    for (const auto &[name, link] : context.state.links) {
        const std::size_t chosen = (*context.generator)() % link.contacts.size();
        sendTo(context, link.contacts[chosen], linkMessage(context, message_kind::Link));
    }
}

void linkRound(step &context)
{
    membership_state &state = context.state;
    if (context.now < state.next.link) {
        return;
    }
    state.next.link = context.now + linkInterval(state) / 2 + jitter(context, linkInterval(state));
    if (state.links.empty() || !isReader(state, configReaderTask)) {
        return;
    }
    for (auto &[name, link] : state.links) {
        message datagram = linkMessage(context, message_kind::Link);
        addLinks(context, datagram);
        addOwnSummaries(context, link, datagram);
        sendTo(context, link.contacts[(*context.generator)() % link.contacts.size()], datagram);
    }
}

void floodRound(step &context)
{
    membership_state &state = context.state;
    if (context.now < state.next.flood) {
        return;
    }
    const milliseconds interval = state.remotes.size() <= maxRemotesForFullFlood ? floodInterval : slowFloodInterval;
    state.next.flood = context.now + interval / 2 + jitter(context, interval);
    if (state.remotes.empty() || !isReader(state, configReaderTask)) {
        return;
    }
    const auto own = ownSummaries(state, context.now);
    const auto slots = slotsByService(state);
    const bool isFullFlood = state.remotes.size() <= maxRemotesForFullFlood;
    std::vector<remote_summary *> due;
    for (auto &[name, remote] : state.remotes) {
        if (isFloodDue(remote, context.now) && (isFullFlood || needsRemoteCapacity(own, slots, name.first))) {
            due.push_back(&remote);
        }
    }
    std::ranges::sort(due, {}, &remote_summary::floodedAt);
    std::size_t bytesLeft = summaryBudgetBytes + summaryBudgetBytes / 4;
    std::vector<service_summary> chosen;
    for (remote_summary *remote : due) {
        const std::size_t bytes = maxEncodedBytes(remote->summary);
        if (bytes > bytesLeft) {
            break;
        }
        bytesLeft -= bytes;
        remote->floodedAt = context.now;
        remote->flooded = remote->summary;
        chosen.push_back(withCurrentAge(*remote, context.now));
    }
    sendSummaries(context, chosen, 0);
}

void expireRemotes(step &context)
{
    membership_state &state = context.state;
    const std::size_t expired = std::erase_if(state.remotes, [&](const auto &entry) {
        const remote_summary &remote = entry.second;
        const auto link = state.links.find(remote.summary.dataCentre);
        const bool isLinkExpired = link != state.links.end() && context.now - link->second.lastHeard > linkTimeout;
        return isLinkExpired || context.now - remote.writtenAt > milliseconds(remote.summary.ttlMs);
    });
    context.actions.viewChanged = context.actions.viewChanged || expired > 0;
}

} // namespace pistachioquay::internal
