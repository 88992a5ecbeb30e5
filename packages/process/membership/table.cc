#include <algorithm>
#include <bit>
#include <functional>
#include <numeric>

#include "base/hash.h"
#include "process/membership/step.h"

namespace pistachioquay::internal {

namespace {

constexpr std::uint32_t sendsPerLog = 3;
constexpr std::uint32_t minSends = 6;
constexpr seconds tombstoneTime{24 * 3'600}; // longer than any update about a dead member can be delayed
constexpr milliseconds unknownMemberListDelay{5'000};
constexpr std::size_t backlogThreshold = 64; // sending more updates takes longer than pulling a list
constexpr milliseconds healListDelay{5'000};

bool isReadyNow(const known_member &known)
{
    return isLive(known) && known.data.state == member_state::Ready;
}

// The fields of a known member that are compared before and after an update.
struct compared_fields
{
    member_mark mark = member_mark::Alive;
    std::uint64_t incarnation = 0;
    std::uint64_t started = 0;
    std::uint64_t dataStarted = 0;
    bool isReady = false;
};

compared_fields comparedFieldsOf(const known_member &known)
{
    return {known.mark, known.data.incarnation, known.data.started, known.dataStarted, isReadyNow(known)};
}

void refute(step &context, const member_update &update)
{
    member &self = context.state.self;
    // A node that has left refutes only updates that say it has not.
    if (self.state == member_state::Left && (update.state == member_state::Left || update.mark == member_mark::Dead)) {
        return;
    }
    // If an earlier process had a clock ahead of this one, its later start time must not make this process look older.
    const bool isNewProcess = update.started > self.started;
    self.started = isNewProcess ? update.started + 1 : self.started;
    self.incarnation = std::max(self.incarnation, update.incarnation) + 1;
    ++context.state.counters.refutations;
    enqueueSelf(context, isNewProcess);
    context.state.next.gossip = context.now;
}

std::uint32_t digestOf(const membership_state &state)
{
    const std::uint64_t all =
        std::accumulate(state.liveKeys.begin(), state.liveKeys.end(), selfKey(state), std::bit_xor<>());
    return static_cast<std::uint32_t>(all);
}

bool needsRefutation(const member &self, const member_update &update)
{
    if (update.incarnation != self.incarnation) {
        return update.incarnation > self.incarnation;
    }
    return update.mark != member_mark::Alive || update.revision > self.revision || update.started > self.started;
}

// Ensures that one more member can be added: if the table is full, removes the dead or left member with the oldest
// update. Returns false if all members are live.
bool ensureCapacity(membership_state &state)
{
    if (state.members.size() < maxMembers) {
        return true;
    }
    auto oldest = state.members.end();
    for (auto entry = state.members.begin(); entry != state.members.end(); ++entry) {
        const bool isOlder = oldest == state.members.end() || entry->second.lastUpdateAt < oldest->second.lastUpdateAt;
        if (!isLive(entry->second) && isOlder) {
            oldest = entry;
        }
    }
    if (oldest == state.members.end()) {
        return false;
    }
    state.members.erase(oldest);
    return true;
}

known_member *addMember(step &context, const member_update &update)
{
    if (!update.full) {
        requestList(context, unknownMemberListDelay);
        return nullptr;
    }
    if (update.full->dataCentre != context.state.self.dataCentre || !ensureCapacity(context.state)) {
        ++context.state.counters.dropped;
        return nullptr;
    }
    known_member known;
    known.data = *update.full;
    known.data.started = update.started;
    known.data.incarnation = update.incarnation;
    known.data.revision = update.revision;
    known.data.state = update.state;
    known.data.slots = update.slots;
    known.dataStarted = update.full->started;
    known.mark = update.mark;
    known.markedAt = context.now;
    known.highest = {update.full->position, update.full->version};
    return &context.state.members.emplace(update.key, std::move(known)).first->second;
}

} // namespace

std::uint64_t selfKey(const membership_state &state)
{
    return memberKey(state.self.nodeId);
}

known_member ownMember(const membership_state &state)
{
    known_member own;
    own.data = state.self;
    own.dataStarted = state.self.started;
    own.highest = state.ownHighest;
    return own;
}

std::size_t liveCount(const membership_state &state)
{
    return state.liveKeys.size() + 1;
}

void enqueue(step &context, std::uint64_t key, bool isFull)
{
    std::vector<pending_update> &pending = context.state.pending;
    const auto logOfLiveCount = static_cast<std::uint32_t>(std::bit_width(liveCount(context.state)));
    const bool isBacklogged = pending.size() > backlogThreshold;
    const std::uint32_t sends = isBacklogged ? minSends : std::max(minSends, sendsPerLog * logOfLiveCount);
    const auto found = std::ranges::find(pending, key, &pending_update::key);
    if (found != pending.end()) {
        isFull = isFull || found->isFull;
        pending.erase(found);
    }
    if (pending.size() >= maxPendingUpdates) {
        pending.erase(std::ranges::min_element(pending, {}, &pending_update::sendsLeft));
        ++context.state.counters.dropped;
    }
    pending.push_back({key, sends, isFull});
    if (pending.size() > backlogThreshold) {
        requestList(context, unknownMemberListDelay);
    }
}

void enqueueSelf(step &context, bool isFull)
{
    enqueue(context, selfKey(context.state), isFull);
}

void applyUpdate(step &context, const member_update &update, bool isForwarded)
{
    membership_state &state = context.state;
    if (update.key == selfKey(state)) {
        if (needsRefutation(state.self, update)) {
            refute(context, update);
        }
        return;
    }
    const auto found = state.members.find(update.key);
    const bool isKnown = found != state.members.end();
    known_member *known = isKnown ? &found->second : addMember(context, update);
    if (known == nullptr) {
        return;
    }
    const compared_fields before = isKnown ? comparedFieldsOf(*known) : compared_fields{};
    const bool isChanged = mergeUpdate(*known, update) || !isKnown;
    if (update.full) {
        raiseTo(known->highest, {update.full->position, update.full->version});
    }
    if (!isChanged) {
        return;
    }
    known->lastUpdateAt = context.now;
    if (before.mark != known->mark || before.incarnation != known->data.incarnation) {
        known->markedAt = context.now;
        known->isOwnSuspicion = false;
        if (known->mark == member_mark::Suspect
            && std::ranges::find(state.suspects, update.key) == state.suspects.end()) {
            state.suspects.push_back(update.key);
        }
    }
    const bool isNewProcess = before.started != known->data.started;
    if (isReadyNow(*known) && (isNewProcess || !before.isReady)) {
        known->readySince = context.now;
    }
    if (isKnown && before.mark == member_mark::Dead && isLive(*known)) {
        requestList(context, healListDelay);
    }
    state.isLiveDirty = true;
    context.actions.viewChanged = true;
    if (isForwarded) {
        enqueue(context, update.key, !isKnown || before.dataStarted != known->dataStarted);
    }
}

void applySender(step &context, const message &datagram)
{
    const sender_info &from = datagram.from;
    member_update update{from.key,
                         from.started,
                         from.incarnation,
                         from.revision,
                         member_mark::Alive,
                         from.state,
                         from.slots,
                         datagram.entry};
    const auto before = context.state.members.find(from.key);
    if (before != context.state.members.end() || update.full) {
        applyUpdate(context, update, true);
    }
    const auto found = context.state.members.find(from.key);
    if (found == context.state.members.end()) {
        return;
    }
    known_member &known = found->second;
    raiseTo(known.highest, {from.position, from.version});
    known.lastUpdateAt = context.now;
    if (known.data.started == from.started) {
        known.data.position = std::max(known.data.position, from.position);
        known.data.version = std::max(known.data.version, from.version);
        known.data.schema = from.schema;
        known.data.load = from.load;
        known.loadAt = context.now;
    }
    if (from.position > context.state.self.position && isLive(known)) {
        requestRecords(context, known.data.sync, from.position);
    }
}

void markMember(step &context, std::uint64_t key, member_mark mark)
{
    const auto found = context.state.members.find(key);
    if (found == context.state.members.end()) {
        return;
    }
    member_update update = updateOf(found->second, false);
    update.mark = mark;
    applyUpdate(context, update, true);
}

void removeOldTombstones(step &context)
{
    std::erase_if(context.state.members, [&](const auto &entry) {
        return !isLive(entry.second) && entry.second.lastUpdateAt + tombstoneTime < context.now;
    });
}

const std::vector<std::uint64_t> &liveKeys(membership_state &state)
{
    if (state.isLiveDirty) {
        state.isLiveDirty = false;
        state.liveKeys.clear();
        for (const auto &[key, known] : state.members) {
            if (isLive(known)) {
                state.liveKeys.push_back(key);
            }
        }
        std::ranges::sort(state.liveKeys);
        state.liveDigest = digestOf(state);
    }
    return state.liveKeys;
}

std::vector<std::uint64_t> randomLive(step &context, std::size_t count, std::uint64_t except)
{
    constexpr std::size_t triesPerPick = 4;
    const std::vector<std::uint64_t> &keys = liveKeys(context.state);
    std::vector<std::uint64_t> picked;
    for (std::size_t tries = count * triesPerPick; tries > 0 && picked.size() < count && !keys.empty(); --tries) {
        const std::uint64_t key = keys[(*context.generator)() % keys.size()];
        if (key != except && std::ranges::find(picked, key) == picked.end()) {
            picked.push_back(key);
        }
    }
    return picked;
}

milliseconds jitter(step &context, milliseconds upTo)
{
    return milliseconds((*context.generator)() % static_cast<std::uint64_t>(upTo.count() + 1));
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view task)
{
    // Finalizer of splitmix64: every bit of the key and of the task's hash changes about half of the result's bits.
    std::uint64_t mixed = key ^ hash64(task);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58'476d'1ce4'e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d0'49bb'1331'11ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace pistachioquay::internal
