#include "request/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <ranges>

#include "base/milliseconds.h"
#include "request/link_room/link_booking.h"

namespace pistachioquay {

namespace {

candidate_worker *findWorker(placement_state &state, const std::string &service, const std::string &nodeId)
{
    const auto found = state.services.find(service);
    if (found == state.services.end()) {
        return nullptr;
    }
    const auto worker = std::ranges::find(
        found->second.workers,
        nodeId,
        [](const candidate_worker &candidate) -> const auto & { return candidate.entry.nodeId; });
    return worker == found->second.workers.end() ? nullptr : &*worker;
}

std::optional<double> freshRunMs(const candidate_worker &worker, const std::string &route, time_point now)
{
    const auto found = worker.runMs.find(route);
    if (found == worker.runMs.end() || now - found->second.second > runTimeExpiry) {
        return std::nullopt;
    }
    return found->second.first;
}

// Returns the median over the workers with a recent run time of the route, so that a few slow workers do not raise it.
double typicalRunMs(const service_placement &service, const placement_request &request, time_point now)
{
    std::vector<double> known;
    for (const candidate_worker &worker : service.workers) {
        if (const auto runMs = freshRunMs(worker, request.route, now)) {
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

// Returns the number of requests that run at once on the worker.
double runnableOn(const candidate_worker &worker)
{
    const std::uint32_t slots = std::max<std::uint32_t>(worker.entry.slots, 1);
    return worker.report.usableSlots > 0 ? std::min(worker.report.usableSlots, slots) : slots;
}

std::size_t priorityIndex(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, reportedPriorities - 1);
}

double reportWeight(const candidate_worker &worker, time_point now)
{
    return std::exp2(-msBetween(worker.reportAt, now) / reportHalfLifeMs);
}

// Returns the expected wait at a worker. As its report ages, the wait approaches `otherwiseMs`.
double waitMs(const candidate_worker &worker, std::uint32_t priority, double runMs, double otherwiseMs, time_point now)
{
    const double weight = reportWeight(worker, now);
    const double slots = runnableOn(worker);
    const double occupied = worker.report.running * weight + worker.sentSinceReport;
    const double ownQueue = std::max(0.0, occupied - slots) * runMs / slots;
    return worker.report.waitMs.at(priorityIndex(priority)) * weight + otherwiseMs * (1.0 - weight) + ownQueue;
}

std::size_t roomClass(const placement_request &request)
{
    return request.origin == request_origin::Worker ? reportedPriorities : priorityIndex(request.priority);
}

// Returns the estimate at a later time: what was refused and waited is forgotten by and by.
room_estimate faded(const room_estimate &estimate, time_point now)
{
    const double weight = std::exp2(-msBetween(estimate.updatedAt, now) / roomHalfLifeMs);
    return {1.0 - (1.0 - estimate.acceptedShare) * weight, estimate.waitMs * weight, now};
}

// Returns what is known about the room for a request in another data centre; the default if nothing is.
room_estimate roomIn(const placement_state &state,
                     const std::string &service,
                     const std::string &dataCentre,
                     const placement_request &request,
                     time_point now)
{
    const auto found = state.room.find({service, dataCentre});
    return found == state.room.end() ? room_estimate{} : faded(found->second.at(roomClass(request)), now);
}

double contentionMs(const candidate_worker &worker, double runMs)
{
    const double slots = std::max<std::uint32_t>(worker.entry.slots, 1);
    const double used = std::min(1.0, (worker.report.running + worker.sentSinceReport) / slots);
    return runMs * contentionShare * used * used;
}

// Returns the transfer time of `bytes` on a link of which the share `load` is in use.
double transferMs(double bytes, double bytesPerMs, double load)
{
    return bytesPerMs > 0 ? bytes / (bytesPerMs * std::max(minLinkShare, 1.0 - load)) : 0.0;
}

double networkCostMs(const placement_state &state,
                     const candidate_worker &worker,
                     const placement_request &request,
                     time_point now)
{
    if (worker.entry.nodeId == state.nodeId) {
        return 0;
    }
    const double bytes = static_cast<double>(request.bytes) + headerBytes;
    const double weight = std::exp2(-msBetween(worker.reportAt, now) / reportHalfLifeMs);
    const double queued = worker.bytesSinceReport * weight;
    double cost = transferMs(bytes, state.linkBytesPerMs, state.linkLoad)
        + transferMs(bytes + queued, worker.entry.linkBytesPerMs, worker.report.linkLoad * weight);
    const auto response = state.responseBytes.find(request.route);
    const double responseBytes = response == state.responseBytes.end() ? 0.0 : response->second;
    if (responseBytes > static_cast<double>(largeResponseBytes)) {
        cost += worker.report.transferWaitMs * weight + transferMs(responseBytes, worker.entry.linkBytesPerMs, 0);
    }
    if (worker.entry.dataCentre != state.dataCentre) {
        const double kilobytes = (bytes + responseBytes) / 1024.0;
        const double share = otherDataCentreShare + state.trafficCostPerKb * kilobytes;
        cost += request.targetMs * std::min(share, maxOtherDataCentreShare);
    }
    return cost;
}

// Returns the run time for comparing a worker with others: `typicalMs` unless the difference is larger than noise.
double noiseFilteredRunMs(double runMs, double typicalMs)
{
    const bool isNoise = runMs > typicalMs * (1.0 - fastNoiseShare) && runMs < typicalMs * (1.0 + slowNoiseShare);
    return isNoise ? typicalMs : runMs;
}

struct scored_worker
{
    const candidate_worker *worker = nullptr;
    double score = 0;
    double wait = 0;
    double run = 0;
    bool isRefusalExpected = false; // the worker's node would probably refuse the request
};

scored_worker scoreOf(const placement_state &state,
                      const candidate_worker &worker,
                      const placement_request &request,
                      double typicalMs,
                      double dataCentreWaitMs,
                      time_point now)
{
    const bool isWarmingUp = worker.entry.warmUpUntil > now;
    scored_worker scored{&worker};
    scored.run = freshRunMs(worker, request.route, now).value_or(typicalMs * (isWarmingUp ? warmUpRunFactor : 1.0));
    const double slowdownWeight = std::exp2(-msBetween(worker.reportAt, now) / reportHalfLifeMs);
    scored.run *= 1.0 + (worker.report.slowdown - 1.0) * slowdownWeight * 0.5;
    scored.wait = waitMs(worker, request.priority, scored.run, dataCentreWaitMs, now);
    scored.score = scored.wait + noiseFilteredRunMs(scored.run, typicalMs) + contentionMs(worker, scored.run);
    scored.score += networkCostMs(state, worker, request, now);
    scored.score += request.targetMs * lateCostTargets * lateProbability(scored.wait, scored.run, request.targetLeftMs);
    const bool isLate = scored.wait + scored.run * onTimeRunMargin > request.targetLeftMs;
    const double retryMs = retryRunMs(worker.report.meanActiveRunMs, scored.run, typicalMs);
    const bool isFinal = request.origin == request_origin::Unknown
        ? isFinalAttempt(request.targetLeftMs, request.timeLeftMs, retryMs)
        : request.origin == request_origin::Worker;
    scored.isRefusalExpected = !isFinal && isLate && scored.wait > maxLateWaitRuns * scored.run;
    scored.score += worker.report.failureShare * failurePenalty * std::max(request.targetMs, scored.run);
    return scored;
}

// Draws two workers at random among those whose score is close to the best, and returns the better one. Workers of the
// own data centre are preferred.
scored_worker
pickFromBest(const placement_state &state, const std::vector<scored_worker> &scored, random_generator &generator)
{
    const double best = std::ranges::min(scored, {}, &scored_worker::score).score;
    const auto isTied = [&](const scored_worker &candidate) {
        return candidate.score <= best * (1.0 + tieShare);
    };
    const auto isTiedAndLocal = [&](const scored_worker &candidate) {
        return isTied(candidate) && candidate.worker->entry.dataCentre == state.dataCentre;
    };
    std::vector<scored_worker> tied;
    std::ranges::copy_if(scored, std::back_inserter(tied), isTiedAndLocal);
    if (tied.empty()) {
        std::ranges::copy_if(scored, std::back_inserter(tied), isTied);
    }
    std::uniform_int_distribution<std::size_t> draw(0, tied.size() - 1);
    const scored_worker &first = tied[draw(generator)];
    const scored_worker &second = tied[draw(generator)];
    return second.score < first.score ? second : first;
}

std::optional<double> handBackThresholdMs(const std::vector<scored_worker> &scored, const scored_worker &chosen)
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
    const double breakEvenWait = *secondScore - (chosen.score - chosen.wait) + handBackCostMs;
    return std::max(breakEvenWait, chosen.run * minHandBackRuns);
}

} // namespace

void setWorkers(placement_state &state, const std::string &service, std::vector<worker_entry> workers)
{
    std::ranges::sort(workers, {}, &worker_entry::nodeId);
    service_placement &placement = state.services[service];
    std::vector<candidate_worker> updated;
    for (worker_entry &entry : workers) {
        candidate_worker *known = findWorker(state, service, entry.nodeId);
        if (known != nullptr && known->entry.process == entry.process) {
            known->entry = std::move(entry);
            updated.push_back(std::move(*known));
        } else {
            candidate_worker added;
            added.entry = std::move(entry);
            updated.push_back(std::move(added));
        }
    }
    placement.workers = std::move(updated);
    std::erase_if(state.room, [&](const auto &item) {
        return item.first.first == service
            && std::ranges::none_of(placement.workers, [&](const candidate_worker &worker) {
                   return worker.entry.dataCentre == item.first.second;
               });
    });
}

worker_report plausibleReport(const worker_report &report)
{
    const auto bounded = [](double value, double low, double high, double otherwise) {
        return std::isfinite(value) ? std::clamp(value, low, high) : otherwise;
    };
    worker_report plausible = report;
    std::ranges::transform(report.waitMs, plausible.waitMs.begin(), [&](double waitMs) {
        return bounded(waitMs, 0, maxReportedMs, 0);
    });
    plausible.failureShare = bounded(report.failureShare, 0, 1, 0);
    plausible.slowdown = bounded(report.slowdown, 1 / maxSlowdown, maxSlowdown, 1);
    plausible.linkLoad = bounded(report.linkLoad, 0, 1, 0);
    plausible.transferWaitMs = bounded(report.transferWaitMs, 0, maxReportedMs, 0);
    plausible.meanActiveRunMs = bounded(report.meanActiveRunMs, 0, maxReportedMs, 0);
    return plausible;
}

void recordReport(placement_state &state,
                  const std::string &service,
                  const std::string &nodeId,
                  const worker_report &report,
                  time_point now)
{
    if (candidate_worker *worker = findWorker(state, service, nodeId)) {
        worker->report = plausibleReport(report);
        worker->reportAt = now;
        worker->sentSinceReport = 0;
        worker->bytesSinceReport = 0;
        worker->backoffCount = 0;
    }
}

void recordResponseSize(placement_state &state, const std::string &route, std::size_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto [found, isNew] = state.responseBytes.try_emplace(route, size);
    if (!isNew) {
        found->second += responseSizeWeight * (size - found->second);
    }
}

void recordWorkerRunTime(placement_state &state,
                         const std::string &service,
                         const std::string &nodeId,
                         const std::string &route,
                         double milliseconds,
                         time_point now)
{
    candidate_worker *worker = findWorker(state, service, nodeId);
    if (worker != nullptr && milliseconds > 0 && milliseconds <= maxReportedMs) {
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
    if (const candidate_worker *worker = findWorker(state, service, nodeId)) {
        const double known = freshRunMs(*worker, route, now).value_or(0.0);
        recordWorkerRunTime(state, service, nodeId, route, std::max(known, milliseconds), now);
    }
}

void recordSilentNode(placement_state &state, const std::string &dataCentre, const std::string &nodeId, time_point now)
{
    if (dataCentre != state.dataCentre) {
        data_centre_status &status = state.dataCentreStatus[dataCentre];
        status.silentNodes.insert(nodeId);
        status.lastSilentAt = now;
    }
}

void recordDataCentreContact(placement_state &state, const std::string &dataCentre)
{
    state.dataCentreStatus.erase(dataCentre);
}

bool isDataCentreUnreachable(const placement_state &state, const std::string &dataCentre, time_point now)
{
    const auto found = state.dataCentreStatus.find(dataCentre);
    return found != state.dataCentreStatus.end() && found->second.silentNodes.size() >= silentNodesUntilUnreachable
        && now - found->second.lastSilentAt < unreachableDuration;
}

void recordRoom(placement_state &state,
                const std::string &service,
                const std::string &nodeId,
                const placement_request &request,
                std::optional<double> waitedMs,
                time_point now)
{
    const candidate_worker *worker = findWorker(state, service, nodeId);
    if (worker == nullptr || worker->entry.dataCentre == state.dataCentre) {
        return;
    }
    room_estimate &estimate = state.room[{service, worker->entry.dataCentre}].at(roomClass(request));
    estimate = faded(estimate, now);
    estimate.acceptedShare += roomOutcomeWeight * ((waitedMs ? 1.0 : 0.0) - estimate.acceptedShare);
    if (waitedMs) {
        estimate.waitMs += roomOutcomeWeight * (std::clamp(*waitedMs, 0.0, maxReportedMs) - estimate.waitMs);
    }
}

bool isDataCentreFull(const placement_state &state,
                      const std::string &service,
                      const std::string &dataCentre,
                      const placement_request &request,
                      time_point now)
{
    return roomIn(state, service, dataCentre, request, now).acceptedShare < fullAcceptedShare;
}

double lateProbability(double waitMs, double runMs, double targetLeftMs)
{
    const double runsLeft = (targetLeftMs - waitMs) / std::max(runMs, 1.0);
    return std::clamp((onTimeRuns - runsLeft) / (onTimeRuns - lateRuns), 0.0, 1.0);
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
    const bool hasLocalWorkers = std::ranges::any_of(found->second.workers, [&](const candidate_worker &worker) {
        return worker.entry.dataCentre == state.dataCentre && worker.entry.isOnTrial == request.isOnTrial
            && worker.backoffUntil <= now;
    });
    std::vector<std::pair<std::string_view, room_estimate>> rooms; // there are few data centres and many workers
    const auto roomOf = [&](const std::string &dataCentre) {
        const auto known = std::ranges::find(rooms, dataCentre, &std::pair<std::string_view, room_estimate>::first);
        if (known != rooms.end()) {
            return known->second;
        }
        return rooms.emplace_back(dataCentre, roomIn(state, service, dataCentre, request, now)).second;
    };
    std::vector<scored_worker> scored;
    for (const candidate_worker &worker : found->second.workers) {
        const std::string &dataCentre = worker.entry.dataCentre;
        const room_estimate room = roomOf(dataCentre);
        const bool isFull = hasLocalWorkers && room.acceptedShare < fullAcceptedShare;
        const bool isAvailable = worker.entry.isOnTrial == request.isOnTrial && worker.backoffUntil <= now && !isFull
            && !isDataCentreUnreachable(state, dataCentre, now);
        if (isAvailable && !request.excluded.contains(worker.entry.nodeId)) {
            scored.push_back(scoreOf(state, worker, request, typicalMs, room.waitMs, now));
        }
    }
    if (scored.empty()) {
        return {};
    }
    const bool isAnyAccepting = std::ranges::any_of(scored, std::logical_not<>(), &scored_worker::isRefusalExpected);
    std::erase_if(scored, [&](const scored_worker &candidate) {
        return isAnyAccepting && candidate.isRefusalExpected;
    });
    const scored_worker chosen = pickFromBest(state, scored, generator);
    placement_choice choice{chosen.worker->entry.nodeId, chosen.score, chosen.wait, chosen.run, typicalMs};
    choice.longestWaitMs = handBackThresholdMs(scored, chosen);
    return choice;
}

void recordSentRequest(placement_state &state, const std::string &service, const std::string &nodeId, std::size_t bytes)
{
    if (candidate_worker *worker = findWorker(state, service, nodeId)) {
        ++worker->sentSinceReport;
        worker->bytesSinceReport += static_cast<double>(bytes) + headerBytes;
    }
}

void startBackoff(placement_state &state, const std::string &service, const std::string &nodeId, time_point now)
{
    if (candidate_worker *worker = findWorker(state, service, nodeId)) {
        const auto length =
            std::min<milliseconds>(initialBackoff * (1U << std::min(worker->backoffCount, 8U)), maxBackoff);
        ++worker->backoffCount;
        worker->backoffUntil = now + length;
    }
}

void pause(
    placement_state &state, const std::string &service, const std::string &nodeId, milliseconds length, time_point now)
{
    if (candidate_worker *worker = findWorker(state, service, nodeId)) {
        worker->backoffUntil = std::max(worker->backoffUntil, now + length);
    }
}

} // namespace pistachioquay
