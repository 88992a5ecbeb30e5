// Datagrams of membership. Every datagram carries the sender's own state, so each one is also a heartbeat and an
// announcement of position and version.
//
//   const std::string bytes = encodeBounded(ping);
//   const auto read = attempt([&] { return decodeDatagram(bytes, counters); });
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "connection/wire/codec.h"
#include "process/membership/member.h"

namespace pistachioquay {

enum class message_kind : std::uint8_t
{
    Ping, // asks for an Ack with the same sequence
    Ack,
    PingRequest, // asks the receiver to ping `target` and to pass the Ack on
    Gossip, // carries only updates
    Announce, // the sender's position advanced
    Join, // the sender looks for members of its data centre and for other data centres
    JoinReply,
    Load, // the load of the sender's worker, for the readers
    Link, // between data centres: readers, position and summaries of the sender's data centre
    LinkReply,
    Summaries, // summaries of other data centres, spread inside one
};

// State of the sender.
struct sender_info
{
    std::uint64_t key = 0;
    std::uint64_t started = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t revision = 0;
    member_state state = member_state::Starting;
    std::uint32_t slots = 0;
    std::uint64_t position = 0;
    std::uint64_t version = 0;
    std::uint32_t schema = 0;
    worker_load load;
    std::uint32_t digest = 0; // of the live members that the sender knows, with itself

    friend bool operator==(const sender_info &, const sender_info &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, started, incarnation, revision, state, slots, position, version, schema, load, digest);
    }
};

// Gossip addresses of a data centre's readers, and how long ago they were heard of.
struct link_record
{
    std::string dataCentre;
    std::uint32_t ageMs = 0;
    std::vector<endpoint> contacts;

    friend bool operator==(const link_record &, const link_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, ageMs, contacts);
    }
};

// A ready worker that a summary names.
struct summary_node
{
    std::string nodeId;
    std::uint64_t started = 0;
    endpoint peer;
    std::uint32_t slots = 0;

    friend auto operator<=>(const summary_node &, const summary_node &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(nodeId, started, peer, slots);
    }
};

// What a data centre tells others about one of its services.
struct service_summary
{
    std::string dataCentre;
    std::string service;
    std::uint64_t stamp = 0; // time in ms at the reader that wrote it; a higher stamp is newer
    std::uint32_t ageMs = 0; // age when it was sent
    std::uint32_t ttlMs = 0; // expires at this age
    std::uint32_t readyWorkers = 0;
    std::uint32_t spareSlots = 0;
    std::vector<summary_node> nodes;

    friend bool operator==(const service_summary &, const service_summary &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, service, stamp, ageMs, ttlMs, readyWorkers, spareSlots, nodes);
    }
};

// One datagram. Unused parts take one byte each.
struct message
{
    message_kind kind = message_kind::Ping;
    std::uint32_t dataCentre = 0; // dataCentreTag of the sender
    sender_info from;
    std::uint64_t sequence = 0;
    std::uint64_t target = 0; // PingRequest: whom to ping; Ack: who responded, if not the sender
    bool wantsEntry = false; // the sender does not know the receiver's full entry
    version_seen highest; // JoinReply: the highest that the receiver's node id announced
    std::optional<member> entry; // full entry of the sender
    std::vector<member_update> updates;
    std::vector<link_record> links;
    std::vector<service_summary> summaries;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, dataCentre, from, sequence, target, wantsEntry, highest, entry, updates, links, summaries);
    }
};

// dataCentreTag returns the short tag of a data centre's name. Thread safe.
std::uint32_t dataCentreTag(std::string_view dataCentre);

// encodeBounded encodes a message in at most maxDatagramBytes; it drops what stands last in the lists. Thread safe.
std::string encodeBounded(message datagram);

// decodeDatagram reads a datagram. Thread safe for separate counters. Fails with Corrupt or UnreadableSchema.
result<message> decodeDatagram(std::string_view bytes, decode_counters &counters);

// isWellFormed returns whether every value of an update is in range and its key fits its entry. Thread safe.
bool isWellFormed(const member_update &update);

// Upper bound of the bytes that an item takes in a datagram.
std::size_t encodedBound(const member_update &update);
std::size_t encodedBound(const service_summary &summary);

} // namespace pistachioquay
