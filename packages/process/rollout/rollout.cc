#include "process/rollout/rollout.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/hash.h"

namespace pistachioquay {

namespace {

constexpr std::size_t maxReasonBytes = 200; // of the text in a record

double trialShare(const rollout_state &state, rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::Trial:
        return state.limits->exposureShare * trialShareOfExposure;
    case rollout_phase::Shifting:
        return shiftingShare;
    default:
        return 0;
    }
}

bool isHeldVersion(const known_rollout &rollout, const std::string &version)
{
    return std::ranges::find(rollout.record.heldVersions, version) != rollout.record.heldVersions.end();
}

// Returns the nodes of the workers on trial: as many as the share keeps under the usual load of a worker, the same ones
// at all nodes. Suspect workers come last, so that others can confirm or refute what they show.
std::set<std::string>
chooseTrialNodes(const known_rollout &rollout, const std::vector<observed_worker> &workers, double share)
{
    const rollout_record &record = rollout.record;
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    std::size_t others = 0;
    for (const observed_worker &worker : workers) {
        if (worker.version == record.targetVersion && worker.isWarm) {
            ranked.emplace_back(rollout.suspects.contains(worker.nodeId),
                                hash64(worker.nodeId, hash64(record.targetVersion)),
                                worker.nodeId);
        }
        others += worker.version != record.targetVersion && !isHeldVersion(rollout, worker.version) ? 1 : 0;
    }
    std::ranges::sort(ranked);
    const auto count = static_cast<std::size_t>(std::max(1.0, std::floor(share * static_cast<double>(others))));
    ranked.resize(std::min(count, ranked.size()));
    std::set<std::string> nodes;
    std::ranges::transform(ranked, std::inserter(nodes, nodes.end()), [](const auto &each) {
        return std::get<2>(each);
    });
    return nodes;
}

// Without an order, the version that was seen first is the usual one. Others wait until an order would have arrived.
std::vector<worker_pool> poolsWithoutOrder(const rollout_state &state,
                                           const std::map<std::string, time_point> &seen,
                                           const std::vector<observed_worker> &workers,
                                           time_point now)
{
    const auto first = std::ranges::min_element(seen, {}, [](const auto &item) {
        return item.second;
    });
    std::vector<worker_pool> pools;
    std::ranges::transform(workers, std::back_inserter(pools), [&](const observed_worker &worker) {
        const time_point seenAt = seen.at(worker.version);
        const bool isUsual = seenAt == first->second || now - seenAt > state.limits->orderDelay;
        return isUsual ? worker_pool::Usual : worker_pool::Held;
    });
    return pools;
}

worker_pool poolOf(const known_rollout &rollout, const observed_worker &worker)
{
    const bool isTarget = worker.version == rollout.record.targetVersion;
    switch (rollout.record.phase) {
    case rollout_phase::Trial:
    case rollout_phase::Shifting:
        if (isTarget) {
            return rollout.trialNodes.contains(worker.nodeId) ? worker_pool::Trial : worker_pool::Held;
        }
        break;
    case rollout_phase::Shifted:
    case rollout_phase::Completed:
        return isTarget ? worker_pool::Usual : worker_pool::Held;
    case rollout_phase::Unknown:
    case rollout_phase::RollingBack:
    case rollout_phase::RolledBack:
        if (isTarget) {
            return worker_pool::Held;
        }
        break;
    }
    return isHeldVersion(rollout, worker.version) ? worker_pool::Held : worker_pool::Usual;
}

// Lets the version serve that is left when the usual one has no workers, unless the roll-out has been taken back or has
// ended.
void fillEmptyPool(const known_rollout &rollout,
                   const std::vector<observed_worker> &workers,
                   std::vector<worker_pool> &pools)
{
    const bool isOpen = rollout.record.phase == rollout_phase::Trial || rollout.record.phase == rollout_phase::Shifting
        || rollout.record.phase == rollout_phase::Shifted;
    if (!isOpen || std::ranges::find(pools, worker_pool::Usual) != pools.end()) {
        return;
    }
    std::ranges::transform(workers, pools.begin(), [&](const observed_worker &worker) {
        return isHeldVersion(rollout, worker.version) ? worker_pool::Held : worker_pool::Usual;
    });
}

milliseconds shareOf(const rollout_record &record, double share)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(record.durationMs) * share));
}

milliseconds staggerOf(std::size_t rank)
{
    return decisionStagger * static_cast<std::int64_t>(std::min(rank, maxDecisionStaggers));
}

// Keeps the versions of superseded orders from getting requests, unless they are ordered again.
std::vector<std::string> heldAfter(const rollout_record &earlier, const std::string &target)
{
    std::vector<std::string> held = earlier.heldVersions;
    if (earlier.phase != rollout_phase::Completed) {
        held.push_back(earlier.targetVersion);
    }
    std::erase(held, target);
    if (held.size() > maxHeldVersions) {
        held.erase(held.begin());
    }
    return held;
}

known_rollout startRollout(rollout_record record, time_point orderedAt, time_point now)
{
    known_rollout started;
    started.record = std::move(record);
    started.orderedAt = orderedAt;
    started.phaseSince = now;
    return started;
}

std::optional<phase_change> decideTrial(const known_rollout &rollout, time_point now, duration stagger)
{
    const rollout_record &record = rollout.record;
    const judgement &judged = rollout.lastJudgement;
    const duration elapsed = now - rollout.orderedAt - stagger;
    if (judged.verdict == rollout_verdict::Good && elapsed >= shareOf(record, earliestShift)) {
        return phase_change{rollout_phase::Shifting, "good: " + std::to_string(judged.runs) + " runs"};
    }
    if (judged.runs > 0 && elapsed >= shareOf(record, latestTrial)) {
        if (judged.leansBad) {
            return phase_change{rollout_phase::RollingBack, "time is up and evidence is against it: " + judged.reason};
        }
        return phase_change{rollout_phase::Shifting, "time is up without evidence against it"};
    }
    if (elapsed >= shareOf(record, latestCompletion)) {
        return phase_change{rollout_phase::RollingBack, "no worker of the version has run a request"};
    }
    return std::nullopt;
}

} // namespace

std::string_view phaseName(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::Unknown:
        return "unknown";
    case rollout_phase::Trial:
        return "trial";
    case rollout_phase::Shifting:
        return "shifting";
    case rollout_phase::Shifted:
        return "shifted";
    case rollout_phase::RollingBack:
        return "rolling-back";
    case rollout_phase::RolledBack:
        return "rolled-back";
    case rollout_phase::Completed:
        return "completed";
    }
    return "unknown";
}

bool isEnded(rollout_phase phase)
{
    return phase == rollout_phase::RolledBack || phase == rollout_phase::Completed;
}

bool isPlausible(const rollout_record &record)
{
    const auto isName = [](const std::string &name) {
        return !name.empty() && name.size() <= maxVersionBytes;
    };
    return isName(record.service) && isName(record.targetVersion) && record.phase <= rollout_phase::Completed
        && record.durationMs > 0 && record.durationMs <= maxRolloutMs && record.ageMs >= 0
        && record.heldVersions.size() <= maxHeldVersions && std::ranges::all_of(record.heldVersions, isName)
        && record.reason.size() <= maxReasonBytes;
}

bool isAnnouncedIn(const rollout_record &record, const store_eras &eras)
{
    return record.isAnnounced && (!eras.current || isCurrent(eras, record.announcedEra));
}

void recordAnnounced(rollout_record &record, std::uint64_t era)
{
    record.isAnnounced = true;
    record.announcedEra = era;
}

bool isInDoubt(const rollout_state &state, const rollout_record &record, const store_eras &eras, boot_time now)
{
    const auto known = state.services.find(record.service);
    return known != state.services.end() && known->second.record.targetVersion != record.targetVersion
        && known->second.record.order.era != record.order.era && mayLackWrites(eras, now);
}

rollout_record toRecord(const rollout_order &order)
{
    rollout_record record;
    record.service = order.service;
    record.targetVersion = order.targetVersion;
    record.order = order.position;
    record.durationMs = order.duration.count();
    record.phase = order.isFresh ? rollout_phase::Trial : rollout_phase::Unknown;
    return record;
}

bool applyOrder(rollout_state &state, const rollout_order &order, time_point now)
{
    return mergeRollout(state, toRecord(order), now);
}

bool mergeRollout(rollout_state &state, const rollout_record &record, time_point now)
{
    const bool isKnown = state.services.contains(record.service);
    if (!state.limits || !isPlausible(record) || (!isKnown && state.services.size() >= maxRollouts)) {
        return false;
    }
    const time_point orderedAt = now - milliseconds(std::min(record.ageMs, maxRolloutMs));
    if (!isKnown) {
        state.services[record.service] = startRollout(record, orderedAt, now);
        return true;
    }
    known_rollout &known = state.services[record.service];
    rollout_record &current = known.record;
    if (current.targetVersion != record.targetVersion) {
        if (record.order <= current.order) {
            return false;
        }
        rollout_record next = record;
        for (const std::string &held : heldAfter(current, record.targetVersion)) {
            const bool isNew = std::ranges::find(next.heldVersions, held) == next.heldVersions.end();
            if (isNew && next.heldVersions.size() < maxHeldVersions) {
                next.heldVersions.push_back(held);
            }
        }
        known = startRollout(std::move(next), orderedAt, now);
        return true;
    }
    const rollout_record before = current;
    known.orderedAt = std::min(known.orderedAt, orderedAt);
    current.order = std::max(current.order, record.order);
    if (record.isAnnounced && (!current.isAnnounced || record.announcedEra > current.announcedEra)) {
        recordAnnounced(current, record.announcedEra);
    }
    const bool isFurther = record.phase > current.phase && !isEnded(current.phase);
    if (isFurther) {
        applyChange(known, {record.phase, record.reason}, now);
    }
    return current != before;
}

std::vector<rollout_record> recordsToSend(const rollout_state &state, time_point now)
{
    std::vector<rollout_record> records;
    std::ranges::transform(state.services, std::back_inserter(records), [&](const auto &item) {
        rollout_record record = item.second.record;
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.second.orderedAt);
        record.ageMs = std::clamp<std::int64_t>(age.count(), 0, maxRolloutMs);
        return record;
    });
    return records;
}

std::vector<worker_pool> assignPools(rollout_state &state,
                                     const std::string &service,
                                     const std::vector<observed_worker> &workers,
                                     time_point now)
{
    std::vector<worker_pool> pools(workers.size(), worker_pool::Usual);
    if (!state.limits || workers.empty()) {
        return pools;
    }
    std::map<std::string, time_point> &seen = state.versionsSeen[service];
    std::erase_if(seen, [&](const auto &item) { // bounds the memory: versions come and go
        return std::ranges::find(workers, item.first, &observed_worker::version) == workers.end();
    });
    for (const observed_worker &worker : workers) {
        seen.try_emplace(worker.version, now);
    }
    const auto found = state.services.find(service);
    if (found == state.services.end()) {
        return poolsWithoutOrder(state, seen, workers, now);
    }
    known_rollout &rollout = found->second;
    rollout.trialNodes = chooseTrialNodes(rollout, workers, trialShare(state, rollout.record.phase));
    std::ranges::transform(workers, pools.begin(), [&](const observed_worker &worker) {
        return poolOf(rollout, worker);
    });
    fillEmptyPool(rollout, workers, pools);
    return pools;
}

bool drawTrial(rollout_state &state, const std::string &service, random_generator &generator)
{
    const auto found = state.services.find(service);
    if (!state.limits || found == state.services.end()) {
        return false;
    }
    known_rollout &rollout = found->second;
    const double share = trialShare(state, rollout.record.phase);
    if (share <= 0 || rollout.trialNodes.empty()) {
        return false;
    }
    // The first request starts from a random allowance, so that many nodes with few requests each keep the share too.
    if (rollout.requests++ == 0) {
        rollout.trialAllowance = std::uniform_real_distribution<double>(0, 1)(generator);
    }
    rollout.trialAllowance = std::min(rollout.trialAllowance + share, 1.0 + share);
    if (rollout.trialAllowance < 1.0) {
        return false;
    }
    rollout.trialAllowance -= 1.0;
    ++rollout.trialRequests;
    return true;
}

void returnTrial(rollout_state &state, const std::string &service)
{
    if (const auto found = state.services.find(service); found != state.services.end()) {
        found->second.trialAllowance = std::min(found->second.trialAllowance + 1.0, 1.0);
        found->second.trialRequests -= std::min<std::uint64_t>(found->second.trialRequests, 1);
    }
}

std::optional<phase_change>
decide(known_rollout &rollout, const std::vector<observed_worker> &workers, std::size_t rank, time_point now)
{
    const rollout_record &record = rollout.record;
    if (record.phase == rollout_phase::Unknown || record.phase >= rollout_phase::RollingBack) {
        return std::nullopt;
    }
    std::vector<observed_worker> compared;
    std::ranges::copy_if(workers, std::back_inserter(compared), [&](const observed_worker &worker) {
        return !isHeldVersion(rollout, worker.version);
    });
    rollout.lastJudgement = judge(compared, record.targetVersion);
    rollout.suspects = {rollout.lastJudgement.suspects.begin(), rollout.lastJudgement.suspects.end()};
    const double badShare = static_cast<double>(rollout.lastJudgement.badRuns)
        / static_cast<double>(std::max<std::uint64_t>(rollout.lastJudgement.runs, 1));
    const bool isCertain = record.phase != rollout_phase::Shifted || badShare >= shiftedBadShare;
    if (rollout.lastJudgement.verdict == rollout_verdict::Bad && isCertain) {
        return phase_change{rollout_phase::RollingBack,
                            rollout.lastJudgement.reason + ": " + std::to_string(rollout.lastJudgement.badRuns) + " of "
                                + std::to_string(rollout.lastJudgement.runs)};
    }
    const duration stagger = staggerOf(rank);
    if (record.phase == rollout_phase::Trial) {
        return decideTrial(rollout, now, stagger);
    }
    if (record.phase != rollout_phase::Shifting || now - rollout.phaseSince < shareOf(record, shiftingTime) + stagger) {
        return std::nullopt;
    }
    if (rollout.lastJudgement.leansBad) {
        return phase_change{rollout_phase::RollingBack, "evidence turned against it: " + rollout.lastJudgement.reason};
    }
    return phase_change{rollout_phase::Shifted, record.reason};
}

std::optional<rollout_phase> recordableEnd(const known_rollout &rollout,
                                           const std::vector<observed_worker> &workers,
                                           std::size_t rank,
                                           time_point now)
{
    const rollout_record &record = rollout.record;
    const duration inPhase = now - rollout.phaseSince - staggerOf(rank);
    if (record.phase == rollout_phase::RollingBack) {
        return inPhase >= duration{0} ? std::optional(rollout_phase::RolledBack) : std::nullopt;
    }
    if (record.phase != rollout_phase::Shifted || inPhase < settleTime) {
        return std::nullopt;
    }
    const bool areOthersIdle = std::ranges::all_of(workers, [&](const observed_worker &worker) {
        return worker.version == record.targetVersion || worker.isIdle;
    });
    const bool isOverdue = now - rollout.orderedAt - staggerOf(rank) >= shareOf(record, latestCompletion);
    return areOthersIdle || isOverdue ? std::optional(rollout_phase::Completed) : std::nullopt;
}

void applyChange(known_rollout &rollout, const phase_change &change, time_point now)
{
    rollout.record.phase = change.phase;
    rollout.record.reason = change.reason.substr(0, maxReasonBytes);
    rollout.phaseSince = now;
    rollout.trialAllowance = 0;
}

std::size_t decisionRank(const std::vector<std::string> &nodeIds, std::string_view ownId, const rollout_record &record)
{
    const auto weight = [&](std::string_view id) {
        return std::pair(hash64(id, hash64(record.targetVersion)), id);
    };
    return static_cast<std::size_t>(std::ranges::count_if(nodeIds, [&](const std::string &id) {
        return weight(id) < weight(ownId);
    }));
}

} // namespace pistachioquay
