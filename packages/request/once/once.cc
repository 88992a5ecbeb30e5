#include "request/once/once.h"

#include <algorithm>

namespace pistachioquay {

using internal::claim_phase;
using internal::local_claim;

namespace {

// Exceeds the time that a copy of a claim can be in transit to the log.
constexpr milliseconds localClaimRetention{2 * keyRetentionMs};

local_claim *findLocal(at_most_once_state &state, const hash128 &claim)
{
    const auto found = state.localClaims.find(claim);
    return found == state.localClaims.end() ? nullptr : &found->second;
}

bool isTooLate(const local_claim &local, time_point now)
{
    return now >= local.deadline || now - local.arrivedAt >= maxClaimWait;
}

bool holdsKey(const at_most_once_state &state, const hash128 &key, const hash128 &claim)
{
    const claim_entry *holder = findClaim(state.index, key);
    return holder != nullptr && holder->claim == claim;
}

// If the queue is full, the release is dropped: the key then stays claimed until it expires, which is safe.
void enqueueRelease(at_most_once_state &state, const hash128 &key, const hash128 &claim)
{
    enqueueClaim(state.queue, {claim_kind::Release, key, claim});
}

key_outcome outcomeOfLocal(const local_claim &local)
{
    switch (local.phase) {
    case claim_phase::Running:
        return key_outcome::Running;
    case claim_phase::Ran:
        return key_outcome::Ran;
    case claim_phase::Waiting:
    case claim_phase::Granted:
    case claim_phase::Abandoned:
        break;
    }
    return key_outcome::Unknown;
}

key_outcome outcomeOfHolder(const at_most_once_state &state, const hash128 &claim)
{
    const auto found = state.localClaims.find(claim);
    return found == state.localClaims.end() ? key_outcome::Unknown : outcomeOfLocal(found->second);
}

void resolveWaiting(at_most_once_state &state,
                    const hash128 &claim,
                    time_point now,
                    std::vector<claim_decision> &decisions)
{
    local_claim &local = state.localClaims.at(claim);
    state.pendingByKey.erase(local.key);
    const claim_entry *holder = findClaim(state.index, local.key);
    if (holder == nullptr || holder->claim != claim) {
        const key_outcome outcome = holder == nullptr ? key_outcome::Unknown : outcomeOfHolder(state, holder->claim);
        local.phase = claim_phase::Abandoned;
        decisions.push_back({claim_action::Respond, claim, outcome});
        return;
    }
    local.phase = claim_phase::Granted;
    if (isTooLate(local, now)) {
        decisions.push_back({claim_action::Respond, claim, abandonRun(state, claim)});
    } else {
        decisions.push_back({claim_action::Run, claim, key_outcome::NotRun});
    }
}

void resolveClaim(at_most_once_state &state,
                  const claim_record &record,
                  time_point now,
                  std::vector<claim_decision> &decisions)
{
    const local_claim *local = findLocal(state, record.claim);
    if (local == nullptr || record.kind != claim_kind::Claim) {
        return;
    }
    if (local->phase == claim_phase::Waiting) {
        resolveWaiting(state, record.claim, now, decisions);
    } else if (local->phase == claim_phase::Abandoned && holdsKey(state, record.key, record.claim)) {
        enqueueRelease(state, record.key, record.claim);
    }
}

} // namespace

claim_decision
beginClaim(at_most_once_state &state, const hash128 &key, const hash128 &claim, time_point deadline, time_point now)
{
    const claim_entry *holder = findClaim(state.index, key);
    if (holder != nullptr) {
        return {claim_action::Respond, claim, outcomeOfHolder(state, holder->claim)};
    }
    const bool isFull = state.localClaims.size() >= maxLocalClaims || state.index.holders.size() >= maxKeys;
    if (isFull || state.pendingByKey.contains(key) || !enqueueClaim(state.queue, {claim_kind::Claim, key, claim})) {
        return {claim_action::Respond, claim, key_outcome::Unknown};
    }
    state.pendingByKey[key] = claim;
    state.localClaims[claim] = {key, claim_phase::Waiting, now, deadline};
    return {claim_action::Wait, claim, key_outcome::Unknown};
}

bool applyRecord(at_most_once_state &state,
                 std::int64_t offset,
                 std::int64_t timeMs,
                 std::span<const claim_record> records,
                 time_point now,
                 std::vector<claim_decision> &decisions)
{
    const bool isNew = offset == state.index.position;
    if (!applyClaims(state.index, offset, timeMs, records)) {
        return false;
    }
    if (isNew) {
        for (const claim_record &record : records) {
            resolveClaim(state, record, now, decisions);
        }
    }
    return true;
}

void restartReplay(at_most_once_state &state, std::int64_t first)
{
    resetIndex(state.index, first);
    state.currentAsOf = time_point();
}

void recordCaughtUp(at_most_once_state &state, time_point readStartedAt)
{
    state.currentAsOf = std::max(state.currentAsOf, readStartedAt);
}

bool startRun(at_most_once_state &state, const hash128 &claim, time_point now)
{
    local_claim *local = findLocal(state, claim);
    if (local == nullptr || local->phase != claim_phase::Granted || isTooLate(*local, now)) {
        return false;
    }
    local->phase = claim_phase::Running;
    return true;
}

void endRun(at_most_once_state &state, const hash128 &claim)
{
    local_claim *local = findLocal(state, claim);
    if (local != nullptr && local->phase == claim_phase::Running) {
        local->phase = claim_phase::Ran;
    }
}

key_outcome abandonRun(at_most_once_state &state, const hash128 &claim)
{
    local_claim *local = findLocal(state, claim);
    if (local == nullptr) {
        return key_outcome::Unknown;
    }
    switch (local->phase) {
    case claim_phase::Waiting: {
        local->phase = claim_phase::Abandoned;
        state.pendingByKey.erase(local->key);
        const key_outcome outcome = outcomeFor(state, local->key, local->arrivedAt);
        if (withdrawClaim(state.queue, claim)) {
            state.localClaims.erase(claim);
        }
        return outcome;
    }
    case claim_phase::Granted:
        local->phase = claim_phase::Abandoned;
        enqueueRelease(state, local->key, claim);
        return key_outcome::NotRun;
    case claim_phase::Running:
    case claim_phase::Ran:
    case claim_phase::Abandoned:
        break;
    }
    return outcomeOfLocal(*local);
}

key_outcome abandonUnsentRun(at_most_once_state &state, const hash128 &claim)
{
    local_claim *local = findLocal(state, claim);
    if (local != nullptr && local->phase == claim_phase::Running) {
        local->phase = claim_phase::Granted;
    }
    return abandonRun(state, claim);
}

key_outcome outcomeFor(const at_most_once_state &state, const hash128 &key, time_point arrivedAt)
{
    const claim_entry *holder = findClaim(state.index, key);
    if (holder != nullptr) {
        return outcomeOfHolder(state, holder->claim);
    }
    const bool isCurrent = state.currentAsOf != time_point() && state.currentAsOf >= arrivedAt;
    return isCurrent && !state.pendingByKey.contains(key) ? key_outcome::NotRun : key_outcome::Unknown;
}

void forgetOld(at_most_once_state &state, time_point now)
{
    std::erase_if(state.localClaims, [&](const auto &each) {
        const local_claim &local = each.second;
        const bool isFinished = local.phase == claim_phase::Ran || local.phase == claim_phase::Abandoned;
        return isFinished && now - local.arrivedAt > localClaimRetention;
    });
}

} // namespace pistachioquay
