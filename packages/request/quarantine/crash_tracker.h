// Tracks the requests that run on a worker, and attributes the crash of the worker to those that it cut.
//
//   switch (tryBegin(tracker, id, requestFingerprint, nowMs)) { ... }      // before the request is sent to the worker
//   recordSent(tracker, id);                                               // its connection is open
//   const auto changed = complete(tracker, id, nowMs);                     // the worker responded
//   recordLost(tracker, id, nowMs);                                        // its connection closed without a response
//   if (const auto report = recordWorkerCrash(tracker, randomId(generator), nowMs)) ...   // its port is closed
//   if (const auto report = recordWorkerRestart(tracker, randomId(generator), nowMs)) ... // a new process took its
//   place
//
// A lost connection alone is no evidence against a request: workers and links lose single responses without a crash.
// Only once the worker is known to have crashed, because its port is closed or a new process has taken its place, all
// requests become suspects that ran then or were lost within `lossWindowMs` before. Each is part of one report only.
//
// Not thread safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "request/quarantine/quarantine.h"

namespace pistachioquay {

inline constexpr std::int64_t lossWindowMs = 3'000; // a crash is noticed at the next connect or the next heartbeat
inline constexpr std::size_t maxRecentLosses = 256; // the newest are kept

struct tracked_run
{
    cut_request request;
    bool isSent = false; // a connection to the worker was open, and the request may have reached it
    bool isReported = false; // already part of a crash report

    friend bool operator==(const tracked_run &, const tracked_run &) = default;
};

struct lost_request
{
    cut_request request;
    std::int64_t lostAtMs = 0;

    friend bool operator==(const lost_request &, const lost_request &) = default;
};

struct crash_tracker
{
    quarantine_state quarantine;
    std::map<std::string, tracked_run> running; // by request id
    std::vector<lost_request> recentLosses; // oldest first; not part of a report yet
};

// tryBegin returns whether the request may run now, and if so registers it as running.
run_decision
tryBegin(crash_tracker &tracker, const std::string &requestId, const fingerprint &request, std::int64_t nowMs);

// recordSent records that a registered request may have reached the worker from now on.
void recordSent(crash_tracker &tracker, const std::string &requestId);

// complete removes a request whose worker responded, and clears it if it was a suspect. Returns the reports that this
// changed, for the other nodes.
std::vector<crash_report> complete(crash_tracker &tracker, const std::string &requestId, std::int64_t nowMs);

// mergeCrashReports merges reports of other nodes like `mergeReports`. A request that has completed elsewhere since it
// was lost here is no suspect of a crash that is noticed later.
bool mergeCrashReports(crash_tracker &tracker, std::span<const crash_report> reports, std::int64_t nowMs);

// abandon removes a request that ended in any other way, without evidence; unknown ids are ignored.
void abandon(crash_tracker &tracker, const std::string &requestId);

// recordLost removes a request whose connection closed without a response, and remembers it for `lossWindowMs`.
void recordLost(crash_tracker &tracker, const std::string &requestId, std::int64_t nowMs);

// isReported returns whether a running request is part of a crash report.
bool isReported(const crash_tracker &tracker, const std::string &requestId);

// recordWorkerCrash makes a report of the requests that the crash has cut; none if there are no such requests.
std::optional<crash_report> recordWorkerCrash(crash_tracker &tracker, const hash128 &reportId, std::int64_t nowMs);

// recordWorkerRestart does the same once a new process of the worker has been seen: only the requests that were lost
// before belong to the crash, since those that still run may run on the new process.
std::optional<crash_report> recordWorkerRestart(crash_tracker &tracker, const hash128 &reportId, std::int64_t nowMs);

} // namespace pistachioquay
