// State of the other nodes of the mesh and of their workers, which one node collects from gossip datagrams.
//
//   fleet_state fleet;
//   const merge_result merged = mergeRecord(fleet, record, ownStarted, now);
//   for (const node_record &record : chooseUpdates(fleet, count, generator)) ...     // records to send in a datagram
//   const std::vector<worker_entry> workers = readyWorkers(fleet, "orders", now);
//
// The records of one node are ordered by the start of its process and by a revision that only the node itself
// increments. All nodes therefore converge on the newest record, even if datagrams are reordered, duplicated or lost.
//
// A node is silent if neither a newer record of it nor a response from it has arrived for `silenceLimit`. Silent nodes
// get no requests as long as the service has nodes that are not silent. The limit grows with the number of nodes,
// because an update takes longer to reach all nodes of a larger mesh.
//
// Not thread safe unless noted: the functions work on a state that belongs to one event loop.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/random.h"
#include "connection/wire/codec.h"
#include "process/rollout/evidence.h"
#include "process/worker_life/departure.h"
#include "request/placement/placement.h"

namespace pistachioquay {

inline constexpr milliseconds minSilenceLimit{4000}; // several gossip rounds
// The limit grows with the fleet because the age of the records does, by about 20 ms for each node. A longer limit
// would exclude fewer live nodes, but send more requests to dead ones.
inline constexpr milliseconds silenceLimitPerNode{45};
inline constexpr unsigned removalSilenceLimits = 6; // a silent node is removed after this many silence limits,
inline constexpr seconds minRemovalSilence{60}; // and not before this time
inline constexpr std::size_t maxNameBytes = 256; // longest name of a node, data centre, service or route
inline constexpr std::size_t maxRecordRoutes = 4096; // routes with a run time in a record
inline constexpr std::uint64_t maxStartOrder = 1ULL << 62U; // far above any time of start, so that it can be raised
inline constexpr std::size_t maxNodes = 16384; // bounds the memory; records of further nodes are ignored

// State of a node's worker.
enum class worker_state : std::uint8_t
{
    Absent, // it has not announced itself yet
    Ready,
    Draining, // it shuts down and gets no new requests
    Down, // it cannot be reached
};

// stateName returns the lower-case name of a state for logs. Thread safe.
std::string_view stateName(worker_state state);

// The state that a node publishes about itself and its worker.
struct node_record
{
    std::string nodeId;
    std::uint64_t started = 0; // orders the processes that run under this id, by their start
    std::uint32_t revision = 0; // incremented with each record that the node sends
    std::uint64_t process = 0; // random id of the process
    std::string dataCentre;
    std::string service; // of its worker
    endpoint peer; // receives requests from other nodes
    endpoint gossip; // receives gossip datagrams
    worker_state worker = worker_state::Absent;
    bool isLeaving = false; // the node shuts down
    std::string workerVersion; // of the worker's software
    std::uint32_t slots = 0;
    std::uint32_t linkBytesPerMs = 0; // rate of the VM's link
    std::uint32_t warmUpRemainingMs = 0; // remaining time for which the worker is slow after its start
    std::uint64_t configVersion = 0;
    worker_report report;
    std::map<std::string, double> runMs; // mean run time of the worker by route
    std::vector<worker_departure> departures; // of the worker's processes; other nodes hold them for the node
    worker_evidence evidence; // of the worker in a roll-out of its service
    std::uint64_t storeEra = 0; // of the platform's store, as the node knows it
    std::uint32_t storeEraAgeMs = 0; // for which the node had known it when it wrote the record
    std::uint32_t nodesKnown = 0; // to the node, with itself

    friend bool operator==(const node_record &, const node_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(nodeId, started, revision, process, dataCentre, service, peer, gossip);
        archive(worker,
                isLeaving,
                workerVersion,
                slots,
                linkBytesPerMs,
                warmUpRemainingMs,
                configVersion,
                report,
                runMs,
                departures,
                evidence,
                storeEra,
                storeEraAgeMs,
                nodesKnown);
    }
};

// The newest record of another node.
struct known_node
{
    node_record record;
    time_point lastHeardAt; // when a newer record arrived, or the node last responded
    time_point warmUpUntil;
    std::uint32_t sendsLeft = 0; // remaining datagrams in which a change is sent first
    bool hasPredecessor = false; // an earlier process of the node was known as well
    departure_list predecessorDepartures; // which earlier processes of the node had published
};

struct fleet_state
{
    std::string selfId;
    std::string selfDataCentre;
    std::map<std::string, known_node> nodes; // by node id; without this node
};

// What `mergeRecord` found in a record.
struct merge_result
{
    bool isNew = false; // the node or its process was unknown
    bool hasWorkerChanged =
        false; // the state, service or version of its worker, or whether the node leaves; also if `isNew`
    bool wasApplied = false; // the record was newer than the known one and has replaced it
    bool isImplausible = false; // the record was ignored, see `isPlausible`
    bool isOwnStartOutdated = false; // the record has the own id and a later start: raise the own `started` above it

    friend auto operator<=>(const merge_result &, const merge_result &) = default;
};

// isNewer returns whether `left` is a newer record than `right` of the same node. Thread safe.
bool isNewer(const node_record &left, const node_record &right);

// isPlausible returns whether a node can have written the record: its names, addresses, state and order are within
// their ranges. Other writers can publish records too. Thread safe.
bool isPlausible(const node_record &record);

// mergeRecord stores a plausible record if it is newer than the known one of its node. `ownStarted` is the `started` of
// this node.
merge_result mergeRecord(fleet_state &fleet, const node_record &record, std::uint64_t ownStarted, time_point now);

// chooseUpdates returns up to `count` records to send to another node: first those of nodes whose worker has changed,
// then random others, preferably those that were heard last.
std::vector<node_record> chooseUpdates(fleet_state &fleet, std::size_t count, random_generator &generator);

// choosePeers returns the gossip addresses of up to `count` random nodes that are not silent, all but one of them in
// the own data centre if it has enough: a node mostly needs the state of its own data centre, and traffic between data
// centres is paid for. Now and then, or if all nodes are silent, a silent node is added, so that both sides of a healed
// partition find each other.
std::vector<endpoint>
choosePeers(const fleet_state &fleet, std::size_t count, time_point now, random_generator &generator);

// readyWorkers returns the workers of a service that may get requests. Workers of silent nodes are returned only if the
// service has no other workers.
std::vector<worker_entry> readyWorkers(const fleet_state &fleet, const std::string &service, time_point now);

// recordNodeResponse records a response of a node, which ends its silence like a newer record.
void recordNodeResponse(fleet_state &fleet, const std::string &nodeId, time_point now);

// silenceLimit returns the time without a newer record or a response after which a node is silent.
milliseconds silenceLimit(const fleet_state &fleet);

// isSilent returns whether a node has not been heard of for longer than `silenceLimit`.
bool isSilent(const fleet_state &fleet, const known_node &node, time_point now);

// departuresHeldFor returns the departures that this node holds for another one: those of its record and of earlier
// processes of the node.
std::vector<worker_departure> departuresHeldFor(const fleet_state &fleet, const std::string &nodeId, time_point now);

// removeSilentNodes removes nodes that have not been heard of for `removalSilenceLimits` limits and at least
// `minRemovalSilence`, and returns their ids.
std::vector<std::string> removeSilentNodes(fleet_state &fleet, time_point now);

} // namespace pistachioquay
