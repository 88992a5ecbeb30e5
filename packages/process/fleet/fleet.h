// The nodes of the mesh and their workers, as one node knows them from datagrams of the others.
//
//   fleet_state fleet;
//   const merge_result merged = mergeRecord(fleet, record, now);
//   for (const node_record &record : chooseUpdates(fleet, now, generator)) ...     // what a datagram passes on
//   const std::vector<worker_entry> workers = readyWorkers(fleet, "orders", now);
//
// News about one node is ordered by the time at which its process started and a revision that only the node raises, so
// the order, repetition and loss of datagrams do not change the final belief. A node that is not heard of for
// a while gets no requests as long as others of its service are heard of. News of one node reaches all others the later
// the more nodes there are, so that while grows with them (`silenceLimit`).
//
// All functions work on one state of one loop and are not thread safe.
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
#include "request/placement/placement.h"

namespace pistachioquay {

inline constexpr milliseconds leastSilence{4000}; // several rounds of datagrams
// The limit grows with the fleet, as the age of news does: about 20 ms for each node. A longer limit would hide fewer
// live nodes, and send more requests to dead ones.
inline constexpr milliseconds silencePerNode{45};
inline constexpr unsigned forgottenSilences = 6; // a node that was silent for this many limits is dropped
inline constexpr seconds leastForgotten{60}; // and for this long
inline constexpr std::size_t maxNodes = 16384; // bounds the memory

// State of a node's worker.
enum class worker_state : std::uint8_t
{
    Absent, // it has not announced itself yet
    Ready,
    Draining, // it leaves: no new work
    Down, // it cannot be reached
};

// stateName returns the lower-case name of a state for logs. Thread safe.
std::string_view stateName(worker_state state);

// What a node says of itself.
struct node_record
{
    std::string nodeId;
    std::uint64_t started = 0; // order of the processes that run under this id
    std::uint32_t revision = 0; // raised with each change
    std::uint64_t process = 0; // random identity of the process
    std::string dataCentre;
    std::string service; // of its worker
    endpoint peer; // for requests of other nodes
    endpoint gossip; // for datagrams
    worker_state worker = worker_state::Absent;
    bool isLeaving = false; // the node shuts down
    std::uint32_t slots = 0;
    std::uint32_t linkBytesPerMs = 0; // rate of the VM's link
    std::uint32_t warmUpRemainingMs = 0; // how much longer the worker is slow after its start
    std::uint64_t configVersion = 0;
    worker_report report;
    std::map<std::string, double> runMs; // by route

    friend bool operator==(const node_record &, const node_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(nodeId, started, revision, process, dataCentre, service, peer, gossip);
        archive(worker, isLeaving, slots, linkBytesPerMs, warmUpRemainingMs, configVersion, report, runMs);
    }
};

struct known_node
{
    node_record record;
    time_point lastHeardAt; // when its revision last rose, or it last responded
    time_point warmUpUntil;
    std::uint32_t sendsLeft = 0; // how often a change is still passed on
};

struct fleet_state
{
    std::string selfId;
    std::string selfDataCentre;
    std::map<std::string, known_node> nodes; // without the own one
};

struct merge_result
{
    bool isNew = false; // the node, or its process, was not known
    bool hasWorkerChanged = false; // state of its worker, or whether the node leaves
    bool wasApplied = false; // the record is newer than what was known
    bool isOwnStartOutdated = false; // a record of the own id that is newer than the own process: raise `started`

    friend auto operator<=>(const merge_result &, const merge_result &) = default;
};

// isNewer orders two records of one node.
bool isNewer(const node_record &left, const node_record &right);

// mergeRecord takes over news of a node; `ownStarted` is the order of the own process.
merge_result mergeRecord(fleet_state &fleet, const node_record &record, std::uint64_t ownStarted, time_point now);

// chooseUpdates returns up to `count` records to pass on: changes first, then any.
std::vector<node_record> chooseUpdates(fleet_state &fleet, std::size_t count, random_generator &generator);

// choosePeers draws up to `count` nodes that are not silent, one of them of another data centre: what a node needs most
// is news of its own data centre, and traffic between data centres is paid for. Silent ones are drawn now and then so
// that both sides of a healed partition find each other again.
std::vector<endpoint>
choosePeers(const fleet_state &fleet, std::size_t count, time_point now, random_generator &generator);

// readyWorkers returns the workers of a service that may get requests. Silent nodes are among them only if no other is.
std::vector<worker_entry> readyWorkers(const fleet_state &fleet, const std::string &service, time_point now);

// recordNodeResponse counts a response of a node like news of it.
void recordNodeResponse(fleet_state &fleet, const std::string &nodeId, time_point now);

// silenceLimit returns the time without news after which a node counts as silent.
milliseconds silenceLimit(const fleet_state &fleet);

// isSilent tells whether a node was not heard of for longer than the limit.
bool isSilent(const fleet_state &fleet, const known_node &node, time_point now);

// removeSilentNodes drops nodes that were silent for `forgottenSilences` limits, and returns their ids.
std::vector<std::string> removeSilentNodes(fleet_state &fleet, time_point now);

} // namespace pistachioquay
