// Members of a data centre and the rules for merging updates about them.
//
//   if (mergeUpdate(known, update)) enqueue(update.key);
//
// Updates about one member form a join semilattice: a higher incarnation replaces everything; within an incarnation the
// higher revision of the member's own state and the higher mark of observers win. So reordered and repeated datagrams
// do not change the final state, nor do lost ones whose content arrives later.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/endpoint.h"
#include "connection/wire/codec.h"

namespace pistachioquay {

// State that a member reports about itself. Left is final for its incarnation.
enum class member_state : std::uint8_t
{
    Starting,
    Ready,
    Draining,
    Left,
};

// State of a member as other members observe it.
enum class member_mark : std::uint8_t
{
    Alive,
    Suspect,
    Dead,
};

// Load of a worker, as measured by its node.
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
    std::uint64_t started = 0; // start time in ms; identifies the process
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
struct announced_version
{
    std::uint64_t position = 0;
    std::uint64_t version = 0;

    friend auto operator<=>(const announced_version &, const announced_version &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(position, version);
    }
};

// raiseTo sets position and version of `highest` each to the maximum of both values. Thread safe for separate values.
void raiseTo(announced_version &highest, const announced_version &seen);

// An update about one member. Without `full` it takes about 25 bytes; the receiver already has the addresses.
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

// The state that a node stores about another member.
struct known_member
{
    member data;
    std::uint64_t dataStarted = 0; // start time of the process that the addresses in `data` belong to
    member_mark mark = member_mark::Alive;
    announced_version highest; // highest announced by any process that ran under this id
    time_point markedAt; // time of the last change of the mark
    time_point lastUpdateAt; // time of the last direct message or of the last change
    time_point readySince; // time at which this process was first seen ready
    time_point loadAt; // time at which the load was reported
    bool isOwnSuspicion = false; // this node itself received no ack from the member

    friend bool operator==(const known_member &, const known_member &) = default;
};

// memberKey returns the 64-bit key of a node id. Thread safe.
std::uint64_t memberKey(std::string_view nodeId);

// updateOf returns the update that describes `known`, with the full entry if `isFull`. Thread safe.
member_update updateOf(const known_member &known, bool isFull);

// mergeUpdate merges an update into `known` and returns whether `known` changed. Thread safe for separate members.
bool mergeUpdate(known_member &known, const member_update &update);

// isLive returns whether the member is neither dead nor left. Thread safe.
bool isLive(const known_member &known);

} // namespace pistachioquay
