#include "request/once/once.h"

#include <algorithm>

namespace pistachioquay {

using internal::claim_phase;
using internal::own_claim;

namespace {

constexpr milliseconds ownMemory{2 * keyMemoryMs}; // longer than any copy of a claim can be on its way to the log

own_claim *ownOf(at_most_once_state &state, const hash128 &claim)
{
    const auto found = state.own.find(claim);
    return found == state.own.end() ? nullptr : &found->second;
}

bool isTooLate(const own_claim &own, time_point now)
{
    return now >= own.deadline || now - own.arrivedAt >= maxClaimWait;
}

bool holdsKey(const at_most_once_state &state, const hash128 &key, const hash128 &claim)
{
    const claim_entry *winner = findClaim(state.index, key);
    return winner != nullptr && winner->claim == claim;
}

// A full queue drops the void: the key then stays claimed until it is forgotten, which is safe.
void sendVoid(at_most_once_state &state, const hash128 &key, const hash128 &claim)
{
    enqueueClaim(state.queue, {claim_kind::Void, key, claim});
}

key_outcome outcomeOfOwn(const own_claim &own)
{
    switch (own.phase) {
    case claim_phase::Running:
        return key_outcome::Running;
    case claim_phase::Ran:
        return key_outcome::Ran;
    case claim_phase::Waiting:
    case claim_phase::Won:
    case claim_phase::Abandoned:
        break;
    }
    return key_outcome::Unknown;
}

key_outcome outcomeOfHeld(const at_most_once_state &state, const hash128 &claim)
{
    const auto found = state.own.find(claim);
    return found == state.own.end() ? key_outcome::Unknown : outcomeOfOwn(found->second);
}

void settleWaiting(at_most_once_state &state,
                   const hash128 &claim,
                   time_point now,
                   std::vector<claim_decision> &actions)
{
    own_claim &own = state.own.at(claim);
    state.waiting.erase(own.key);
    const claim_entry *winner = findClaim(state.index, own.key);
    if (winner == nullptr || winner->claim != claim) {
        const key_outcome outcome = winner == nullptr ? key_outcome::Unknown : outcomeOfHeld(state, winner->claim);
        own.phase = claim_phase::Abandoned;
        actions.push_back({claim_action::Respond, claim, outcome});
        return;
    }
    own.phase = claim_phase::Won;
    if (isTooLate(own, now)) {
        actions.push_back({claim_action::Respond, claim, abandonRun(state, claim)});
    } else {
        actions.push_back({claim_action::Run, claim, key_outcome::NotRun});
    }
}

void settle(at_most_once_state &state, const claim_record &record, time_point now, std::vector<claim_decision> &actions)
{
    const own_claim *own = ownOf(state, record.claim);
    if (own == nullptr || record.kind != claim_kind::Claim) {
        return;
    }
    if (own->phase == claim_phase::Waiting) {
        settleWaiting(state, record.claim, now, actions);
    } else if (own->phase == claim_phase::Abandoned && holdsKey(state, record.key, record.claim)) {
        sendVoid(state, record.key, record.claim);
    }
}

} // namespace

claim_decision
beginClaim(at_most_once_state &state, const hash128 &key, const hash128 &claim, time_point deadline, time_point now)
{
    const claim_entry *winner = findClaim(state.index, key);
    if (winner != nullptr) {
        return {claim_action::Respond, claim, outcomeOfHeld(state, winner->claim)};
    }
    const bool isFull = state.own.size() >= maxOwnClaims || state.index.winners.size() >= maxKeys;
    if (isFull || state.waiting.contains(key) || !enqueueClaim(state.queue, {claim_kind::Claim, key, claim})) {
        return {claim_action::Respond, claim, key_outcome::Unknown};
    }
    state.waiting[key] = claim;
    state.own[claim] = {key, claim_phase::Waiting, now, deadline};
    return {claim_action::Wait, claim, key_outcome::Unknown};
}

bool applyRecord(at_most_once_state &state,
                 std::int64_t offset,
                 std::int64_t timeMs,
                 std::span<const claim_record> records,
                 time_point now,
                 std::vector<claim_decision> &actions)
{
    const bool isNew = offset == state.index.position;
    if (!applyClaims(state.index, offset, timeMs, records)) {
        return false;
    }
    if (isNew) {
        for (const claim_record &record : records) {
            settle(state, record, now, actions);
        }
    }
    return true;
}

void restartReplay(at_most_once_state &state, std::int64_t first)
{
    restartClaims(state.index, first);
    state.currentAsOf = time_point();
}

void recordCaughtUp(at_most_once_state &state, time_point readStartedAt)
{
    state.currentAsOf = std::max(state.currentAsOf, readStartedAt);
}

bool startRun(at_most_once_state &state, const hash128 &claim, time_point now)
{
    own_claim *own = ownOf(state, claim);
    if (own == nullptr || own->phase != claim_phase::Won || isTooLate(*own, now)) {
        return false;
    }
    own->phase = claim_phase::Running;
    return true;
}

void endRun(at_most_once_state &state, const hash128 &claim)
{
    own_claim *own = ownOf(state, claim);
    if (own != nullptr && own->phase == claim_phase::Running) {
        own->phase = claim_phase::Ran;
    }
}

key_outcome abandonRun(at_most_once_state &state, const hash128 &claim)
{
    own_claim *own = ownOf(state, claim);
    if (own == nullptr) {
        return key_outcome::Unknown;
    }
    switch (own->phase) {
    case claim_phase::Waiting: {
        own->phase = claim_phase::Abandoned;
        state.waiting.erase(own->key);
        const key_outcome outcome = outcomeFor(state, own->key, own->arrivedAt);
        if (withdrawClaim(state.queue, claim)) {
            state.own.erase(claim);
        }
        return outcome;
    }
    case claim_phase::Won:
        own->phase = claim_phase::Abandoned;
        sendVoid(state, own->key, claim);
        return key_outcome::NotRun;
    case claim_phase::Running:
    case claim_phase::Ran:
    case claim_phase::Abandoned:
        break;
    }
    return outcomeOfOwn(*own);
}

key_outcome abandonUnsentRun(at_most_once_state &state, const hash128 &claim)
{
    own_claim *own = ownOf(state, claim);
    if (own != nullptr && own->phase == claim_phase::Running) {
        own->phase = claim_phase::Won;
    }
    return abandonRun(state, claim);
}

key_outcome outcomeFor(const at_most_once_state &state, const hash128 &key, time_point arrivedAt)
{
    const claim_entry *winner = findClaim(state.index, key);
    if (winner != nullptr) {
        return outcomeOfHeld(state, winner->claim);
    }
    const bool isCurrent = state.currentAsOf != time_point() && state.currentAsOf >= arrivedAt;
    return isCurrent && !state.waiting.contains(key) ? key_outcome::NotRun : key_outcome::Unknown;
}

void forgetOld(at_most_once_state &state, time_point now)
{
    std::erase_if(state.own, [&](const auto &each) {
        const own_claim &own = each.second;
        const bool isSettled = own.phase == claim_phase::Ran || own.phase == claim_phase::Abandoned;
        return isSettled && now - own.arrivedAt > ownMemory;
    });
}

} // namespace pistachioquay
