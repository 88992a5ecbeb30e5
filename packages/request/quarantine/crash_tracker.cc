#include "request/quarantine/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace pistachioquay {

namespace {

void removeOldLosses(crash_tracker &tracker, std::int64_t nowMs)
{
    std::erase_if(tracker.recentLosses, [&](const lost_request &lost) {
        return nowMs - lost.lostAtMs > lossWindowMs;
    });
}

// Returns the fingerprints of the requests that run on the living worker.
std::vector<fingerprint> runningRequests(const crash_tracker &tracker)
{
    std::vector<fingerprint> requests;
    for (const auto &[id, run] : tracker.running) {
        if (!run.isReported) {
            requests.push_back(run.request.request);
        }
    }
    return requests;
}

// Forgets the losses of a request that has completed elsewhere.
void forgetLosses(crash_tracker &tracker, const fingerprint &request)
{
    std::erase_if(tracker.recentLosses, [&](const lost_request &lost) {
        return lost.request.request == request;
    });
}

} // namespace

run_decision
tryBegin(crash_tracker &tracker, const std::string &requestId, const fingerprint &request, std::int64_t nowMs)
{
    const run_decision decision = mayRun(tracker.quarantine, runningRequests(tracker), request, nowMs);
    if (decision == run_decision::Run) {
        tracker.running[requestId] = {{request, crashesOf(tracker.quarantine, request)}, false, false};
    }
    return decision;
}

void recordSent(crash_tracker &tracker, const std::string &requestId)
{
    if (const auto found = tracker.running.find(requestId); found != tracker.running.end()) {
        found->second.isSent = true;
    }
}

std::vector<crash_report> complete(crash_tracker &tracker, const std::string &requestId, std::int64_t nowMs)
{
    const auto found = tracker.running.find(requestId);
    if (found == tracker.running.end()) {
        return {};
    }
    const fingerprint request = found->second.request.request;
    tracker.running.erase(found);
    forgetLosses(tracker, request);
    return recordCompleted(tracker.quarantine, request, nowMs);
}

bool mergeCrashReports(crash_tracker &tracker, std::span<const crash_report> reports, std::int64_t nowMs)
{
    for (const crash_report &report : reports) {
        for (const suspect &each : report.suspects) {
            if (each.isCleared) {
                forgetLosses(tracker, each.request);
            }
        }
    }
    return mergeReports(tracker.quarantine, reports, nowMs);
}

void abandon(crash_tracker &tracker, const std::string &requestId)
{
    tracker.running.erase(requestId);
}

void recordLost(crash_tracker &tracker, const std::string &requestId, std::int64_t nowMs)
{
    const auto found = tracker.running.find(requestId);
    if (found == tracker.running.end()) {
        return;
    }
    removeOldLosses(tracker, nowMs);
    if (!found->second.isReported) {
        if (tracker.recentLosses.size() >= maxRecentLosses) {
            tracker.recentLosses.erase(tracker.recentLosses.begin());
        }
        tracker.recentLosses.push_back({found->second.request, nowMs});
    }
    tracker.running.erase(found);
}

bool isReported(const crash_tracker &tracker, const std::string &requestId)
{
    const auto found = tracker.running.find(requestId);
    return found != tracker.running.end() && found->second.isReported;
}

std::optional<crash_report> recordWorkerCrash(crash_tracker &tracker, const hash128 &reportId, std::int64_t nowMs)
{
    for (auto &[id, run] : tracker.running) {
        if (run.isSent && !run.isReported) {
            tracker.recentLosses.push_back({run.request, nowMs});
            run.isReported = true;
        }
    }
    return recordWorkerRestart(tracker, reportId, nowMs);
}

std::optional<crash_report> recordWorkerRestart(crash_tracker &tracker, const hash128 &reportId, std::int64_t nowMs)
{
    removeOldLosses(tracker, nowMs);
    std::vector<cut_request> cut;
    std::ranges::transform(tracker.recentLosses, std::back_inserter(cut), &lost_request::request);
    tracker.recentLosses.clear();
    if (cut.empty()) {
        return std::nullopt;
    }
    return reportCrash(tracker.quarantine, reportId, cut, nowMs);
}

} // namespace pistachioquay
