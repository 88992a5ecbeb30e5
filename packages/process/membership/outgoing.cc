#include <algorithm>

#include "connection/wire/socket.h"
#include "process/membership/step.h"

namespace pistachioquay::internal {

namespace {

constexpr std::size_t linksPerDatagram = 2;
constexpr std::size_t updateBudgetBytes = maxDatagramBytes - 300; // the rest is for the sender's state and links
constexpr milliseconds recordPullRetry{300}; // minimum wait before a refused pull is retried at another sender

} // namespace

message newMessage(const membership_state &state, message_kind kind)
{
    const member &self = state.self;
    message datagram;
    datagram.kind = kind;
    datagram.dataCentre = dataCentreTag(self.dataCentre);
    datagram.from = {selfKey(state),
                     self.started,
                     self.incarnation,
                     self.revision,
                     self.state,
                     self.slots,
                     self.position,
                     self.version,
                     self.schema,
                     self.load,
                     state.liveDigest};
    return datagram;
}

void addUpdates(step &context, message &datagram, std::uint64_t recipientKey)
{
    membership_state &state = context.state;
    std::size_t bytesLeft = updateBudgetBytes;
    const auto add = [&](const member_update &update) {
        const std::size_t bytes = maxEncodedBytes(update);
        if (bytes > bytesLeft) {
            return false;
        }
        bytesLeft -= bytes;
        datagram.updates.push_back(update);
        return true;
    };
    // A member that is marked suspect or dead must learn of it in order to refute it.
    const auto recipient = state.members.find(recipientKey);
    if (recipient != state.members.end() && recipient->second.mark != member_mark::Alive) {
        add(updateOf(recipient->second, false));
    }
    std::ranges::stable_sort(state.pending, std::ranges::greater(), &pending_update::sendsLeft);
    for (pending_update &item : state.pending) {
        const auto known = state.members.find(item.key);
        const bool isSelf = item.key == selfKey(state);
        if (!isSelf && known == state.members.end()) {
            item.sendsLeft = 0;
            continue;
        }
        if (!add(updateOf(isSelf ? ownMember(state) : known->second, item.isFull))) {
            break;
        }
        --item.sendsLeft;
    }
    std::erase_if(state.pending, [](const pending_update &item) {
        return item.sendsLeft == 0;
    });
}

void addLinks(step &context, message &datagram)
{
    const auto &links = context.state.links;
    const std::size_t count = std::min(linksPerDatagram, links.size());
    if (count == 0) {
        return;
    }
    auto next = std::next(links.begin(), static_cast<std::ptrdiff_t>((*context.generator)() % links.size()));
    for (std::size_t added = 0; added < count; ++added) {
        const auto &[name, link] = *next;
        const std::int64_t age = std::clamp<std::int64_t>(millisBetween(link.lastHeard, context.now), 0, UINT32_MAX);
        datagram.links.push_back({name, static_cast<std::uint32_t>(age), link.contacts});
        next = std::next(next) == links.end() ? links.begin() : std::next(next);
    }
}

void sendTo(step &context, const endpoint &to, const message &datagram)
{
    context.actions.sends.push_back({to, encodeBounded(datagram)});
}

void sendToKey(step &context, std::uint64_t key, message datagram)
{
    const auto found = context.state.members.find(key);
    if (found == context.state.members.end()) {
        return;
    }
    addUpdates(context, datagram, key);
    sendTo(context, found->second.data.gossip, datagram);
}

void sendToAll(step &context, message_kind kind)
{
    message datagram = newMessage(context.state, kind);
    datagram.updates.push_back(updateOf(ownMember(context.state), false));
    const std::string bytes = encodeBounded(datagram);
    for (const std::uint64_t key : liveKeys(context.state)) {
        context.actions.sends.push_back({context.state.members.at(key).data.gossip, bytes});
    }
}

void sendPing(step &context, std::uint64_t key)
{
    constexpr std::size_t maxProbes = 256;
    membership_state &state = context.state;
    message ping = newMessage(state, message_kind::Ping);
    ping.sequence = ++state.lastSequence;
    addLinks(context, ping);
    if (state.probes.size() < maxProbes) {
        state.probes.push_back({ping.sequence, key, context.now, false});
    }
    sendToKey(context, key, std::move(ping));
}

void requestList(step &context, milliseconds within)
{
    const milliseconds wait = context.generator == nullptr ? within : jitter(context, within);
    schedule &next = context.state.next;
    next.listPull = std::min(next.listPull, std::max(context.now + wait, next.earliestListPull));
}

void requestRecords(step &context, const endpoint &sync, std::uint64_t position)
{
    membership_state &state = context.state;
    if (position <= state.pulledPosition && context.now < state.next.recordPull) {
        return;
    }
    state.pulledPosition = position;
    state.next.recordPull = context.now + recordPullRetry + jitter(context, recordPullRetry);
    context.actions.pulls.push_back({pull_kind::Records, sync, position});
}

} // namespace pistachioquay::internal
