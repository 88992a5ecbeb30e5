#include "request/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <ranges>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

placed_worker *findWorker(placement_state &state, const std::string &service, const std::string &nodeId)
{
    const auto found = state.services.find(service);
    if (found == state.services.end()) {
        return nullptr;
    }
    const auto worker = std::ranges::find(
        found->second.workers,
        nodeId,
        [](const placed_worker &placed) -> const auto & { return placed.entry.nodeId; });
    return worker == found->second.workers.end() ? nullptr : &*worker;
}

std::optional<double> knownRunMs(const placed_worker &worker, const std::string &route, time_point now)
{
    const auto found = worker.runMs.find(route);
    if (found == worker.runMs.end() || now - found->second.second > runTimeExpiry) {
        return std::nullopt;
    }
    return found->second.first;
}

// Median over the workers that have news of the route, so that a few slow ones do not make slowness typical.
double typicalRunMs(const service_placement &service, const placement_request &request, time_point now)
{
    std::vector<double> known;
    for (const placed_worker &worker : service.workers) {
        if (const auto runMs = knownRunMs(worker, request.route, now)) {
            known.push_back(*runMs);
        }
    }
    if (known.empty()) {
        return request.fallbackRunMs;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::ranges::nth_element(known, middle);
    return *middle;
}

double waitMs(const placed_worker &worker, std::uint32_t priority, double runMs, time_point now)
{
    const std::size_t index = std::min<std::size_t>(priority, reportedPriorities - 1);
    const double age = msBetween(worker.reportAt, now);
    const double weight = std::exp2(-age / reportHalfLifeMs);
    const double slots = std::max<std::uint32_t>(worker.entry.slots, 1);
    const double occupied = worker.report.running * weight + worker.sentSinceReport;
    const double ownQueue = std::max(0.0, occupied - slots) * runMs / slots;
    return worker.report.waitMs.at(index) * weight + ownQueue;
}

double crowdingMs(const placed_worker &worker, double runMs)
{
    const double slots = std::max<std::uint32_t>(worker.entry.slots, 1);
    const double used = std::min(1.0, (worker.report.running + worker.sentSinceReport) / slots);
    return runMs * crowdingShare * used * used;
}

// Time that `bytes` take on a link of which `load` is used.
double transferMs(double bytes, double bytesPerMs, double load)
{
    return bytesPerMs > 0 ? bytes / (bytesPerMs * std::max(leastLinkShare, 1.0 - load)) : 0.0;
}

double
pathMs(const placement_state &state, const placed_worker &worker, const placement_request &request, time_point now)
{
    if (worker.entry.nodeId == state.nodeId) {
        return 0;
    }
    const double bytes = static_cast<double>(request.bytes) + headBytes;
    const double weight = std::exp2(-msBetween(worker.reportAt, now) / reportHalfLifeMs);
    const double queued = worker.bytesSinceReport * weight;
    double path = transferMs(bytes, state.linkBytesPerMs, state.linkLoad)
        + transferMs(bytes + queued, worker.entry.linkBytesPerMs, worker.report.linkLoad * weight);
    if (worker.entry.dataCentre != state.dataCentre) {
        const double kilobytes = static_cast<double>(request.bytes) / 1024.0;
        path += request.targetMs * (otherDataCentreShare + otherDataCentreSharePerKb * kilobytes);
    }
    return path;
}

// The run time by which a worker is compared with others: `typicalMs` unless it differs by more than chance.
double comparedRunMs(double runMs, double typicalMs)
{
    const bool isChance = runMs > typicalMs * (1.0 - fastRunChance) && runMs < typicalMs * (1.0 + slowRunChance);
    return isChance ? typicalMs : runMs;
}

struct scored_worker
{
    const placed_worker *worker = nullptr;
    double score = 0;
    double wait = 0;
    double run = 0;
    bool isRefusal = false; // the worker's node is expected to refuse the request
};

scored_worker scoreOf(const placement_state &state,
                      const placed_worker &worker,
                      const placement_request &request,
                      double typicalMs,
                      time_point now)
{
    const bool isCold = worker.entry.warmUpUntil > now;
    scored_worker scored{&worker};
    scored.run = knownRunMs(worker, request.route, now).value_or(typicalMs * (isCold ? coldFactor : 1.0));
    const double slowdownWeight = std::exp2(-msBetween(worker.reportAt, now) / reportHalfLifeMs);
    scored.run *= 1.0 + (worker.report.slowdown - 1.0) * slowdownWeight * 0.5;
    scored.wait = waitMs(worker, request.priority, scored.run, now);
    scored.score = scored.wait + comparedRunMs(scored.run, typicalMs) + crowdingMs(worker, scored.run);
    scored.score += pathMs(state, worker, request, now);
    const bool isLate = scored.wait + scored.run > request.targetLeftMs;
    const bool isLast = isFinalAttempt(request.targetLeftMs, request.timeLeftMs, worker.report.meanActiveRunMs);
    scored.isRefusal = !isLast && isLate && scored.wait > lateWaitRuns * scored.run;
    scored.score += worker.report.failureShare * failurePenalty * std::max(request.targetMs, scored.run);
    return scored;
}

// Draws two of the workers that are about as good as the best and takes the better one. Those of the own data centre go
// first.
scored_worker
drawNear(const placement_state &state, const std::vector<scored_worker> &scored, random_generator &generator)
{
    const double best = std::ranges::min(scored, {}, &scored_worker::score).score;
    const auto isNear = [&](const scored_worker &candidate) {
        return candidate.score <= best * (1.0 + drawShare);
    };
    const auto isNearAndOwn = [&](const scored_worker &candidate) {
        return isNear(candidate) && candidate.worker->entry.dataCentre == state.dataCentre;
    };
    std::vector<scored_worker> near;
    std::ranges::copy_if(scored, std::back_inserter(near), isNearAndOwn);
    if (near.empty()) {
        std::ranges::copy_if(scored, std::back_inserter(near), isNear);
    }
    std::uniform_int_distribution<std::size_t> draw(0, near.size() - 1);
    const scored_worker &first = near[draw(generator)];
    const scored_worker &second = near[draw(generator)];
    return second.score < first.score ? second : first;
}

std::optional<double> longestWait(const std::vector<scored_worker> &scored, const scored_worker &chosen)
{
    std::optional<double> secondScore;
    for (const scored_worker &candidate : scored) {
        if (candidate.worker != chosen.worker && (!secondScore || candidate.score < *secondScore)) {
            secondScore = candidate.score;
        }
    }
    if (!secondScore) {
        return std::nullopt;
    }
    const double worthHandingBack = *secondScore - (chosen.score - chosen.wait) + handBackMs;
    return std::max(worthHandingBack, chosen.run * leastHandBackRuns);
}

} // namespace

void setWorkers(placement_state &state, const std::string &service, std::vector<worker_entry> workers)
{
    std::ranges::sort(workers, {}, &worker_entry::nodeId);
    service_placement &placement = state.services[service];
    std::vector<placed_worker> placed;
    for (worker_entry &entry : workers) {
        placed_worker *known = findWorker(state, service, entry.nodeId);
        if (known != nullptr && known->entry.process == entry.process) {
            known->entry = std::move(entry);
            placed.push_back(std::move(*known));
        } else {
            placed_worker added;
            added.entry = std::move(entry);
            placed.push_back(std::move(added));
        }
    }
    placement.workers = std::move(placed);
}

void recordReport(placement_state &state,
                  const std::string &service,
                  const std::string &nodeId,
                  const worker_report &report,
                  time_point now)
{
    if (placed_worker *worker = findWorker(state, service, nodeId)) {
        worker->report = report;
        worker->reportAt = now;
        worker->sentSinceReport = 0;
        worker->bytesSinceReport = 0;
        worker->avoidances = 0;
    }
}

void recordWorkerRunTime(placement_state &state,
                         const std::string &service,
                         const std::string &nodeId,
                         const std::string &route,
                         double milliseconds,
                         time_point now)
{
    if (placed_worker *worker = findWorker(state, service, nodeId)) {
        worker->runMs[route] = {milliseconds, now};
    }
}

void recordRunTimeLowerBound(placement_state &state,
                             const std::string &service,
                             const std::string &nodeId,
                             const std::string &route,
                             double milliseconds,
                             time_point now)
{
    if (const placed_worker *worker = findWorker(state, service, nodeId)) {
        const double known = knownRunMs(*worker, route, now).value_or(0.0);
        recordWorkerRunTime(state, service, nodeId, route, std::max(known, milliseconds), now);
    }
}

void recordSilentNode(placement_state &state, const std::string &dataCentre, const std::string &nodeId, time_point now)
{
    if (dataCentre != state.dataCentre) {
        data_centre_path &path = state.paths[dataCentre];
        path.silentNodes.insert(nodeId);
        path.silentAt = now;
    }
}

void recordDataCentreContact(placement_state &state, const std::string &dataCentre)
{
    state.paths.erase(dataCentre);
}

bool isCutOff(const placement_state &state, const std::string &dataCentre, time_point now)
{
    const auto found = state.paths.find(dataCentre);
    return found != state.paths.end() && found->second.silentNodes.size() >= silentNodesOfCut
        && now - found->second.silentAt < cutForgotten;
}

placement_choice chooseWorker(const placement_state &state,
                              const std::string &service,
                              const placement_request &request,
                              time_point now,
                              random_generator &generator)
{
    const auto found = state.services.find(service);
    if (found == state.services.end()) {
        return {};
    }
    const double typicalMs = typicalRunMs(found->second, request, now);
    std::vector<scored_worker> scored;
    for (const placed_worker &worker : found->second.workers) {
        const bool isOpen = worker.avoidUntil <= now && !isCutOff(state, worker.entry.dataCentre, now);
        if (isOpen && !request.excluded.contains(worker.entry.nodeId)) {
            scored.push_back(scoreOf(state, worker, request, typicalMs, now));
        }
    }
    if (scored.empty()) {
        return {};
    }
    const bool isAnyTaking = std::ranges::any_of(scored, std::logical_not<>(), &scored_worker::isRefusal);
    std::erase_if(scored, [&](const scored_worker &candidate) {
        return isAnyTaking && candidate.isRefusal;
    });
    const scored_worker chosen = drawNear(state, scored, generator);
    placement_choice choice{chosen.worker->entry.nodeId, chosen.score, chosen.wait, chosen.run, typicalMs};
    choice.longestWaitMs = longestWait(scored, chosen);
    return choice;
}

void recordSentRequest(placement_state &state, const std::string &service, const std::string &nodeId, std::size_t bytes)
{
    if (placed_worker *worker = findWorker(state, service, nodeId)) {
        ++worker->sentSinceReport;
        worker->bytesSinceReport += static_cast<double>(bytes) + headBytes;
    }
}

void startBackoff(placement_state &state, const std::string &service, const std::string &nodeId, time_point now)
{
    if (placed_worker *worker = findWorker(state, service, nodeId)) {
        const auto length = std::min<milliseconds>(avoidFirst * (1U << std::min(worker->avoidances, 8U)), avoidLast);
        ++worker->avoidances;
        worker->avoidUntil = now + length;
    }
}

void pause(
    placement_state &state, const std::string &service, const std::string &nodeId, milliseconds length, time_point now)
{
    if (placed_worker *worker = findWorker(state, service, nodeId)) {
        worker->avoidUntil = std::max(worker->avoidUntil, now + length);
    }
}

} // namespace pistachioquay
