// Tracks the requests that run on this node's worker to find those that crash it. Makes the quarantine decisions of
// request/quarantine usable from all connection threads. Private to the proxy.
//
//   if (const auto verdict = guard.tryBegin(requestId, requestFingerprint); verdict != run_decision::Run)
//       return refuse(verdict);
//   ...
//   guard.complete(requestId);                     // the worker responded
//   if (guard.recordLostResponse(requestId)) ...   // the worker died, and the other nodes have the report
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/random.h"
#include "request/quarantine/crash_tracker.h"

namespace pistachioquay::internal {

// How the guard detects crashes and reports them to the other nodes. If either is empty, no crash is reported.
struct crash_sources
{
    std::function<bool()> isWorkerPortClosed; // whether the worker's port is closed
    std::function<void(const std::vector<crash_report> &)> broadcast; // returns when the other nodes have the reports
};

// All functions are thread safe.
class crash_guard
{
public:
    explicit crash_guard(crash_sources sources);

    // tryBegin returns whether the request may run now, and if so registers it as running.
    run_decision tryBegin(const std::string &requestId, const fingerprint &requestFingerprint);
    // complete removes a request whose worker responded. This clears it if it was a suspect.
    void complete(const std::string &requestId);
    // abandon removes a request that ended in any other way; unknown ids are ignored.
    void abandon(const std::string &requestId);
    // recordLostResponse returns whether the request was in flight when the worker died. If so, it returns only after
    // the other nodes of the service have the crash report, or after `maxHoldBack`: when the caller retries through
    // another node, that node knows the request as a suspect.
    bool recordLostResponse(const std::string &requestId);
    // merge stores crash reports of other nodes.
    void merge(std::span<const crash_report> reports);

private:
    std::vector<crash_report> reportRunning(const std::string &requestId);

    crash_sources m_sources;
    std::mutex m_mutex; // guards all members below
    std::condition_variable m_changed;
    crash_tracker m_tracker;
    unsigned m_pendingBroadcasts = 0; // reports that are being sent to the other nodes
    random_generator m_generator = seededFromDevice();
};

} // namespace pistachioquay::internal
