// Detects requests that crash workers and refuses them, without refusing the harmless requests that ran beside them.
//
//   const fingerprint request = fingerprintOf(method, path, idempotencyKey, firstBytesOfBody);
//   switch (mayRun(state, running, request, unixMs)) { ... }               // before each run on the node's worker
//   const crash_report report = reportCrash(state, id, running, unixMs);   // the worker died
//   hold_back hold = beginHoldBack(otherNodesOfService, now);              // then send the report to them
//   const auto changed = recordCompleted(state, request, unixMs);          // the worker responded: gossip `changed`
//   mergeReports(state, reports, unixMs);                                  // from other nodes
//
// Rule:
//
// 1. All requests in flight when a worker dies are suspects of that crash. A suspect is cleared when a request with its
//    fingerprint completes with a response.
// 2. A node runs a suspect of `isolateFrom` crashes or more only while it runs no other suspect (`mayRun`). If its
//    worker then dies, the crash report marks the suspect as isolated. Only crashes in sequence count (`crashesOf`):
//    two copies of a request that run when several workers end together are one piece of evidence, not two. With
//    `isolateFrom` 1, the second crash identifies its cause. With 2 it is the third one, but the requests that were cut
//    by the crash of a busy worker run side by side elsewhere, and may be cut there by another cause.
// 3. A crash C identifies its isolated suspect as the cause if that suspect is also an uncleared suspect of another
//    crash, and no other suspect of C is. Another crash counts for a suspect only if it happened before C (or at most
//    `clockMarginMs` after C, because clocks differ) or if the suspect was isolated in it. The identified request is
//    quarantined until `quarantineMs` after C.
//
// Hence an isolated crash identifies exactly one request. Once its quarantine has ended, a request is still a suspect
// for `memoryMs`: it runs once more, isolated, and either completes and is cleared or is quarantined again by this one
// crash. While all crashes have the same cause, a harmless request is never identified: the cause is a suspect of each
// crash and is never cleared, so point 3 finds it beside the harmless request, in whatever order reports arrive. With
// two causes, a harmless request is identified only if it was in flight at the first crash of each cause and did not
// complete in between. The next crash of the second cause, or one completed request with the same fingerprint, lifts
// that quarantine.
//
// A caller that sends the request again at once through another node must not crash a third worker. Therefore the proxy
//
// - computes the fingerprint before it sends the first byte to the worker,
// - after a crash sends the report to all nodes of the service, including those of other data centres that received
//   spillover traffic,
// - holds back the responses to all requests of the crash until all these nodes have acknowledged the report, for at
//   most `maxHoldBack`; a node that cannot be reached in that time may run the request once more,
// - neither retries nor hedges a suspect before that, and afterwards retries it by itself only if it is idempotent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"

namespace pistachioquay {

inline constexpr std::int64_t quarantineMs = 600'000;

// Rules in which the modes of the node differ.
struct quarantine_rules
{
    std::uint32_t isolateFrom = 1; // crashes from which on a suspect runs without other suspects
    std::int64_t memoryMs = quarantineMs; // how long a crash is remembered; at least `quarantineMs`

    friend auto operator<=>(const quarantine_rules &, const quarantine_rules &) = default;
};

inline constexpr std::int64_t clockMarginMs = 1'000; // maximum difference between the clocks of two nodes
inline constexpr std::size_t fingerprintBodyBytes = 65'536;
inline constexpr std::size_t maxReports = 256; // per service; the newest are kept
inline constexpr std::size_t maxSuspects = 256; // per report
inline constexpr milliseconds maxHoldBack{500};

using fingerprint = hash128;

// fingerprintOf identifies a request by method, path with query, `Idempotency-Key` and the start of its body (at most
// `fingerprintBodyBytes` of it). Thread safe.
fingerprint fingerprintOf(std::string_view method,
                          std::string_view path,
                          std::string_view idempotencyKey,
                          std::string_view bodyStart);

// Request that was in flight at a crash.
struct suspect
{
    fingerprint request;
    bool isCleared = false; // a request with the fingerprint has completed
    std::uint32_t crashesBefore = 0; // see `cut_request`

    friend bool operator==(const suspect &, const suspect &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, isCleared, crashesBefore);
    }
};

// One crash of one worker. Reports of the same crash have the same `id`, and are merged.
struct crash_report
{
    hash128 id;
    // By the clock that all functions get the present time of: the wall clock, or a clock of the node alone if reports
    // are sent with their age. The merge of reports keeps the earliest time, which the least delay has shifted.
    std::int64_t crashedAtMs = 0;
    std::vector<suspect> suspects; // sorted by request, without duplicates
    bool hasIsolated = false;
    fingerprint isolated; // if `hasIsolated`: the only request in flight that was a suspect when it began

    friend bool operator==(const crash_report &, const crash_report &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, crashedAtMs, suspects, hasIsolated, isolated);
    }
};

// Whether a request is suspected of crashing workers.
enum class suspicion : std::uint8_t
{
    None,
    Suspect, // uncleared suspect of a recent crash
    Quarantined, // identified as the cause of a recent crash
};

namespace internal {

// What the reports say about one fingerprint. Times are 0 if no report makes it a suspect or quarantines it.
struct fingerprint_status
{
    fingerprint request;
    std::uint32_t crashes = 0; // see `crashesOf`
    std::int64_t suspectUntilMs = 0;
    std::int64_t quarantinedUntilMs = 0;
};

} // namespace internal

// Crashes of one service that a node knows of. Nodes with the same reports have the same state.
struct quarantine_state
{
    quarantine_rules rules;
    std::map<hash128, crash_report> reports; // by `id`
    std::vector<internal::fingerprint_status> statuses; // derived from `reports`, sorted by request
    // Derived from `reports`: equal for nodes with the same reports, whatever their clocks; 0 without reports.
    std::uint64_t digest = 0;
};

// suspicionOf returns the suspicion against a request. Cheap while there are no reports. Not thread safe.
suspicion suspicionOf(const quarantine_state &state, const fingerprint &request, std::int64_t nowMs);

// quarantinedFor returns the time until the quarantine of a request ends; 0 if it is not quarantined. Not thread safe.
std::int64_t quarantinedFor(const quarantine_state &state, const fingerprint &request, std::int64_t nowMs);

// Whether a request may run on this worker now.
enum class run_decision : std::uint8_t
{
    Run,
    RunElsewhere, // another suspect is running on this worker: respond `not-run`; another worker may run the request
    Refuse, // quarantined: respond `not-run` with the reason; no worker may run the request
};

// mayRun decides whether a request may start while the requests in `running` run on the worker. Not thread safe.
run_decision mayRun(const quarantine_state &state,
                    std::span<const fingerprint> running,
                    const fingerprint &request,
                    std::int64_t nowMs);

// A request that was in flight at a crash.
struct cut_request
{
    fingerprint request;
    std::uint32_t crashesBefore = 0; // `crashesOf` it when it began to run

    friend auto operator<=>(const cut_request &, const cut_request &) = default;
};

// crashesOf returns the number of crashes in sequence of which a request is an uncleared suspect: in each, it began to
// run after the one before. Crashes of several copies at the same time count as one. Not thread safe.
std::uint32_t crashesOf(const quarantine_state &state, const fingerprint &request);

// reportCrash records that the worker died while the requests in `cut` were in flight, and returns the report for the
// other nodes. `id` is random. If no request was in flight, the report has no suspects and is not recorded. Not thread
// safe.
crash_report
reportCrash(quarantine_state &state, const hash128 &id, std::span<const cut_request> cut, std::int64_t nowMs);

// The same for requests about which nothing new has become known since they began.
crash_report
reportCrash(quarantine_state &state, const hash128 &id, std::span<const fingerprint> running, std::int64_t nowMs);

// recordCompleted clears a request that completed with a response, and returns the reports that this changed, for the
// other nodes. Not thread safe.
std::vector<crash_report> recordCompleted(quarantine_state &state, const fingerprint &request, std::int64_t nowMs);

// mergeReports merges reports of other nodes into the state, then removes expired reports and all but the newest
// `maxReports`. Returns true if the state changed. Reports may arrive in any order and any number of times. Not thread
// safe.
bool mergeReports(quarantine_state &state, std::span<const crash_report> reports, std::int64_t nowMs);

// Acknowledgements of a crash report that the responses to the failed requests wait for.
struct hold_back
{
    std::vector<std::string> waitingFor; // ids of nodes that have not acknowledged the report
    time_point until; // the response is sent then at the latest
};

// beginHoldBack starts to wait for acknowledgements from `nodeIds`, for at most `maxHoldBack`. Thread safe.
hold_back beginHoldBack(std::span<const std::string_view> nodeIds, time_point now);

// acknowledgeReport records that a node has merged the report. Thread safe for different holds.
void acknowledgeReport(hold_back &hold, std::string_view nodeId);

// mayRespond returns whether the response may be sent. Thread safe for different holds.
bool mayRespond(const hold_back &hold, time_point now);

} // namespace pistachioquay
