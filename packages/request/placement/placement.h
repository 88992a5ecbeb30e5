// Chooses the worker of a service for each request: the one that is expected to finish it first, as far as this node
// knows.
//
//   const placement_choice choice = chooseWorker(state, "orders", request, now, generator);
//   if (!choice.nodeId) return refuse();
//   recordSentRequest(state, "orders", *choice.nodeId, bytes);
//
// Load pattern: the workers of a service differ in speed, slow down for a second because of noisy neighbours, and
// receive requests from many nodes at once, each of which has load reports of a different age. Therefore
// - the expected time at a worker is its reported wait plus the run time of the route there;
// - requests beyond those that the worker runs well (`usableSlots`) wait there;
// - a response after the target has little value, so the probability of one counts as `lateCostTargets` targets: a
//   longer wait matters little as long as the target is met, and much when it is missed;
// - a worker that is expected to refuse the request, because it would finish late there behind others, is only used if
//   all workers would: under overload callers retry late, and a slow worker with a free slot can still serve them;
// - requests that this node has sent since the last report count as queued at the worker, and a report loses weight as
//   it ages, so that nodes with the same old report do not all choose the same worker;
// - load reports are older than a typical wait, so a choice includes the wait above which the second best worker is
//   better (`longestWaitMs`): a node whose queue is longer hands the request back at once;
// - measured run times are means of a few runs and reports are old, so the worker that looks best looks best to all
//   nodes, and need not be: two workers with nearly the best score are drawn at random and the better one is chosen;
// - among workers with nearly the best score, those of the own data centre are preferred;
// - another data centre costs a share of the target latency that grows with the sizes of request and response, since
//   traffic between data centres is paid for: it is chosen when the wait here is longer by that much, so that only the
//   excess of a data centre leaves it;
// - the transfer time of a body on the links of both VMs counts, and grows with their load: a fast worker behind a slow
//   link does not get all uploads;
// - reports from other data centres are older than those from the own one. As such a report ages, the wait at its
// worker
//   approaches what this node's requests have lately waited in that data centre, rather than none;
// - a data centre that has just refused most requests of a service for lack of room gets no more of them for a moment
//   (`isDataCentreFull`), so that the node where the caller entered refuses at once what no data centre can serve;
// - when several nodes of another data centre are silent and none of its nodes has been heard from since, the data
//   centre counts as unreachable: its workers are not tried one by one, each until its timeout;
// - a worker whose requests fail gets a penalty in proportion to its failure rate, and a worker that was draining or
//   could not be reached is skipped for a backoff time that grows from `initialBackoff`.
//
// All functions operate on the state of one event loop and are not thread safe.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "request/call_origin/call_origin.h"
#include "request/waiting/late_admission.h"

namespace pistachioquay {

inline constexpr std::size_t reportedPriorities = 3; // waits are reported for priorities 0, 1, and all others together
inline constexpr double otherDataCentreShare = 0.04; // cost of another data centre, as share of the target
// Cost of each KiB between data centres, as share of the target, unless the settings state another one. 0.01 means that
// callers would wait 1% of their target latency longer to keep one KiB in their data centre.
inline constexpr double defaultTrafficCostPerKb = 0.4;
inline constexpr double maxOtherDataCentreShare = 3.0; // upper bound of both costs together
inline constexpr double responseSizeWeight = 0.1; // weight of one response in the mean size of a route
inline constexpr double headerBytes = 800.0; // size of a request and its response without their bodies
inline constexpr double lateCostTargets = 4.0; // cost of a response that is certainly late, in target latencies
// Time until the target, as multiple of the run time, at which a response is certainly on time and certainly late. Run
// times of a route spread by about half of their mean.
inline constexpr double onTimeRuns = 2.0;
inline constexpr double lateRuns = 0.4;
inline constexpr double minLinkShare = 0.08; // share of a link's rate that a transfer gets at any load
inline constexpr double reportHalfLifeMs = 400.0; // time after which a report has half its weight
inline constexpr double tieShare = 0.1; // scores within this share of the best count as equal
// Means of about eight runs differ from the typical run time by these shares through noise alone. The lower bound is
// wider, because all nodes see the worker with the lowest mean and would otherwise all send to it.
inline constexpr double slowNoiseShare = 0.35;
inline constexpr double fastNoiseShare = 0.6;
inline constexpr double failurePenalty = 2.0; // cost of a certain failure, in targets or run times, whichever is longer
inline constexpr double warmUpRunFactor = 2.0; // run time factor during warm-up, until the worker is measured
inline constexpr milliseconds initialBackoff{300}; // pause after a failed connection; doubles up to `maxBackoff`
inline constexpr milliseconds maxBackoff{3000};
inline constexpr milliseconds runTimeExpiry{6000}; // run times that were not updated for this long are ignored
inline constexpr std::size_t silentNodesUntilUnreachable = 2; // silent nodes that make a data centre unreachable
inline constexpr milliseconds unreachableDuration{3000}; // reachable again if no further node falls silent
inline constexpr double roomOutcomeWeight = 0.25; // weight of one request in the share that a data centre accepts
inline constexpr double fullAcceptedShare = 0.4; // a data centre that accepts a smaller share counts as full
inline constexpr double roomHalfLifeMs = 500.0; // time after which half of what was refused is forgotten
inline constexpr double handBackCostMs = 4.0; // round trip and processing at both nodes
inline constexpr double minHandBackRuns = 0.15; // waits up to this share of a run are accepted
// Reports and run times come from other nodes; values beyond these bounds are wrong and are replaced.
inline constexpr double maxReportedMs = 3600.0 * 1000.0;
inline constexpr double maxSlowdown = 100.0;
inline constexpr double contentionShare = 0.25; // slowdown of each run on a worker with all slots in use

// Load report of a node about its worker.
struct worker_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::array<double, reportedPriorities> waitMs{}; // expected wait by priority
    double failureShare = 0; // of the worker's recent requests
    double slowdown = 1.0; // current run times relative to the usual ones
    double linkLoad = 0; // used share of the VM's link rate
    double meanActiveRunMs = 0; // mean expected run time of the running requests
    double transferWaitMs = 0; // that a large response waits for the VM's link
    std::uint32_t usableSlots = 0; // requests that the worker runs well at once; 0: not known

    friend auto operator<=>(const worker_report &, const worker_report &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(running,
                waiting,
                waitMs[0],
                waitMs[1],
                waitMs[2],
                failureShare,
                slowdown,
                linkLoad,
                meanActiveRunMs,
                transferWaitMs,
                usableSlots);
    }
};

// A worker as the fleet view describes it.
struct worker_entry
{
    std::string nodeId;
    std::uint64_t process = 0; // identifies the process of the node; changes when it restarts
    std::string dataCentre;
    std::uint32_t slots = 1;
    time_point warmUpUntil;
    double linkBytesPerMs = 0; // rate of the VM's link; 0 if unknown
    std::string version; // of the worker's software
    bool isOnTrial = false; // gets only requests on trial

    friend auto operator<=>(const worker_entry &, const worker_entry &) = default;
};

// What this node knows about a worker: its last report, the requests sent since then, run times and backoff.
struct candidate_worker
{
    worker_entry entry;
    worker_report report;
    time_point reportAt;
    std::uint32_t sentSinceReport = 0;
    double bytesSinceReport = 0;
    std::map<std::string, std::pair<double, time_point>> runMs; // by route, with the time of the last update
    time_point backoffUntil;
    unsigned backoffCount = 0;
};

struct service_placement
{
    std::vector<candidate_worker> workers; // sorted by node id
};

// Reachability of another data centre.
struct data_centre_status
{
    std::set<std::string> silentNodes; // since one of its nodes was last heard from
    time_point lastSilentAt;
};

// Requests that compete for room: calls of workers, and requests of callers by the priority as it is reported.
inline constexpr std::size_t roomClasses = reportedPriorities + 1;

// What became of the recent requests of one class in another data centre.
struct room_estimate
{
    double acceptedShare = 1;
    double waitMs = 0; // mean wait of those that were accepted
    time_point updatedAt;

    friend auto operator<=>(const room_estimate &, const room_estimate &) = default;
};

struct placement_state
{
    std::string nodeId; // of the own node
    std::string dataCentre;
    double linkBytesPerMs = 0; // rate of the own link; 0 if unknown
    double linkLoad = 0; // used share of the own link rate
    double trafficCostPerKb = defaultTrafficCostPerKb;
    std::unordered_map<std::string, double> responseBytes; // mean by route
    std::unordered_map<std::string, service_placement> services;
    std::unordered_map<std::string, data_centre_status> dataCentreStatus; // by data centre
    // Room for the requests of a service in other data centres, by service and data centre.
    std::map<std::pair<std::string, std::string>, std::array<room_estimate, roomClasses>> room;
};

struct placement_request
{
    std::string route;
    std::uint32_t priority = 0;
    request_origin origin = request_origin::Unknown;
    std::size_t bytes = 0;
    double fallbackRunMs = 100; // run time to assume while none is known for the route
    double targetMs = 0; // target latency of the route
    double targetLeftMs = 0; // time left until the target; negative if it has passed
    double timeLeftMs = 0; // time left until the deadline
    std::set<std::string> excluded; // nodes that were already tried
    bool isOnTrial = false; // goes to a worker on trial; all other requests go to the others
};

struct placement_choice
{
    std::optional<std::string> nodeId; // empty if no worker is available
    double expectedMs = 0; // score of the worker: expected time until the response, with costs and penalties
    double expectedWaitMs = 0;
    double expectedRunMs = 0;
    double typicalRunMs = 0; // median over the workers of the service
    // Wait at the chosen worker above which the second best worker is expected to be faster; empty if there is none.
    std::optional<double> longestWaitMs;
};

// setWorkers replaces the workers of a service. Reports and run times of workers that stay are kept.
void setWorkers(placement_state &state, const std::string &service, std::vector<worker_entry> workers);

// plausibleReport returns the report with each value within its range: a value that is not a number or lies outside
// would make the scores of all workers useless. Thread safe.
worker_report plausibleReport(const worker_report &report);

// recordReport stores a load report as `plausibleReport` returns it, and resets the counts of requests sent since the
// last one and of backoffs.
void recordReport(placement_state &state,
                  const std::string &service,
                  const std::string &nodeId,
                  const worker_report &report,
                  time_point now);

// recordResponseSize counts a response of a route in the mean size of its responses.
void recordResponseSize(placement_state &state, const std::string &route, std::size_t bytes);

// recordWorkerRunTime stores the run time of a route at a worker; times outside 0 to `maxReportedMs` are ignored.
void recordWorkerRunTime(placement_state &state,
                         const std::string &service,
                         const std::string &nodeId,
                         const std::string &route,
                         double milliseconds,
                         time_point now);

// recordRunTimeLowerBound raises the run time of a route to at least `milliseconds`, because a request has been running
// for that long.
void recordRunTimeLowerBound(placement_state &state,
                             const std::string &service,
                             const std::string &nodeId,
                             const std::string &route,
                             double milliseconds,
                             time_point now);

// recordSilentNode records that a node of another data centre did not answer in time. recordDataCentreContact records
// that a node of the data centre was heard from.
void recordSilentNode(placement_state &state, const std::string &dataCentre, const std::string &nodeId, time_point now);
void recordDataCentreContact(placement_state &state, const std::string &dataCentre);

// isDataCentreUnreachable returns whether a data centre counts as unreachable.
bool isDataCentreUnreachable(const placement_state &state, const std::string &dataCentre, time_point now);

// recordRoom records how long a request waited at a node of another data centre; empty: it was refused for lack of
// room.
void recordRoom(placement_state &state,
                const std::string &service,
                const std::string &nodeId,
                const placement_request &request,
                std::optional<double> waitedMs,
                time_point now);

// isDataCentreFull returns whether a data centre has lately refused most requests like this one for lack of room.
bool isDataCentreFull(const placement_state &state,
                      const std::string &service,
                      const std::string &dataCentre,
                      const placement_request &request,
                      time_point now);

// lateProbability returns the probability from 0 to 1 that a request misses its target after the given wait.
double lateProbability(double waitMs, double runMs, double targetLeftMs);

// chooseWorker returns the best worker for a request.
placement_choice chooseWorker(const placement_state &state,
                              const std::string &service,
                              const placement_request &request,
                              time_point now,
                              random_generator &generator);

// recordSentRequest counts a request that is sent to the worker now.
void recordSentRequest(placement_state &state,
                       const std::string &service,
                       const std::string &nodeId,
                       std::size_t bytes);

// startBackoff skips the worker for a backoff time after it was unreachable or unavailable. Each call without a report
// in between doubles the time, up to `maxBackoff`.
void startBackoff(placement_state &state, const std::string &service, const std::string &nodeId, time_point now);

// pause skips the worker for at least `length`.
void pause(
    placement_state &state, const std::string &service, const std::string &nodeId, milliseconds length, time_point now);

} // namespace pistachioquay
