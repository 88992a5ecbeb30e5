// SWIM-style membership of a data centre. The functions change one state and return the actions to perform; they use no
// sockets, threads or clocks.
//
//   membership_state state;
//   membership_actions actions = startMembership(state, options, now);
//   actions = onTick(state, now, generator);                        // every 50 ms
//   actions = onDatagram(state, from, bytes, now, generator);       // for each datagram
//   for (const datagram &out : actions.sends) send(out.to, out.bytes);
//   for (const pull &request : actions.pulls) pullByTcp(request);   // Records, or MemberList -> onMemberList
//   if (actions.viewChanged) publish(workerView(state));
//
// No function is thread safe for one state: its owner uses it from one thread or guards it by a lock. `now` must not go
// backwards between calls. Malformed datagrams are counted in `state.malformed` and otherwise ignored.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/random.h"
#include "process/membership/member.h"
#include "process/membership/message.h"
#include "request/routing/worker.h"

namespace pistachioquay {

inline constexpr milliseconds probeInterval{1'000};
inline constexpr milliseconds indirectProbeDelay{300}; // without an ack for this long, other members are asked to ping
inline constexpr milliseconds suspectAfter{1'000}; // without an ack for this long, the member is suspected
inline constexpr milliseconds suspicionTimeout{3'000}; // a member suspected by this node is marked dead after this time
inline constexpr milliseconds pauseThreshold{2'000}; // a longer gap between calls means that the process was paused
// After a pause, the node takes no new requests until a peer responds or this time has passed.
inline constexpr milliseconds resumeGateTime{1'000};
inline constexpr std::size_t announceFanout = 4;
inline constexpr std::size_t maxMembers = 8'192; // including dead and left ones; bounds the memory
inline constexpr std::size_t maxPendingUpdates = 256; // queued updates; list pulls deliver what is dropped
inline constexpr std::size_t readerCount = 3;
inline constexpr std::string_view configReaderTask = "config";

struct membership_options
{
    member self; // `started` is the start time in ms; `incarnation` is set from it
    std::vector<endpoint> seeds;
};

struct datagram
{
    endpoint to;
    std::string bytes;

    friend bool operator==(const datagram &, const datagram &) = default;
};

enum class pull_kind : std::uint8_t
{
    Records, // configuration records from the own position on
    MemberList, // the peer's member list; the result goes to onMemberList
};

// A request that the caller of these functions sends over TCP.
struct pull
{
    pull_kind kind = pull_kind::Records;
    endpoint sync;
    std::uint64_t position = 0; // Records: the position that the peer announced

    friend bool operator==(const pull &, const pull &) = default;
};

// What the caller has to do after a call: send, pull, and publish the view if it changed.
struct membership_actions
{
    std::vector<datagram> sends;
    std::vector<pull> pulls;
    bool viewChanged = false;
};

inline constexpr std::uint16_t memberListFormat = 2; // for encodeMessage and decodeMessage of a member_list

// The members that a node knows; the response to a MemberList pull.
struct member_list
{
    std::vector<member_update> entries; // each with its full entry
    std::map<std::uint64_t, announced_version> highest;
    std::vector<link_record> links;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(entries, highest, links);
    }
};

// Counters since the start, for the status page.
struct membership_counters
{
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t dropped = 0; // summaries and updates dropped at a bound; also updates about other data centres

    friend bool operator==(const membership_counters &, const membership_counters &) = default;
};

namespace internal {

// An update that is queued for dissemination.
struct pending_update
{
    std::uint64_t key = 0;
    std::uint32_t sendsLeft = 0;
    bool isFull = false;
};

// A ping that has not been acknowledged yet.
struct probe
{
    std::uint64_t sequence = 0;
    std::uint64_t key = 0;
    time_point sentAt;
    bool isIndirect = false; // other members have been asked to ping
};

// A ping that this node sent for another member, which waits for the ack.
struct relay
{
    std::uint64_t sequence = 0; // sequence of the ping that this node sent
    std::uint64_t target = 0;
    endpoint origin;
    std::uint64_t originSequence = 0;
};

// Contact with another data centre.
struct data_centre_link
{
    std::vector<endpoint> contacts;
    time_point lastHeard;
    // By service: the summary last sent to this data centre, and when.
    std::map<std::string, std::pair<service_summary, time_point>> sent;
};

// A summary received from another data centre.
struct remote_summary
{
    service_summary summary;
    time_point writtenAt; // in local time
    time_point floodedAt;
    service_summary flooded; // as last distributed inside the own data centre
    std::map<std::string, time_point> readySince; // by node id
};

// Times at which the periodic work of onTick is next due.
struct schedule
{
    time_point probe;
    time_point gossip;
    time_point join;
    time_point load;
    time_point link;
    time_point flood;
    time_point deadProbe;
    time_point listPull;
    time_point earliestListPull;
    time_point drain;
    time_point expiry;
    time_point forget;
    time_point recordPull;
};

} // namespace internal

// Everything that a node stores about other nodes. Its fields are private to the membership library.
struct membership_state
{
    member self;
    announced_version ownHighest; // highest announced under the own node id, by this process or earlier ones
    std::vector<endpoint> seeds;
    std::vector<endpoint> contacts; // gossip addresses from stream `rendezvous`, newest first
    std::unordered_map<std::uint64_t, known_member> members; // by key, without this node
    std::vector<std::uint64_t> liveKeys;
    std::vector<std::uint64_t> probeOrder;
    std::vector<std::uint64_t> suspects; // all suspect members; may contain keys that no longer are
    std::vector<internal::pending_update> pending;
    std::vector<internal::probe> probes;
    std::vector<internal::relay> relays;
    std::map<std::string, internal::data_centre_link> links;
    std::map<std::pair<std::string, std::string>, internal::remote_summary> remotes; // by service and data centre
    internal::schedule next;
    time_point startedAt;
    time_point lastEvent;
    time_point gateUntil;
    time_point lastHeard; // last datagram from a member of the own data centre
    time_point firstResponseAt;
    time_point lastDigestMatch; // last time that a peer's digest was equal, or that a mismatch led to a list pull
    time_point readySince; // of the own worker
    std::uint64_t lastSequence = 0;
    std::uint64_t lastSequenceBeforePause = 0; // acks up to this sequence belong to pings from before the last pause
    std::uint64_t pulledPosition = 0; // position that the peer of the last Records pull announced
    std::uint32_t drainRounds = 0;
    std::uint32_t joinAttempts = 0;
    std::uint32_t earlyListPullsLeft = 3; // first list pulls, which follow each other at a short interval
    std::uint32_t liveDigest = 0; // digest of liveKeys and the own key
    std::uint32_t digestRetries = 0; // list pulls since a peer's digest last matched, at most 7
    bool hasPeerResponded = false; // a peer responded since the start, or since the last pause
    bool isLiveDirty = true; // liveKeys and liveDigest are out of date
    decode_counters malformed;
    membership_counters counters;
};

// startMembership initializes `state` for a starting node.
membership_actions startMembership(membership_state &state, const membership_options &options, time_point now);

// onTick runs the periodic work that is due: probes, suspicions, gossip, load reports, summaries. Call it about every
// 50 ms.
membership_actions onTick(membership_state &state, time_point now, random_generator &generator);

// onDatagram handles one received datagram.
membership_actions onDatagram(
    membership_state &state, const endpoint &from, std::string_view bytes, time_point now, random_generator &generator);

// onMemberList merges the result of a MemberList pull.
membership_actions onMemberList(membership_state &state, const member_list &list, time_point now);

// setLocal sets what the node reports about itself. `worker` is Starting or Ready; the other states are set by
// beginDrain and leave and are final. A higher position is announced to 4 random members, a lower one is ignored.
membership_actions setLocal(membership_state &state,
                            std::uint64_t version,
                            std::uint64_t position,
                            member_state worker,
                            const worker_load &load,
                            time_point now,
                            random_generator &generator);

// onRendezvous stores gossip addresses of live nodes that were read from stream `rendezvous`.
membership_actions onRendezvous(membership_state &state, const std::vector<endpoint> &endpoints, time_point now);

// beginDrain announces the drain to every live member at once, and twice more within a second.
membership_actions beginDrain(membership_state &state, time_point now);

// leave announces to every live member that the node leaves. Call it last.
membership_actions leave(membership_state &state, time_point now);

// memberList returns the response of the sync server to a MemberList pull, not yet encoded.
member_list memberList(const membership_state &state, time_point now);

// liveMembers returns the entries of this node and of all members that are neither dead nor left, sorted by node id.
std::vector<member> liveMembers(const membership_state &state);

// readersOf returns the readers for a task: the 3 live nodes of the own data centre that rendezvous hashing ranks
// highest, best first. Draining nodes are excluded.
std::vector<member> readersOf(const membership_state &state, std::string_view task);

// isReader returns whether this node is one of the readers for a task.
bool isReader(const membership_state &state, std::string_view task);

// workerView returns the ready local workers and the workers listed in summaries of other data centres. A worker's
// incarnation is the `started` of its node, which stays the same when a suspicion is refuted.
worker_view workerView(const membership_state &state);

// isAccepting returns whether the node may take new requests. It is false while the node drains, for 1 s after a pause
// unless a peer responds, and if no function that changes the state was called in the last 2 s.
bool isAccepting(const membership_state &state, time_point now);

// highestSeen returns the highest position and version announced under a node id, by any of its processes.
announced_version highestSeen(const membership_state &state, std::string_view nodeId);

// highestAnnounced returns the highest position and version that any node of the data centre announced.
announced_version highestAnnounced(const membership_state &state);

} // namespace pistachioquay
