#include "process/mesh/rollout_keeper.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/mesh/store_calls.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds storeRetryInterval{500}; // between two attempts of a node to record a state; jitter is added
constexpr milliseconds evidenceInterval{500}; // between two datagrams to all nodes with new bad runs
// Elapsed share of a roll-out that a node assumes if all nodes that knew its start have ended. The version still has to
// show itself for a tenth of the duration before the first shift.
constexpr double assumedElapsed = 0.4;

std::uint64_t badRuns(const worker_evidence &evidence)
{
    return std::accumulate(evidence.routes.begin(),
                           evidence.routes.end(),
                           std::uint64_t{0},
                           [](std::uint64_t sum, const route_evidence &each) {
                               return sum + each.failures + each.slow;
                           });
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

rollout_keeper::rollout_keeper(mesh_context &context, inbound_handler &inbound, gossip_channel &gossip)
    : m_context(context)
    , m_inbound(inbound)
    , m_gossip(gossip)
{
}

void rollout_keeper::applyOrders(const std::vector<rollout_order> &orders, time_point now)
{
    const boot_time readAt = bootNow();
    for (rollout_order order : orders) {
        // One that is written again may have ended already.
        order.isFresh = order.isFresh && !mayLackWrites(m_context.storeEras, readAt);
        if (isInDoubt(m_context.rollouts, toRecord(order), m_context.storeEras, readAt)) {
            m_context.log(log_line("rollout", "order-in-doubt")
                              .add("service", order.service)
                              .add("version", order.targetVersion)
                              .add("era", order.position.era)
                              .add("position", order.position.offset));
            m_doubtful[order.service] = {toRecord(order), now};
            continue;
        }
        if (applyOrder(m_context.rollouts, order, now)) {
            onChange(m_context.rollouts.services.at(order.service), "order", now);
            m_gossip.announce();
        }
    }
}

void rollout_keeper::applyDoubtful(time_point now)
{
    if (m_doubtful.empty() || mayLackWrites(m_context.storeEras, bootNow())) {
        return;
    }
    for (auto &[service, order] : std::exchange(m_doubtful, {})) {
        order.record.ageMs = millisBetween(order.readAt, now);
        if (mergeRollout(m_context.rollouts, order.record, now)) {
            onChange(m_context.rollouts.services.at(service), "order", now);
            m_gossip.announce();
        }
    }
}

void rollout_keeper::applyRecords(const std::vector<rollout_record> &records, time_point now)
{
    for (rollout_record record : records) {
        // What the store showed in another era may not be there in the present one.
        record.isAnnounced = isAnnouncedIn(record, m_context.storeEras);
        const bool isDoubtful = isInDoubt(m_context.rollouts, record, m_context.storeEras, bootNow());
        if (!isDoubtful && mergeRollout(m_context.rollouts, record, now)) {
            onChange(m_context.rollouts.services.at(record.service), "peer", now);
        }
    }
}

void rollout_keeper::onChange(const known_rollout &rollout, std::string_view source, time_point now)
{
    const rollout_record &record = rollout.record;
    m_context.metrics.count("rollout_changes_total");
    m_context.log(log_line("rollout", phaseName(record.phase))
                      .add("service", record.service)
                      .add("version", record.targetVersion)
                      .add("era", record.order.era)
                      .add("order", record.order.offset)
                      .add("source", source)
                      .add("age_ms", millisBetween(rollout.orderedAt, now))
                      .add("announced", record.isAnnounced)
                      .add("reason", record.reason)
                      .add("runs", rollout.lastJudgement.runs)
                      .add("bad_runs", rollout.lastJudgement.badRuns)
                      .add("own_requests", rollout.requests)
                      .add("own_trial_requests", rollout.trialRequests));
    refreshWorkers(m_context, record.service, now);
}

void rollout_keeper::changePhase(known_rollout &rollout,
                                 const phase_change &change,
                                 std::string_view source,
                                 time_point now)
{
    applyChange(rollout, change, now);
    onChange(rollout, source, now);
    m_gossip.announce();
}

std::vector<observed_worker> rollout_keeper::observe(const known_rollout &rollout, time_point now) const
{
    const rollout_record &record = rollout.record;
    const auto evidenceFor = [&](const worker_evidence &evidence) {
        return evidence.targetVersion == record.targetVersion ? evidence : worker_evidence{};
    };
    std::vector<observed_worker> workers;
    for (const auto &[id, node] : m_context.fleet.nodes) {
        const node_record &known = node.record;
        const bool isPresent = known.worker == worker_state::Ready || known.worker == worker_state::Draining;
        if (known.service == record.service && isPresent && !isSilent(m_context.fleet, node, now)) {
            workers.push_back({id,
                               known.workerVersion,
                               node.warmUpUntil <= now,
                               known.report.running + known.report.waiting == 0,
                               evidenceFor(known.evidence)});
        }
    }
    const worker_liveness &own = m_context.worker;
    if (record.service == m_context.options.service && !own.workerId.empty() && !own.isUnreachable) {
        workers.push_back({m_context.options.nodeId,
                           own.version,
                           own.warmUpUntil <= now,
                           m_inbound.openCount() == 0,
                           evidenceFor(m_context.counting.evidence)});
    }
    return workers;
}

std::size_t rollout_keeper::rankOf(const rollout_record &record, time_point now) const
{
    std::vector<std::string> nodeIds;
    for (const auto &[id, node] : m_context.fleet.nodes) {
        if (!node.record.isLeaving && !isSilent(m_context.fleet, node, now)) {
            nodeIds.push_back(id);
        }
    }
    return decisionRank(nodeIds, m_context.options.nodeId, record);
}

// Starts counting the outcomes of the own worker when the new version has a warm worker, so that both sides are
// compared over the same time, and ends it with the roll-out.
void rollout_keeper::updateCounting(time_point now)
{
    rollout_counting &counting = m_context.counting;
    const auto found = m_context.rollouts.services.find(m_context.options.service);
    if (found == m_context.rollouts.services.end() || isEnded(found->second.record.phase)) {
        counting = {};
        return;
    }
    const rollout_record &record = found->second.record;
    const bool isOtherWorker = counting.workerVersion != m_context.worker.version;
    if (counting.evidence.targetVersion != record.targetVersion || isOtherWorker) {
        counting = {};
        counting.evidence.targetVersion = record.targetVersion;
        counting.workerVersion = m_context.worker.version;
        m_badRunsAnnounced = 0;
    }
    const std::vector<observed_worker> workers = observe(found->second, now);
    const bool isWarm = m_context.worker.warmUpUntil <= now;
    const bool isComparable = std::ranges::any_of(workers, [&](const observed_worker &worker) {
        return worker.version == record.targetVersion && worker.isWarm;
    });
    counting.isActive = isWarm && isComparable;
    std::map<std::string, std::vector<double>> runMs;
    for (const auto &[id, node] : m_context.fleet.nodes) {
        if (node.record.service == record.service && node.record.workerVersion != record.targetVersion) {
            for (const auto &[route, milliseconds] : node.record.runMs) {
                runMs[route].push_back(milliseconds);
            }
        }
    }
    for (auto &[route, values] : runMs) {
        counting.typicalRunMs[route] = median(std::move(values));
    }
}

// Sends the evidence of a worker of the new version to all nodes at once: gossip rounds take seconds to reach them.
void rollout_keeper::announceBadRuns(time_point now)
{
    const rollout_counting &counting = m_context.counting;
    const std::uint64_t bad = badRuns(counting.evidence);
    const bool isOnTrial = counting.isActive && m_context.worker.version == counting.evidence.targetVersion;
    if (isOnTrial && bad > m_badRunsAnnounced && now - m_announcedAt >= evidenceInterval) {
        m_badRunsAnnounced = bad;
        m_announcedAt = now;
        m_gossip.announce();
    }
}

void rollout_keeper::maintain(time_point now)
{
    if (m_context.rollouts.services.empty() || m_context.isStopped) {
        return;
    }
    applyDoubtful(now);
    updateCounting(now);
    announceBadRuns(now);
    for (auto &[service, rollout] : m_context.rollouts.services) {
        if (!isEnded(rollout.record.phase) || !isAnnouncedIn(rollout.record, m_context.storeEras)) {
            maintainRollout(rollout, now);
        }
    }
}

void rollout_keeper::maintainRollout(known_rollout &rollout, time_point now)
{
    const std::vector<observed_worker> workers = observe(rollout, now);
    const std::size_t rank = rankOf(rollout.record, now);
    if (const auto change = decide(rollout, workers, rank, now)) {
        changePhase(rollout, *change, "decision", now);
    }
    store_duty &duty = m_duties[rollout.record.service];
    if (duty.isRunning || now < duty.nextAt || !needsStore(rollout, workers, rank, now)) {
        return;
    }
    duty.isRunning = true;
    net::co_spawn(
        m_context.executor,
        [this, service = rollout.record.service]() -> awaitable<void> {
            co_await settle(service);
            store_duty &ended = m_duties[service];
            ended.isRunning = false;
            ended.nextAt = steadyNow() + storeRetryInterval
                + milliseconds(m_context.generator() % static_cast<std::uint64_t>(storeRetryInterval.count()));
        },
        net::detached);
}

bool rollout_keeper::needsStore(const known_rollout &rollout,
                                const std::vector<observed_worker> &workers,
                                std::size_t rank,
                                time_point now) const
{
    const rollout_record &record = rollout.record;
    if (rank > maxDecisionStaggers || m_context.isStopping) {
        return false;
    }
    const bool isMissing = record.phase == rollout_phase::Unknown || !isAnnouncedIn(record, m_context.storeEras);
    const duration stagger = decisionStagger * static_cast<std::int64_t>(rank);
    const auto inEra = std::chrono::duration_cast<duration>(bootNow() - m_context.storeEras.knownSince);
    if (isEnded(record.phase)) { // a later order of the service may be among what is written again
        return isMissing && inEra >= rewriteTime + stagger;
    }
    return (isMissing && std::min(now - rollout.phaseSince, inEra) >= stagger)
        || recordableEnd(rollout, workers, rank, now).has_value();
}

// Applies the state that the store has for the version. Returns whether this node has something to record.
bool rollout_keeper::applyStored(known_rollout &rollout, const rollout_status_read &read, time_point now)
{
    rollout_record &record = rollout.record;
    const bool isSameVersion = read.status && read.status->targetVersion == record.targetVersion;
    if (isSameVersion) {
        recordAnnounced(record, read.position.era);
        if (isEnded(read.status->phase)) {
            changePhase(rollout, {read.status->phase, record.reason}, "store", now);
            return false;
        }
    }
    if (record.phase == rollout_phase::Unknown) {
        if (isSameVersion) {
            const milliseconds assumed(
                static_cast<std::int64_t>(static_cast<double>(record.durationMs) * assumedElapsed));
            rollout.orderedAt = std::min(rollout.orderedAt, now - assumed);
        }
        changePhase(rollout, {rollout_phase::Trial, {}}, "store", now);
    }
    return true;
}

// Reads the recorded state, follows it if it shows an end, and otherwise records what this node has decided. Whichever
// node records first decides.
awaitable<void> rollout_keeper::settle(std::string service)
{
    const auto read = co_await readRolloutStatus(m_context, service);
    const time_point now = steadyNow();
    const auto found = m_context.rollouts.services.find(service);
    if (!read || found == m_context.rollouts.services.end()) {
        co_return;
    }
    known_rollout &rollout = found->second;
    if (isEnded(rollout.record.phase)) {
        co_await settleEnd(rollout.record, *read);
        co_return;
    }
    if (!applyStored(rollout, *read, now)) {
        co_return;
    }
    const std::size_t rank = rankOf(rollout.record, now);
    const auto end = recordableEnd(rollout, observe(rollout, now), rank, now);
    if (end || !isAnnouncedIn(rollout.record, m_context.storeEras)) {
        co_await record(rollout.record, end.value_or(rollout_phase::Trial), read->position);
    }
}

// Records the end of a roll-out again that the store has lost.
awaitable<void> rollout_keeper::settleEnd(rollout_record ended, rollout_status_read read)
{
    const rollout_status status{ended.service, ended.targetVersion, ended.phase};
    if (read.status != status) {
        co_await record(ended, ended.phase, read.position);
        co_return;
    }
    recordAnnounced(m_context.rollouts.services.at(ended.service).record, read.position.era);
    m_gossip.announce();
}

awaitable<void> rollout_keeper::record(rollout_record record, rollout_phase phase, store_position position)
{
    // GCC 12 destroys an aggregate twice that is created within a co_await expression.
    const rollout_status status{record.service, record.targetVersion, phase};
    const auto era = co_await writeRolloutStatus(m_context, status, position);
    const bool isRecorded = era.has_value();
    const time_point now = steadyNow();
    m_context.metrics.count(isRecorded ? "rollout_records_total" : "rollout_records_failed_total");
    m_context.log(log_line("rollout", isRecorded ? "recorded" : "not-recorded")
                      .add("service", record.service)
                      .add("version", record.targetVersion)
                      .add("phase", phaseName(phase))
                      .add("era", position.era)
                      .add("position", position.offset));
    const auto found = m_context.rollouts.services.find(record.service);
    const bool isSame =
        found != m_context.rollouts.services.end() && found->second.record.targetVersion == record.targetVersion;
    if (!isRecorded || !isSame) {
        co_return;
    }
    known_rollout &rollout = found->second;
    recordAnnounced(rollout.record, *era);
    if (isEnded(phase) && !isEnded(rollout.record.phase)) {
        changePhase(rollout, {phase, rollout.record.reason}, "recorded", now);
    } else {
        m_gossip.announce();
    }
}

std::string rollout_keeper::metricsText() const
{
    std::string text;
    for (const auto &[service, rollout] : m_context.rollouts.services) {
        const rollout_record &record = rollout.record;
        const auto line = [&](std::string_view name, const std::string &labels, const std::string &value) {
            text.append("pistachioquay_rollout_").append(name).append("{service=\"").append(record.service);
            text.append("\",version=\"").append(record.targetVersion).append("\"").append(labels);
            text.append("} ").append(value).append("\n");
        };
        line("phase", ",phase=\"" + std::string(phaseName(record.phase)) + "\",reason=\"" + record.reason + "\"", "1");
        line("duration_ms", "", std::to_string(record.durationMs));
        line("age_ms", "", std::to_string(millisBetween(rollout.orderedAt, steadyNow())));
        line("runs", "", std::to_string(rollout.lastJudgement.runs));
        line("bad_runs", "", std::to_string(rollout.lastJudgement.badRuns));
        line("score", "", std::to_string(rollout.lastJudgement.badScore));
        line("own_requests", "", std::to_string(rollout.requests));
        line("own_trial_requests", "", std::to_string(rollout.trialRequests));
    }
    return text;
}

} // namespace pistachioquay::internal
