// Finds requests that crash workers, and refuses them without condemning those that ran beside them.
//
//   const fingerprint request = fingerprintOf(method, path, idempotencyKey, firstBytesOfBody);
//   switch (mayRun(state, running, request, unixMs)) { ... }               // before each run, inbound
//   const crash_report report = reportCrash(state, id, running, unixMs);   // the worker died
//   hold_back hold = beginHoldBack(otherNodesOfService, now);              // then send the report to them
//   const auto changed = recordCompleted(state, request, unixMs);            // the worker responded: gossip `changed`
//   mergeReports(state, reports, unixMs);                                  // from other nodes
//
// Rule:
// 1. All requests in flight when a worker dies are suspects of that crash. A suspect is cleared when a request with its
//    fingerprint runs to its response.
// 2. A node runs a suspect only while it runs no other suspect (`mayRun`). If the worker then dies, the report says
// that
//    the suspect was isolated.
// 3. A crash C names its isolated suspect f if f is an uncleared suspect of another crash too, and no other suspect of
// C
//    is an uncleared suspect of a crash up to `clockMargin` after C, or isolated in another crash. A named request is
//    quarantined until `quarantineMs` after C.
// So the second crash of a request that is sent again names exactly one. An innocent request is never named while all
// crashes have one cause: that cause is in each of its crashes and is never cleared, so point 3 finds it beside the
// innocent one, whatever the order in which reports arrive. With two causes an innocent request is named only if it was
// in flight at both first crashes and did not complete in between; the next crash of the second cause, or one completed
// copy of the innocent request, lifts it.
//
// A caller that sends the request again at once, through another node, must not crash a third worker. For that the
// proxy
// - computes the fingerprint before it sends the first byte to the worker,
// - on a crash sends the report to all nodes of the service (those of other data centres that took spilled work too),
// - holds back the response to every request of the crash until all of them have acknowledged it, at most
//   `maxHoldBack`; a node that cannot be reached in that time may run the request once more,
// - neither retries nor hedges a suspect before the hold has ended, and lets it run again without its caller only if it
//   is idempotent.
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
inline constexpr std::int64_t clockMarginMs = 1'000; // difference between the clocks of two nodes
inline constexpr std::size_t fingerprintBodyBytes = 65'536;
inline constexpr std::size_t maxReports = 256; // the newest are kept
inline constexpr std::size_t maxSuspects = 256; // per report
inline constexpr milliseconds maxHoldBack{500};

using fingerprint = hash128;

// fingerprintOf identifies a request by method, path with query, `Idempotency-Key` and the start of its body (at most
// `fingerprintBodyBytes` of it). Thread safe.
fingerprint fingerprintOf(std::string_view method,
                          std::string_view path,
                          std::string_view idempotencyKey,
                          std::string_view bodyStart);

struct suspect
{
    fingerprint request;
    bool isCleared = false;

    friend bool operator==(const suspect &, const suspect &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, isCleared);
    }
};

// One crash of one worker. Reports with the same id merge.
struct crash_report
{
    hash128 id;
    std::int64_t atMs = 0; // wall clock of the reporting node
    std::vector<suspect> suspects; // sorted by request, without duplicates
    bool hasIsolated = false;
    fingerprint isolated; // the only request that was a suspect already, if `hasIsolated`

    friend bool operator==(const crash_report &, const crash_report &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, atMs, suspects, hasIsolated, isolated);
    }
};

enum class suspicion : std::uint8_t
{
    None,
    Suspect,
    Quarantined,
};

namespace internal {

struct standing
{
    fingerprint request;
    std::int64_t suspectUntilMs = 0;
    std::int64_t quarantinedUntilMs = 0;
};

} // namespace internal

// What a node knows of crashes of one service. It is equal on all nodes that have the same reports.
struct quarantine_state
{
    std::map<std::pair<std::int64_t, hash128>, crash_report> reports; // oldest first
    std::vector<internal::standing> standings; // derived, sorted by request
};

// suspicionOf returns how a request stands. Not thread safe; costs nothing while there are no reports.
suspicion suspicionOf(const quarantine_state &state, const fingerprint &request, std::int64_t nowMs);

enum class run_decision : std::uint8_t
{
    Run,
    RunElsewhere, // not now on this worker, because another suspect runs there: `not-run`, another worker may run it
    Refuse, // quarantined: `not-run` with the reason, on no worker
};

// mayRun decides whether a request may start beside the requests that run on the worker. Not thread safe.
run_decision mayRun(const quarantine_state &state,
                    std::span<const fingerprint> running,
                    const fingerprint &request,
                    std::int64_t nowMs);

// reportCrash records that the worker died while `running` was in flight, and returns the report for the other nodes.
// Not thread safe. `id` is random. The report of a crash with nothing in flight has no suspects and is not recorded.
crash_report
reportCrash(quarantine_state &state, const hash128 &id, std::span<const fingerprint> running, std::int64_t nowMs);

// recordCompleted clears a request that ran to its response, and returns the reports that changed, for the other nodes.
// Not thread safe.
std::vector<crash_report> recordCompleted(quarantine_state &state, const fingerprint &request, std::int64_t nowMs);

// mergeReports takes over reports of other nodes, drops expired ones and keeps the newest `maxReports`; true if the
// state changed. Not thread safe. The order and the number of deliveries do not matter.
bool mergeReports(quarantine_state &state, std::span<const crash_report> reports, std::int64_t nowMs);

// A response that waits until the other nodes know of the crash.
struct hold_back
{
    std::vector<std::string> waitingFor;
    time_point until;
};

// beginHoldBack starts to wait for the acknowledgement of `nodeIds`. Thread safe.
hold_back beginHoldBack(std::span<const std::string_view> nodeIds, time_point now);

// acknowledgeReport notes that a node has merged the report. Thread safe for different holds.
void acknowledgeReport(hold_back &hold, std::string_view nodeId);

// mayRespond tells whether the held response may be sent. Thread safe for different holds.
bool mayRespond(const hold_back &hold, time_point now);

} // namespace pistachioquay
