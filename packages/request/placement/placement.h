// Which worker of a service gets a request: the one where it is expected to end first, as far as this node knows.
//
//   const placement_choice choice = chooseWorker(state, "orders", request, now, generator);
//   if (!choice.nodeId) return refuse(choice.retryAfterMs);
//   recordSentRequest(state, "orders", *choice.nodeId, bytes);
//
// Load pattern: workers of one service differ in speed, slow down for a second because of unseen neighbours, and are
// filled by many nodes at once that all see reports of different age. So
// - a worker's expected time is its reported wait plus the run time of the route there;
// - a worker that would refuse the request, because it would end late there while others wait, comes after all that
//   would take it: in a swing callers come back late, and a slow worker with a free slot still serves them;
// - what this node has sent since the report counts as if it were in the queue, and a report loses its say with age, so
//   that nodes with the same old report do not all choose the same worker;
// - a view of other nodes is older than a wait lasts, so a choice names the wait from which the second best is better
// (`longestWaitMs`): a node that finds more waiting hands the request back at once;
// - measured run times are means of a few runs and views are old, so the worker that seems best is the same for all
//   nodes and not the best: two of those that are about as good are drawn, and the better one is taken;
// - among workers that are about as good, those of the own data centre go first;
// - another data centre costs a share of the target that grows with the bytes, because traffic between data centres is
//   paid for: it is chosen when the wait here is longer by that much;
// - a body takes its time on the links of both VMs, the longer the busier they are: a fast worker behind a slow link
//   does not get all uploads;
// - when several nodes of another data centre fall silent and none of it is heard, the data centre counts as cut off:
// its
//   other workers are not tried one by one, each for the time that it takes to notice the silence;
// - a worker whose requests fail is passed over in proportion, and one that refused or could not be reached for
//   `avoidFirst` and longer each time.
//
// All functions work on one state of one loop and are not thread safe.
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
#include "request/waiting/late_admission.h"

namespace pistachioquay {

inline constexpr std::size_t reportedPriorities = 3; // waits are reported for priorities 0, 1 and all others
inline constexpr double otherDataCentreShare = 0.04; // what another data centre costs, as share of the target
inline constexpr double otherDataCentreSharePerKb = 0.006; // and for each kilobyte of the request
inline constexpr double headBytes = 800.0; // of a request and a response besides their bodies
inline constexpr double leastLinkShare = 0.08; // of a link's rate that a transfer gets at least
inline constexpr double reportHalfLifeMs = 400.0; // after which a reported wait counts half
inline constexpr double drawShare = 0.1; // workers within this share of the best expected time count as equal
// Means of about eight runs differ from the typical run by these shares without a reason. The lower bound is wider: all
// nodes see the lowest mean of a service, and would send there.
inline constexpr double slowRunChance = 0.35;
inline constexpr double fastRunChance = 0.6;
inline constexpr double failurePenalty = 2.0; // expected times that a certain failure costs
inline constexpr double coldFactor = 2.0; // run time of a worker that has just started, before it is measured
inline constexpr milliseconds avoidFirst{300}; // after a failed connection; doubles up to `avoidLast`
inline constexpr milliseconds avoidLast{3000};
inline constexpr milliseconds runTimeExpiry{6000}; // a run time that was not renewed for this long no longer counts
inline constexpr std::size_t silentNodesOfCut = 2; // silent nodes after which a data centre counts as cut off
inline constexpr milliseconds cutForgotten{3000}; // without further silence
inline constexpr double handBackMs = 4.0; // a hand-back costs about this: a round trip and the work at both nodes
inline constexpr double leastHandBackRuns = 0.15; // waits up to this share of a run are never worth a hand-back
inline constexpr double crowdingShare = 0.25; // a full worker slows each run by this share

// What a node says of its worker.
struct worker_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::array<double, reportedPriorities> waitMs{}; // expected wait by priority
    double failureShare = 0; // of the worker's recent requests
    double slowdown = 1.0; // how long work takes there at the moment, 1 as usual
    double linkLoad = 0; // used share of the rate of the VM's link
    double meanActiveRunMs = 0; // mean expected run of what runs there

    friend auto operator<=>(const worker_report &, const worker_report &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(running, waiting, waitMs[0], waitMs[1], waitMs[2], failureShare, slowdown, linkLoad, meanActiveRunMs);
    }
};

// One worker as it is known from the fleet.
struct worker_entry
{
    std::string nodeId;
    std::uint64_t process = 0; // of the node
    std::string dataCentre;
    std::uint32_t slots = 1;
    time_point warmUpUntil;
    double linkBytesPerMs = 0; // rate of the VM's link; 0: not known

    friend auto operator<=>(const worker_entry &, const worker_entry &) = default;
};

struct placed_worker
{
    worker_entry entry;
    worker_report report;
    time_point reportAt;
    std::uint32_t sentSinceReport = 0;
    double bytesSinceReport = 0;
    std::map<std::string, std::pair<double, time_point>> runMs; // by route, with the time of the last news
    time_point avoidUntil;
    unsigned avoidances = 0;
};

struct service_placement
{
    std::vector<placed_worker> workers; // sorted by node id
};

// What is known of the way to another data centre.
struct data_centre_path
{
    std::set<std::string> silentNodes; // since a node of it was last heard
    time_point silentAt;
};

struct placement_state
{
    std::string nodeId; // of the own node
    std::string dataCentre;
    double linkBytesPerMs = 0; // rate of the own link; 0: not known
    double linkLoad = 0; // used share of it
    std::unordered_map<std::string, service_placement> services;
    std::unordered_map<std::string, data_centre_path> paths; // by data centre
};

struct placement_request
{
    std::string route;
    std::uint32_t priority = 0;
    std::size_t bytes = 0;
    double fallbackRunMs = 100; // while no run time of the route is known
    double targetMs = 0; // time within which the response is worth most
    double targetLeftMs = 0; // what is left of it; negative if it has passed
    double timeLeftMs = 0; // until the response is of no use
    std::set<std::string> excluded; // nodes that were tried already
};

struct placement_choice
{
    std::optional<std::string> nodeId; // empty: no worker can be chosen
    double expectedMs = 0; // until the response
    double expectedWaitMs = 0;
    double expectedRunMs = 0;
    double typicalRunMs = 0; // of the route, at all workers of the service
    // Wait at the chosen worker from which the second best is expected to be faster; empty if there is no second.
    std::optional<double> longestWaitMs;
};

// setWorkers replaces the workers of a service; what is known of those that stay is kept.
void setWorkers(placement_state &state, const std::string &service, std::vector<worker_entry> workers);

// recordReport takes over a report and, if it is known, the run time of one route.
void recordReport(placement_state &state,
                  const std::string &service,
                  const std::string &nodeId,
                  const worker_report &report,
                  time_point now);

// recordWorkerRunTime takes over the run time of a route at a worker.
void recordWorkerRunTime(placement_state &state,
                         const std::string &service,
                         const std::string &nodeId,
                         const std::string &route,
                         double milliseconds,
                         time_point now);

// recordRunTimeLowerBound records that the worker has not responded to a request of the route for `milliseconds`.
void recordRunTimeLowerBound(placement_state &state,
                             const std::string &service,
                             const std::string &nodeId,
                             const std::string &route,
                             double milliseconds,
                             time_point now);

// recordSilentNode records that a node of a data centre did not answer in time; recordDataCentreContact that one of it
// was heard.
void recordSilentNode(placement_state &state, const std::string &dataCentre, const std::string &nodeId, time_point now);
void recordDataCentreContact(placement_state &state, const std::string &dataCentre);

// isCutOff tells whether a data centre counts as cut off.
bool isCutOff(const placement_state &state, const std::string &dataCentre, time_point now);

// chooseWorker returns the best worker for a request.
placement_choice chooseWorker(const placement_state &state,
                              const std::string &service,
                              const placement_request &request,
                              time_point now,
                              random_generator &generator);

// recordSentRequest counts a request that goes to the worker now.
void recordSentRequest(placement_state &state,
                       const std::string &service,
                       const std::string &nodeId,
                       std::size_t bytes);

// avoid passes the worker over for a while after it could not be reached; `recordReport` ends that.
void startBackoff(placement_state &state, const std::string &service, const std::string &nodeId, time_point now);

// pause passes the worker over for `length`.
void pause(
    placement_state &state, const std::string &service, const std::string &nodeId, milliseconds length, time_point now);

} // namespace pistachioquay
