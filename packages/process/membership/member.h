// Members of a data centre and the order of news about them.
//
//   if (mergeUpdate(known, update)) enqueue(update.key);
//
// News about one member forms a join semilattice: a higher incarnation replaces everything; within an incarnation the
// higher revision of the member's own state and the higher mark of observers win. So the order, repetition and loss of
// datagrams do not change the final belief.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/endpoint.h"
#include "connection/wire/codec.h"

namespace pistachioquay {

// What a member says about itself. Left is final for its incarnation.
enum class member_state : std::uint8_t
{
    Starting,
    Ready,
    Draining,
    Left,
};

// What observers say about a member.
enum class member_mark : std::uint8_t
{
    Alive,
    Suspect,
    Dead,
};

// Load of a worker as its node measures it.
struct worker_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    friend auto operator<=>(const worker_load &, const worker_load &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(running, waiting);
    }
};

// One node and its worker.
struct member
{
    std::string nodeId;
    std::uint64_t started = 0; // start time in ms: identity of the process
    std::uint64_t incarnation = 0; // `started`, raised to refute a suspicion or a death
    std::uint32_t revision = 0; // counts changes of the state within an incarnation
    std::string dataCentre;
    std::string service;
    endpoint gossip;
    endpoint sync;
    endpoint peer;
    endpoint control;
    member_state state = member_state::Starting;
    std::uint32_t slots = 0;
    std::uint64_t position = 0;
    std::uint64_t version = 0;
    std::uint32_t schema = 0; // newest schema that the node reads
    worker_load load;

    friend auto operator<=>(const member &, const member &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(nodeId, started, incarnation, revision, dataCentre, service, gossip, sync, peer, control);
        archive(state, slots, position, version, schema, load);
    }
};

// A configuration position and version.
struct version_seen
{
    std::uint64_t position = 0;
    std::uint64_t version = 0;

    friend auto operator<=>(const version_seen &, const version_seen &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(position, version);
    }
};

// raiseTo raises each part of `highest` to `seen`. Thread safe for separate values.
void raiseTo(version_seen &highest, const version_seen &seen);

// News about one member. Without `full` it takes about 25 bytes, because the receiver knows the addresses.
struct member_update
{
    std::uint64_t key = 0; // memberKey of the node id
    std::uint64_t started = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t revision = 0;
    member_mark mark = member_mark::Alive;
    member_state state = member_state::Starting;
    std::uint32_t slots = 0;
    std::optional<member> full;

    friend bool operator==(const member_update &, const member_update &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, started, incarnation, revision, mark, state, slots, full);
    }
};

// What a node believes about another one.
struct known_member
{
    member data;
    std::uint64_t dataStarted = 0; // process that `data`'s addresses belong to
    member_mark mark = member_mark::Alive;
    version_seen highest; // over all processes that ran under this id
    time_point markedAt; // time of the last change of the mark
    time_point lastNews; // time of the last direct message, or of the last change
    time_point readySince; // time at which this process was first seen ready
    time_point loadAt; // time at which the load was reported
    bool isOwnSuspicion = false; // this node itself missed the member's acknowledgement

    friend bool operator==(const known_member &, const known_member &) = default;
};

// memberKey returns the 64-bit key of a node id. Thread safe.
std::uint64_t memberKey(std::string_view nodeId);

// updateOf returns the news that passes `known` on, with the full entry on request. Thread safe.
member_update updateOf(const known_member &known, bool isFull);

// mergeUpdate joins news into a belief; true if the belief changed. Thread safe for separate beliefs.
bool mergeUpdate(known_member &known, const member_update &update);

// isLive returns whether the member is neither dead nor left. Thread safe.
bool isLive(const known_member &known);

} // namespace pistachioquay
