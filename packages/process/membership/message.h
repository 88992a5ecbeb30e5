// Datagrams of the membership protocol. Each one carries the sender's own state, so it also serves as a heartbeat and
// as an announcement of position and version.
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
    PingRequest, // asks the receiver to ping `target` and to forward the Ack
    Gossip, // carries updates, or the sender's entry, and needs no response
    Announce, // reports that the sender's position advanced
    Join, // asks for members of the sender's data centre and for contacts in other data centres
    JoinReply,
    Load, // reports the load of the sender's worker to the readers
    Link, // to another data centre: readers, position and summaries of the sender's data centre
    LinkReply,
    Summaries, // distributes summaries of other data centres inside a data centre
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
    std::uint32_t digest = 0; // of the live members that the sender knows, including itself

    friend bool operator==(const sender_info &, const sender_info &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, started, incarnation, revision, state, slots, position, version, schema, load, digest);
    }
};

// Gossip addresses of a data centre's readers, and the time since the data centre was last heard from.
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

// A ready worker that is listed in a summary.
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

// Summary of one service of a data centre, for other data centres.
struct service_summary
{
    std::string dataCentre;
    std::string service;
    std::uint64_t timestampMs = 0; // time in ms at the reader that wrote it; equal means the same summary
    std::uint32_t ageMs = 0; // age at the time of sending
    std::uint32_t ttlMs = 0; // age at which it expires
    std::uint32_t readyWorkers = 0;
    std::uint32_t spareSlots = 0;
    std::vector<summary_node> nodes;

    friend bool operator==(const service_summary &, const service_summary &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, service, timestampMs, ageMs, ttlMs, readyWorkers, spareSlots, nodes);
    }
};

// Content of one datagram. Each unused field takes one byte.
struct message
{
    message_kind kind = message_kind::Ping;
    std::uint32_t dataCentre = 0; // dataCentreTag of the sender
    sender_info from;
    std::uint64_t sequence = 0;
    std::uint64_t target = 0; // PingRequest: member to ping; Ack: member that responded, 0 for the sender
    bool wantsEntry = false; // asks the receiver for its full entry, which the sender lacks
    announced_version highest; // JoinReply: highest announced under the receiver's node id
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

// encodeBounded encodes a message in at most maxDatagramBytes. To fit, it drops items from the end of the summaries,
// then of the links, then of the updates. Thread safe.
std::string encodeBounded(message datagram);

// decodeDatagram reads a datagram. Thread safe for separate counters. Fails with Corrupt or UnreadableSchema.
result<message> decodeDatagram(std::string_view bytes, decode_counters &counters);

// isWellFormed returns whether mark and state are in range and the key matches the full entry, if any. Thread safe.
bool isWellFormed(const member_update &update);

// maxEncodedBytes returns an upper bound of the bytes that an item takes in a datagram.
std::size_t maxEncodedBytes(const member_update &update);
std::size_t maxEncodedBytes(const service_summary &summary);

} // namespace pistachioquay
