#include "process/mesh/context.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace pistachioquay {

namespace internal {

link_state linkState(const mesh_context &context, time_point now)
{
    return {drainBytesPerMs(context.pacer, now), static_cast<double>(queuedBytes(context.pacer))};
}

attempt_outcome attemptOutcome(const call_reply &reply)
{
    switch (reply.kind) {
    case reply_kind::Response:
        return attempt_outcome::FailedResponse;
    case reply_kind::NotRun:
        return attempt_outcome::NotRun;
    case reply_kind::RejectedByWorker:
        return attempt_outcome::RejectedByWorker;
    case reply_kind::Unknown:
        return attempt_outcome::Unknown;
    }
    return attempt_outcome::Unknown;
}

std::size_t readerRank(const mesh_context &context, time_point now)
{
    const auto rankKey = [](std::uint32_t linkBytesPerMs, const std::string &nodeId) {
        return std::pair(UINT32_MAX - linkBytesPerMs, hash64(nodeId));
    };
    const mesh_options &options = context.options;
    const auto own = rankKey(static_cast<std::uint32_t>(options.linkBytesPerMs), options.nodeId);
    return static_cast<std::size_t>(std::ranges::count_if(context.fleet.nodes, [&](const auto &item) {
        const node_record &record = item.second.record;
        return record.dataCentre == options.dataCentre && !record.isLeaving
            && !isSilent(context.fleet, item.second, now) && rankKey(record.linkBytesPerMs, record.nodeId) < own;
    }));
}

namespace {

constexpr milliseconds workerRefreshInterval{250};
constexpr double rateTimeConstantMs = 500.0; // time constant of the exponential decay of the byte rates

// Removes the workers whose version may get no requests, and marks those on trial.
std::vector<worker_entry>
selectByVersion(mesh_context &context, const std::string &service, std::vector<worker_entry> workers, time_point now)
{
    std::vector<observed_worker> observed;
    std::ranges::transform(workers, std::back_inserter(observed), [&](const worker_entry &worker) {
        return observed_worker{worker.nodeId, worker.version, worker.warmUpUntil <= now};
    });
    const std::vector<worker_pool> pools = assignPools(context.rollouts, service, observed, now);
    std::vector<worker_entry> selected;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (pools[index] != worker_pool::Held) {
            workers[index].isOnTrial = pools[index] == worker_pool::Trial;
            selected.push_back(std::move(workers[index]));
        }
    }
    return selected;
}

} // namespace

void link_meter::recordBytes(std::size_t bytesIn, std::size_t bytesOut, time_point now)
{
    const double decay = std::exp(-msBetween(m_updatedAt, now) / rateTimeConstantMs);
    m_inBytesPerMs = m_inBytesPerMs * decay + static_cast<double>(bytesIn) / rateTimeConstantMs;
    m_outBytesPerMs = m_outBytesPerMs * decay + static_cast<double>(bytesOut) / rateTimeConstantMs;
    m_updatedAt = now;
}

double link_meter::load(double bytesPerMs, time_point now) const
{
    const double decay = std::exp(-msBetween(m_updatedAt, now) / rateTimeConstantMs);
    return bytesPerMs > 0 ? std::max(m_inBytesPerMs, m_outBytesPerMs) * decay / bytesPerMs : 0.0;
}

void latency_histogram::observe(double milliseconds)
{
    const auto bucket = std::ranges::lower_bound(boundsMs, milliseconds);
    ++counts.at(static_cast<std::size_t>(bucket - boundsMs.begin()));
    sumMs += milliseconds;
}

std::int64_t crashClockMs(time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

fingerprint crashFingerprint(const whole_request &request, const std::string &callerService)
{
    return fingerprintOf(request.method, request.target, callerService, request.body);
}

failure_reporter failureReporter(mesh_context &context)
{
    return [&context](std::string_view name, std::string_view error) {
        context.metrics.count("duty_failures_total");
        context.log(log_line("node", "duty-failed").add("duty", name).add("error", error));
    };
}

retry_budget_limits retryLimits(const mesh_context &context)
{
    retry_budget_limits limits = context.options.resends;
    limits.nodes = static_cast<std::uint32_t>(context.fleet.nodes.size()) + 1;
    return limits;
}

namespace {

bool isSlowRun(const rollout_counting &counting, const std::string &route, double tookMs)
{
    const auto typical = counting.typicalRunMs.find(route);
    return typical != counting.typicalRunMs.end() && tookMs > slowRunFactor * typical->second;
}

} // namespace

void countRun(rollout_counting &counting, const std::string &route, bool isFailure, double tookMs)
{
    if (counting.isActive) {
        countOutcome(counting.evidence, route, {isFailure, !isFailure && isSlowRun(counting, route, tookMs)});
    }
}

void countCancelledRun(rollout_counting &counting, const std::string &route, double tookMs)
{
    if (isSlowRun(counting, route, tookMs)) {
        countRun(counting, route, false, tookMs);
    }
}

bool isVersionRefused(const mesh_context &context)
{
    const auto found = context.rollouts.services.find(context.options.service);
    if (found == context.rollouts.services.end()) {
        return false;
    }
    const rollout_record &record = found->second.record;
    const bool isTakenBack = record.phase == rollout_phase::RollingBack || record.phase == rollout_phase::RolledBack;
    return isTakenBack && context.worker.version == record.targetVersion;
}

void refreshWorkers(mesh_context &context, const std::string &service, time_point now)
{
    std::vector<worker_entry> workers = readyWorkers(context.fleet, service, now);
    if (service == context.options.service && isAcceptingRequests(context.worker)) {
        workers.push_back({context.options.nodeId,
                           context.processId,
                           context.options.dataCentre,
                           context.worker.slots,
                           context.worker.warmUpUntil,
                           context.options.linkBytesPerMs,
                           context.worker.version});
    }
    if (context.rollouts.limits) {
        workers = selectByVersion(context, service, std::move(workers), now);
    }
    setWorkers(context.placement, service, std::move(workers));
    context.workersRefreshedAt[service] = now;
}

void refreshStaleWorkers(mesh_context &context, const std::string &service, time_point now)
{
    const auto found = context.workersRefreshedAt.find(service);
    if (found == context.workersRefreshedAt.end() || now - found->second > workerRefreshInterval) {
        refreshWorkers(context, service, now);
    }
}

} // namespace internal

} // namespace pistachioquay
