#include "process/membership/membership.h"

#include <algorithm>

#include "process/membership/step.h"

namespace pistachioquay {

using namespace internal;

namespace {

constexpr milliseconds gossipInterval{200};
constexpr milliseconds suspectPingInterval{500}; // so that a suspect learns of the suspicion and can refute it
constexpr milliseconds reportedSuspicionTime{6'000}; // the member that missed the ack decides first
constexpr milliseconds expiryInterval{100};
constexpr milliseconds tombstoneCheckInterval{60'000};
constexpr milliseconds joinRetry{500};
constexpr milliseconds maxJoinRetry{5'000};
constexpr milliseconds contactInterval{30'000};
constexpr milliseconds readerContactInterval{5'000};
constexpr milliseconds listPullInterval{600'000};
constexpr milliseconds minListPullInterval{10'000};
constexpr milliseconds digestMismatchTime{5'000}; // updates about one change reach all members in less
constexpr std::uint32_t maxDigestRetries = 7;
constexpr milliseconds deadProbeInterval{2'000};
// Used while more than a tenth of the members is dead, because a partition may have healed.
constexpr milliseconds fastDeadProbeInterval{250};
constexpr milliseconds drainRoundInterval{400};
constexpr std::uint32_t drainRoundCount = 3; // at 20% loss, 0.8% of the members miss all and learn of it by gossip
constexpr std::size_t indirectCount = 3;
constexpr std::size_t pingsAfterPause = 3;
constexpr std::size_t joinFanout = 3;

bool isDue(time_point &next, time_point now, duration interval)
{
    if (now < next) {
        return false;
    }
    next = now + interval;
    return true;
}

void resumeAfterPause(step &context)
{
    membership_state &state = context.state;
    ++state.counters.pauses;
    ++state.self.incarnation;
    state.hasPeerResponded = false;
    state.lastSequenceBeforePause = state.lastSequence;
    state.gateUntil = context.now + resumeGateTime;
    state.probes.clear();
    state.relays.clear();
    state.remotes.clear();
    for (auto &[key, known] : state.members) {
        known.markedAt = context.now;
        known.loadAt = {};
    }
    state.next.probe = context.now;
    state.next.gossip = context.now;
    state.next.listPull = std::min(state.next.listPull, std::max(context.now, state.next.earliestListPull));
    context.actions.viewChanged = true;
    enqueueSelf(context, false);
}

std::uint64_t nextProbeTarget(step &context)
{
    membership_state &state = context.state;
    if (state.probeOrder.empty()) {
        state.probeOrder = liveKeys(state);
        std::ranges::shuffle(state.probeOrder, *context.generator);
    }
    while (!state.probeOrder.empty()) {
        const std::uint64_t key = state.probeOrder.back();
        state.probeOrder.pop_back();
        const auto found = state.members.find(key);
        if (found != state.members.end() && isLive(found->second)) {
            return key;
        }
    }
    return 0;
}

void probeRound(step &context)
{
    const std::size_t count = context.state.hasPeerResponded ? 1 : pingsAfterPause;
    for (std::size_t sent = 0; sent < count; ++sent) {
        const std::uint64_t key = nextProbeTarget(context);
        if (key != 0) {
            sendPing(context, key);
        }
    }
}

void sendIndirectProbes(step &context, const probe &missed)
{
    for (const std::uint64_t helper : randomLive(context, indirectCount, missed.key)) {
        message request = newMessage(context.state, message_kind::PingRequest);
        request.sequence = missed.sequence;
        request.target = missed.key;
        sendToKey(context, helper, std::move(request));
    }
    message secondPing = newMessage(context.state, message_kind::Ping);
    secondPing.sequence = missed.sequence;
    sendToKey(context, missed.key, std::move(secondPing));
}

void suspectMember(step &context, std::uint64_t key)
{
    const auto found = context.state.members.find(key);
    if (found == context.state.members.end() || found->second.mark != member_mark::Alive || !isLive(found->second)) {
        return;
    }
    ++context.state.counters.suspicions;
    markMember(context, key, member_mark::Suspect);
    found->second.isOwnSuspicion = true;
}

void expireProbes(step &context)
{
    std::vector<probe> probes = std::move(context.state.probes);
    context.state.probes.clear();
    for (probe &waiting : probes) {
        const duration age = context.now - waiting.sentAt;
        if (age >= suspectAfter) {
            suspectMember(context, waiting.key);
            continue;
        }
        if (age >= indirectProbeDelay && !waiting.isIndirect) {
            waiting.isIndirect = true;
            sendIndirectProbes(context, waiting);
        }
        context.state.probes.push_back(waiting);
    }
}

void expireSuspicions(step &context)
{
    membership_state &state = context.state;
    std::erase_if(state.suspects, [&](std::uint64_t key) {
        const auto found = state.members.find(key);
        return found == state.members.end() || found->second.mark != member_mark::Suspect || !isLive(found->second);
    });
    std::vector<std::uint64_t> dead;
    std::vector<std::uint64_t> toPing;
    for (const std::uint64_t key : state.suspects) {
        const known_member &known = state.members.at(key);
        const duration age = context.now - known.markedAt;
        if (age >= (known.isOwnSuspicion ? suspicionTimeout : reportedSuspicionTime)) {
            dead.push_back(key);
        } else if (known.isOwnSuspicion && age % suspectPingInterval < expiryInterval) {
            toPing.push_back(key);
        }
    }
    for (const std::uint64_t key : dead) {
        ++state.counters.deaths;
        markMember(context, key, member_mark::Dead);
    }
    for (const std::uint64_t key : toPing) {
        sendPing(context, key);
    }
}

void gossipRound(step &context)
{
    if (context.state.pending.empty()) {
        return;
    }
    for (const std::uint64_t key : randomLive(context, 1)) {
        sendToKey(context, key, newMessage(context.state, message_kind::Gossip));
    }
}

// Pings a random dead member: only a response from a dead member shows that a partition has healed.
void deadProbeRound(step &context)
{
    membership_state &state = context.state;
    std::vector<std::uint64_t> dead;
    for (const auto &[key, known] : state.members) {
        if (known.mark == member_mark::Dead && known.data.state != member_state::Left) {
            dead.push_back(key);
        }
    }
    const bool isManyDead = dead.size() * 10 > state.members.size();
    state.next.deadProbe = context.now + (isManyDead ? fastDeadProbeInterval : deadProbeInterval);
    if (!dead.empty()) {
        message ping = newMessage(state, message_kind::Ping);
        ping.sequence = ++state.lastSequence;
        sendToKey(context, dead[(*context.generator)() % dead.size()], std::move(ping));
    }
}

bool isMemberAddress(const membership_state &state, const endpoint &address)
{
    return address == state.self.gossip || std::ranges::any_of(state.members, [&](const auto &entry) {
               return entry.second.data.gossip == address && isLive(entry.second);
           });
}

void joinRound(step &context)
{
    membership_state &state = context.state;
    std::vector<endpoint> candidates = state.seeds;
    candidates.insert(candidates.end(), state.contacts.begin(), state.contacts.end());
    std::erase_if(candidates, [&](const endpoint &address) {
        return isMemberAddress(state, address);
    });
    std::ranges::shuffle(candidates, *context.generator);
    const bool isAlone = liveKeys(state).empty();
    candidates.resize(std::min(candidates.size(), isAlone ? joinFanout : 1));
    for (const endpoint &address : candidates) {
        message join = newMessage(state, message_kind::Join);
        join.sequence = ++state.lastSequence;
        join.entry = state.self;
        sendTo(context, address, join);
    }
    if (isAlone) {
        state.next.join =
            context.now + joinRetry / 2 + fullJitter(joinRetry, maxJoinRetry, state.joinAttempts++, *context.generator);
    } else {
        state.joinAttempts = 0;
        const milliseconds wait = isReader(state, configReaderTask) ? readerContactInterval : contactInterval;
        state.next.join = context.now + wait / 2 + jitter(context, wait);
    }
}

void loadRound(step &context)
{
    if (context.state.links.empty() || context.state.self.state != member_state::Ready) {
        return;
    }
    message load = newMessage(context.state, message_kind::Load);
    for (const member &reader : readersOf(context.state, configReaderTask)) {
        if (reader.nodeId != context.state.self.nodeId) {
            sendTo(context, reader.gossip, load);
        }
    }
}

void listPullRound(step &context)
{
    membership_state &state = context.state;
    const bool isEarlyPull = state.earlyListPullsLeft > 0 && !state.liveKeys.empty();
    state.earlyListPullsLeft -= isEarlyPull ? 1 : 0;
    const milliseconds interval = isEarlyPull ? minListPullInterval : listPullInterval;
    state.next.listPull = context.now + interval * 3 / 4 + jitter(context, interval / 2);
    state.next.earliestListPull = context.now + (isEarlyPull ? minListPullInterval / 2 : minListPullInterval);
    for (const std::uint64_t key : randomLive(context, 1)) {
        context.actions.pulls.push_back({pull_kind::MemberList, state.members.at(key).data.sync, 0});
    }
}

// Pulls a member list if no peer has reported the same live members for a while. Then updates were dropped, as happens
// when many members join at once.
void digestRound(step &context)
{
    membership_state &state = context.state;
    const duration mismatchLimit =
        std::min<duration>(digestMismatchTime * (1U << state.digestRetries), listPullInterval);
    if (context.now - state.lastDigestMatch < mismatchLimit || liveKeys(state).empty()) {
        return;
    }
    state.lastDigestMatch = context.now;
    state.digestRetries = std::min(state.digestRetries + 1, maxDigestRetries);
    requestList(context, digestMismatchTime);
}

void drainRound(step &context)
{
    if (context.state.drainRounds > 0) {
        --context.state.drainRounds;
        sendToAll(context, message_kind::Gossip);
    }
}

void announce(step &context)
{
    for (const std::uint64_t key : randomLive(context, announceFanout)) {
        sendToKey(context, key, newMessage(context.state, message_kind::Announce));
    }
    if (isReader(context.state, configReaderTask)) {
        announceToLinks(context);
    }
}

} // namespace

namespace internal {

step beginStep(membership_state &state, time_point now, random_generator *generator)
{
    step context{state, now, generator, {}};
    const bool isPaused = now - state.lastEvent > pauseThreshold;
    state.lastEvent = now;
    if (isPaused) {
        resumeAfterPause(context);
    }
    liveKeys(state);
    return context;
}

} // namespace internal

membership_actions startMembership(membership_state &state, const membership_options &options, time_point now)
{
    state = membership_state{};
    state.self = options.self;
    state.self.incarnation = options.self.started;
    state.seeds = options.seeds;
    std::erase(state.seeds, state.self.gossip);
    raiseTo(state.ownHighest, {state.self.position, state.self.version});
    state.startedAt = now;
    state.lastEvent = now;
    state.lastDigestMatch = now;
    state.next.listPull = now + listPullInterval;
    step context{state, now, nullptr, {}};
    enqueueSelf(context, true);
    context.actions.viewChanged = true;
    return context.actions;
}

membership_actions onTick(membership_state &state, time_point now, random_generator &generator)
{
    step context = beginStep(state, now, &generator);
    internal::schedule &next = state.next;
    expireProbes(context);
    if (isDue(next.expiry, now, expiryInterval)) {
        expireSuspicions(context);
        expireRemotes(context);
    }
    if (isDue(next.probe, now, probeInterval - milliseconds(50) + jitter(context, milliseconds(100)))) {
        probeRound(context);
        digestRound(context);
    }
    if (isDue(next.forget, now, tombstoneCheckInterval)) {
        removeOldTombstones(context);
    }
    if (isDue(next.gossip, now, gossipInterval)) {
        gossipRound(context);
    }
    if (now >= next.join) {
        joinRound(context);
    }
    if (now >= next.deadProbe) {
        deadProbeRound(context);
    }
    if (now >= next.listPull) {
        listPullRound(context);
    }
    if (isDue(next.drain, now, drainRoundInterval)) {
        drainRound(context);
    }
    if (isDue(next.load, now, loadInterval(state) / 2 + jitter(context, loadInterval(state)))) {
        loadRound(context);
    }
    linkRound(context);
    floodRound(context);
    return context.actions;
}

membership_actions onMemberList(membership_state &state, const member_list &list, time_point now)
{
    // Entries of longer lists are known to most members already, or reach them by their own pulls.
    constexpr std::size_t maxForwardedEntries = 32;
    step context = beginStep(state, now);
    const bool isForwarded = list.entries.size() <= maxForwardedEntries;
    for (const member_update &update : list.entries) {
        if (update.full && isWellFormed(update)) {
            applyUpdate(context, update, isForwarded);
        }
    }
    for (const auto &[key, seen] : list.highest) {
        const auto found = state.members.find(key);
        if (found != state.members.end()) {
            raiseTo(found->second.highest, seen);
        } else if (key == selfKey(state)) {
            raiseTo(state.ownHighest, seen);
        }
    }
    for (const link_record &link : list.links) {
        mergeLink(context, link);
    }
    return context.actions;
}

membership_actions setLocal(membership_state &state,
                            std::uint64_t version,
                            std::uint64_t position,
                            member_state worker,
                            const worker_load &load,
                            time_point now,
                            random_generator &generator)
{
    step context = beginStep(state, now, &generator);
    member &self = state.self;
    const bool isAdvanced = position > self.position;
    self.position = std::max(self.position, position);
    self.version = std::max(self.version, version);
    self.load = load;
    raiseTo(state.ownHighest, {self.position, self.version});
    if (self.state < member_state::Draining && worker < member_state::Draining && worker != self.state) {
        state.readySince = now;
        self.state = worker;
        ++self.revision;
        enqueueSelf(context, false);
        context.actions.viewChanged = true;
    }
    if (isAdvanced) {
        announce(context);
    }
    return context.actions;
}

membership_actions onRendezvous(membership_state &state, const std::vector<endpoint> &endpoints, time_point now)
{
    constexpr std::size_t maxContacts = 64;
    step context = beginStep(state, now);
    for (const endpoint &address : endpoints) {
        std::erase(state.contacts, address);
        state.contacts.insert(state.contacts.begin(), address);
    }
    state.contacts.resize(std::min(state.contacts.size(), maxContacts));
    if (liveKeys(state).empty()) {
        state.next.join = now;
    }
    return context.actions;
}

membership_actions beginDrain(membership_state &state, time_point now)
{
    step context = beginStep(state, now);
    if (state.self.state < member_state::Draining) {
        state.self.state = member_state::Draining;
        ++state.self.revision;
        enqueueSelf(context, false);
        context.actions.viewChanged = true;
        state.drainRounds = drainRoundCount;
        drainRound(context);
        state.next.drain = now + drainRoundInterval;
    }
    return context.actions;
}

membership_actions leave(membership_state &state, time_point now)
{
    step context = beginStep(state, now);
    if (state.self.state != member_state::Left) {
        state.self.state = member_state::Left;
        ++state.self.revision;
        context.actions.viewChanged = true;
        sendToAll(context, message_kind::Gossip);
    }
    return context.actions;
}

} // namespace pistachioquay
