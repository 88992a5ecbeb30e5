#include <algorithm>

#include "connection/wire/socket.h"
#include "process/membership/step.h"

namespace pistachioquay {

using namespace internal;

namespace {

constexpr std::size_t maxRelays = 256;
constexpr milliseconds joinListDelay{3'000}; // many nodes may join at once, and the first list lacks the later ones

// Adds the stored state if its incarnation is higher than the sender's, as after a restart with a clock that went back,
// so that the sender can raise its own. Suspect and dead marks are added by addUpdates and handleJoin.
void addCorrection(step &context, const message &received, message &reply)
{
    const auto found = context.state.members.find(received.from.key);
    if (found == context.state.members.end()) {
        return;
    }
    const known_member &known = found->second;
    const bool isBehind = known.data.incarnation > received.from.incarnation;
    if (isBehind && known.mark == member_mark::Alive) {
        reply.updates.push_back(updateOf(known, false));
    }
}

void handlePing(step &context, const endpoint &from, const message &ping)
{
    message ack = newMessage(context.state, message_kind::Ack);
    ack.sequence = ping.sequence;
    ack.wantsEntry = !context.state.members.contains(ping.from.key);
    addCorrection(context, ping, ack);
    addLinks(context, ack);
    addUpdates(context, ack, ping.from.key);
    sendTo(context, from, ack);
}

void handlePingRequest(step &context, const endpoint &from, const message &request)
{
    membership_state &state = context.state;
    if (!state.members.contains(request.target)) {
        return;
    }
    if (state.relays.size() >= maxRelays) {
        state.relays.erase(state.relays.begin());
    }
    message ping = newMessage(state, message_kind::Ping);
    ping.sequence = ++state.lastSequence;
    state.relays.push_back({ping.sequence, request.target, from, request.sequence});
    sendToKey(context, request.target, std::move(ping));
}

void recordPeerResponse(step &context, std::uint64_t sequence)
{
    membership_state &state = context.state;
    if (sequence <= state.lastSequenceBeforePause || sequence > state.lastSequence) {
        return;
    }
    if (state.firstResponseAt == time_point{}) {
        state.firstResponseAt = context.now;
    }
    state.hasPeerResponded = true;
}

void handleAck(step &context, const endpoint &from, const message &ack)
{
    membership_state &state = context.state;
    const std::uint64_t responder = ack.target != 0 ? ack.target : ack.from.key;
    recordPeerResponse(context, ack.sequence);
    std::erase_if(state.probes, [&](const probe &waiting) {
        return waiting.sequence == ack.sequence && waiting.key == responder;
    });
    const auto relayed = std::ranges::find_if(state.relays, [&](const relay &waiting) {
        return waiting.sequence == ack.sequence && waiting.target == responder;
    });
    if (relayed != state.relays.end()) {
        message reply = newMessage(state, message_kind::Ack);
        reply.sequence = relayed->originSequence;
        reply.target = responder;
        sendTo(context, relayed->origin, reply);
        state.relays.erase(relayed);
    }
    if (ack.wantsEntry) {
        message gossip = newMessage(state, message_kind::Gossip);
        gossip.entry = state.self;
        sendTo(context, from, gossip);
    }
}

void addRandomEntries(step &context, message &reply)
{
    constexpr std::size_t entriesPerReply = 8;
    std::size_t bytesLeft = maxDatagramBytes / 2;
    for (const std::uint64_t key : randomLive(context, entriesPerReply, reply.target)) {
        const member_update update = updateOf(context.state.members.at(key), true);
        const std::size_t bytes = maxEncodedBytes(update);
        if (bytes > bytesLeft) {
            break;
        }
        bytesLeft -= bytes;
        reply.updates.push_back(update);
    }
}

void handleJoin(step &context, const endpoint &from, const message &join, bool isOwnDataCentre)
{
    message reply = newMessage(context.state, message_kind::JoinReply);
    reply.sequence = join.sequence;
    reply.entry = context.state.self;
    if (isOwnDataCentre) {
        reply.highest = internal::highestAnnouncedBy(context.state, join.from.key);
        addCorrection(context, join, reply);
        const auto known = context.state.members.find(join.from.key);
        if (known != context.state.members.end() && known->second.mark != member_mark::Alive) {
            reply.updates.push_back(updateOf(known->second, false));
        }
        addRandomEntries(context, reply);
    } else {
        reply.links.push_back(ownLink(context.state));
    }
    addLinks(context, reply);
    sendTo(context, from, reply);
}

void handleJoinReply(step &context, const message &reply, bool isOwnDataCentre)
{
    if (!isOwnDataCentre || !reply.entry) {
        return;
    }
    recordPeerResponse(context, reply.sequence);
    raiseTo(context.state.ownHighest, reply.highest);
    schedule &next = context.state.next;
    if (context.now >= next.earliestListPull) {
        next.earliestListPull = context.now + joinListDelay;
        requestList(context, joinListDelay);
        context.actions.pulls.push_back({pull_kind::MemberList, reply.entry->sync, 0});
    }
}

// Sends the sender its suspect or dead mark, so that it learns of the mark from every member that it sends to. Replies
// to Ping and Join carry the mark anyway.
void correctSender(step &context, const endpoint &from, const message &received)
{
    const auto found = context.state.members.find(received.from.key);
    const bool isCorrectedByReply = received.kind == message_kind::Ping || received.kind == message_kind::Join;
    if (found == context.state.members.end() || isCorrectedByReply) {
        return;
    }
    const known_member &known = found->second;
    if (known.mark == member_mark::Alive || known.data.incarnation != received.from.incarnation) {
        return;
    }
    message correction = newMessage(context.state, message_kind::Gossip);
    correction.updates.push_back(updateOf(known, false));
    sendTo(context, from, correction);
}

void handleLocal(step &context, const endpoint &from, const message &received)
{
    context.state.lastHeard = context.now;
    if (received.from.digest == context.state.liveDigest) {
        context.state.lastDigestMatch = context.now;
        context.state.digestRetries = 0;
    }
    applySender(context, received);
    for (const member_update &update : received.updates) {
        applyUpdate(context, update, true);
    }
    switch (received.kind) {
    case message_kind::Ping:
        handlePing(context, from, received);
        break;
    case message_kind::Ack:
        handleAck(context, from, received);
        break;
    case message_kind::PingRequest:
        handlePingRequest(context, from, received);
        break;
    case message_kind::Join:
        handleJoin(context, from, received, true);
        break;
    case message_kind::JoinReply:
        handleJoinReply(context, received, true);
        break;
    case message_kind::Summaries:
        handleSummaries(context, received);
        break;
    default:
        break;
    }
    correctSender(context, from, received);
}

void handleRemote(step &context, const endpoint &from, const message &received)
{
    switch (received.kind) {
    case message_kind::Join:
        handleJoin(context, from, received, false);
        break;
    case message_kind::Link:
    case message_kind::LinkReply:
        handleLink(context, from, received);
        break;
    default:
        break;
    }
}

} // namespace

membership_actions onDatagram(
    membership_state &state, const endpoint &from, std::string_view bytes, time_point now, random_generator &generator)
{
    step context = beginStep(state, now, &generator);
    const result<message> read = decodeDatagram(bytes, state.malformed);
    if (!read || read->from.key == selfKey(state)) {
        return context.actions;
    }
    for (const link_record &link : read->links) {
        mergeLink(context, link);
    }
    if (read->dataCentre == dataCentreTag(state.self.dataCentre)) {
        handleLocal(context, from, *read);
    } else {
        handleRemote(context, from, *read);
    }
    return context.actions;
}

} // namespace pistachioquay
