// Departures of workers: which processes of a node's worker have announced that they shut down. The acknowledgement of
// such a notice promises that the worker gets no more requests. A departure therefore outlives the process of the node:
// it is held by the platform's store or by other nodes before it is acknowledged, and a restarted node recovers the
// departures of the worker beside it before it accepts requests for this worker.
//
//   recordDeparture(departures, departure, now);
//   if (isDeparted(departures, notice)) ...                       // a late notice of a process that has left
//   switch (decideHold(hold, nodesKnown, waited)) { ... }         // before a departure is acknowledged
//   if (isRecovered(recovery, now)) ...                           // after a restart
//
// Departures are bounded in number and in time: a late notice arrives within seconds, and a worker serves on for
// seconds after its departure.
//
// Not thread safe unless noted: the functions work on a state that belongs to one event loop.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

struct worker_notice;

inline constexpr std::size_t maxDepartures = 8; // of one node's worker; the newest are kept
inline constexpr seconds departureRetention{300}; // far longer than a notice is late or a worker serves on
// Longest wait for a departure to be held. A worker takes a notice as lost that is not acknowledged within a second.
inline constexpr milliseconds departureHoldLimit{700};
inline constexpr milliseconds departureStoreShare{300}; // of this wait, after which other nodes suffice
inline constexpr std::size_t departureHolders = 2; // nodes that suffice without the store
// Time after the start of a node from which an answer of another node suffices to recover departures, if the store does
// not respond. Within it, gossip brings a departure to nodes that lost its first datagram.
inline constexpr milliseconds departureRecoveryPatience{1000};
// Time after the read of the store for the answers of other nodes: they alone hold a departure from the time of an
// outage of the store.
inline constexpr milliseconds departureAnswerTime{200};

// Announced shutdown of one process of a worker.
struct worker_departure
{
    std::string workerId;
    std::int64_t startedMs = 0; // start of the process; 0: the notice did not tell it
    std::int64_t receivedMs = 0; // arrival of the notice by the wall clock of the VM

    friend bool operator==(const worker_departure &, const worker_departure &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(workerId, startedMs, receivedMs);
    }
};

struct kept_departure
{
    worker_departure departure;
    time_point recordedAt;

    friend bool operator==(const kept_departure &, const kept_departure &) = default;
};

using departure_list = std::vector<kept_departure>; // oldest first

// departureOf returns the departure that a notice of a worker that shuts down announces: the known one of its process,
// or a new one. A leave notice may lack the start time that an earlier `draining` heartbeat has told.
worker_departure departureOf(const departure_list &departures, const worker_notice &notice);

// isSameDeparture returns whether two departures are of the same process. Thread safe.
bool isSameDeparture(const worker_departure &left, const worker_departure &right);

// isDeparted returns whether the process that sent a notice has announced its shutdown before.
bool isDeparted(const departure_list &departures, const worker_notice &notice);

// recordDeparture adds a departure unless it is known, and removes the oldest beyond `maxDepartures`. Returns true if
// it was not known.
bool recordDeparture(departure_list &departures, const worker_departure &departure, time_point now);

// removeOldDepartures removes and returns the departures that are older than `departureRetention`.
std::vector<worker_departure> removeOldDepartures(departure_list &departures, time_point now);

// plainDepartures returns the departures without the times of their recording, as other nodes receive them.
std::vector<worker_departure> plainDepartures(const departure_list &departures);

// departureKey returns the key under which the platform's store keeps a departure. Thread safe.
std::string departureKey(const std::string &nodeId, const worker_departure &departure);

// Who holds a departure besides the node itself.
struct departure_hold
{
    bool isStored = false; // the store has confirmed it
    std::vector<std::string> holders; // ids of nodes that have confirmed it

    friend bool operator==(const departure_hold &, const departure_hold &) = default;
};

enum class hold_decision : std::uint8_t
{
    Wait,
    Acknowledge,
    Reject, // nobody else holds it: the worker has to repeat its notice
};

// decideHold decides whether the notice of a departure may be acknowledged, `waited` after its arrival. `nodesKnown` is
// the number of other nodes that can hold it. Load pattern: workers shut down while the store is unavailable; other
// nodes then take its place. Thread safe.
hold_decision decideHold(const departure_hold &hold, std::size_t nodesKnown, duration waited);

// What a restarted node has found out about the departures before its start.
struct departure_recovery
{
    time_point startedAt; // of the node
    std::optional<time_point> storeReadAt;
    bool hasPeerAnswer = false; // a node has answered that knew an earlier process of this node

    friend bool operator==(const departure_recovery &, const departure_recovery &) = default;
};

// isRecovered returns whether the node knows the departures before its start: from the store and from the nodes that
// answered within `departureAnswerTime`, or from other nodes alone after `departureRecoveryPatience`. Thread safe.
bool isRecovered(const departure_recovery &recovery, time_point now);

// mayStillRecover returns whether a late answer of another node is used: not for longer than it takes until own
// departures are removed, which the answer would otherwise bring back. Thread safe.
bool mayStillRecover(const departure_recovery &recovery, time_point now);

} // namespace pistachioquay
