// Membership of a data centre in the style of SWIM, as pure decisions over one state: no sockets, threads or clocks.
//
//   membership_state state;
//   membership_actions actions = startMembership(state, options, now);
//   actions = onTick(state, now, generator);                        // every 50 ms
//   actions = onDatagram(state, from, bytes, now, generator);       // for each datagram
//   for (const datagram &out : actions.sends) send(out.to, out.bytes);
//   for (const pull &wanted : actions.pulls) pullByTcp(wanted);     // Records, or MemberList -> onMemberList
//   if (actions.viewChanged) publish(workerView(state));
//
// A state belongs to one thread, or is guarded by its owner; no function here is thread safe for one state. Time never
// goes backwards between calls. Garbled datagrams are counted in `state.garbled` and otherwise ignored.
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
inline constexpr milliseconds indirectAfter{300};
inline constexpr milliseconds suspectAfter{1'000};
inline constexpr milliseconds suspicionTime{3'000};
inline constexpr milliseconds pauseGap{2'000}; // a longer gap between calls expires every belief
inline constexpr milliseconds pauseGate{1'000};
inline constexpr std::size_t announceFanout = 4;
inline constexpr std::size_t maxMembers = 8'192; // with dead and left ones; bounds the memory
inline constexpr std::size_t maxPending = 256; // updates that wait to be passed on; list pulls carry what is dropped
inline constexpr std::size_t readerCount = 3;
inline constexpr std::string_view readerDuty = "config";

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
    MemberList, // the peer's list; its result goes to onMemberList
};

// A request that the caller sends by TCP.
struct pull
{
    pull_kind kind = pull_kind::Records;
    endpoint sync;
    std::uint64_t position = 0; // Records: the position that the peer announced

    friend bool operator==(const pull &, const pull &) = default;
};

struct membership_actions
{
    std::vector<datagram> sends;
    std::vector<pull> pulls;
    bool viewChanged = false;
};

inline constexpr std::uint16_t memberListFormat = 2; // for encodeMessage and decodeMessage of a member_list

// The members that a node knows, as one answers a MemberList pull.
struct member_list
{
    std::vector<member_update> entries; // all with their full entry
    std::map<std::uint64_t, version_seen> highest;
    std::vector<link_record> links;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(entries, highest, links);
    }
};

// Counts since the start, for the status page.
struct membership_counters
{
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t dropped = 0; // updates dropped because of a bound

    friend bool operator==(const membership_counters &, const membership_counters &) = default;
};

namespace internal {

struct pending_update
{
    std::uint64_t key = 0;
    std::uint32_t sendsLeft = 0;
    bool isFull = false;
};

struct probe
{
    std::uint64_t sequence = 0;
    std::uint64_t key = 0;
    time_point sentAt;
    bool isIndirect = false;
};

struct relay
{
    std::uint64_t sequence = 0; // of the ping that this node sent
    std::uint64_t target = 0;
    endpoint origin;
    std::uint64_t originSequence = 0;
};

struct data_centre_link
{
    std::vector<endpoint> contacts;
    time_point lastHeard;
    std::map<std::string, std::pair<service_summary, time_point>> sent; // last summary of each service sent there
};

struct remote_summary
{
    service_summary summary;
    time_point writtenAt; // in local time
    time_point floodedAt;
    service_summary flooded; // as it was last spread inside the own data centre
    std::map<std::string, time_point> readySince; // by node id
};

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
    time_point listAllowed; // earliest time of the next list pull
    time_point drain;
    time_point expiry;
    time_point forget;
    time_point recordPull;
};

} // namespace internal

// Everything that a node knows of others. The parts are private to the functions below.
struct membership_state
{
    member self;
    version_seen ownHighest; // highest that peers remember of the own node id, and the own one
    std::vector<endpoint> seeds;
    std::vector<endpoint> contacts; // from stream `rendezvous`, newest first
    std::unordered_map<std::uint64_t, known_member> members; // without the own entry
    std::vector<std::uint64_t> liveKeys;
    std::vector<std::uint64_t> probeOrder;
    std::vector<std::uint64_t> suspects; // all suspect members, and some that no longer are
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
    time_point firstAnswer;
    time_point lastAgreed; // last time that a peer's digest was equal, or that a list was asked for because of it
    time_point readySince; // of the own worker
    std::uint64_t lastSequence = 0;
    std::uint64_t answerFloor = 0; // responses to older sequences were sent before the last pause
    std::uint64_t pulledPosition = 0; // position asked for by the last Records pull
    std::uint32_t drainRounds = 0;
    std::uint32_t joinAttempts = 0;
    std::uint32_t earlyLists = 3; // list pulls that follow the first one soon
    std::uint32_t liveDigest = 0; // of liveKeys and the own key
    std::uint32_t digestRetries = 0;
    bool isAnswered = false; // a peer responded since the start, or since the last pause
    bool isLiveDirty = true;
    decode_counters garbled;
    membership_counters counters;
};

// startMembership resets `state` for a starting node.
membership_actions startMembership(membership_state &state, const membership_options &options, time_point now);

// onTick does what is due: probes, suspicions, gossip, load reports, summaries. Call it about every 50 ms.
membership_actions onTick(membership_state &state, time_point now, random_generator &generator);

// onDatagram takes one datagram.
membership_actions onDatagram(
    membership_state &state, const endpoint &from, std::string_view bytes, time_point now, random_generator &generator);

// onMemberList takes the result of a MemberList pull.
membership_actions onMemberList(membership_state &state, const member_list &list, time_point now);

// setLocal sets what the node says about itself; `worker` is Starting or Ready, the other states come from beginDrain
// and leave and are final. An advanced position is announced to 4 random members; one below the present one is ignored.
membership_actions setLocal(membership_state &state,
                            std::uint64_t version,
                            std::uint64_t position,
                            member_state worker,
                            const worker_load &load,
                            time_point now,
                            random_generator &generator);

// onRendezvous takes gossip addresses of live nodes from stream `rendezvous`.
membership_actions onRendezvous(membership_state &state, const std::vector<endpoint> &endpoints, time_point now);

// beginDrain announces the drain to every member at once, and twice more within a second.
membership_actions beginDrain(membership_state &state, time_point now);

// leave announces to every member that the node is gone; call it last.
membership_actions leave(membership_state &state, time_point now);

// memberList returns what the sync server answers to a MemberList pull; the codec encodes it.
member_list memberList(const membership_state &state, time_point now);

// liveMembers returns the entries of all members that are neither dead nor left, with the own one, by node id.
std::vector<member> liveMembers(const membership_state &state);

// readersOf returns the top 3 live nodes of the own data centre for a duty, by rendezvous hash, best first. Draining
// members are no candidates.
std::vector<member> readersOf(const membership_state &state, std::string_view duty);

// isReader returns whether the own node is one of readersOf.
bool isReader(const membership_state &state, std::string_view duty);

// workerView returns ready local workers and the workers that summaries of other data centres name. A worker's
// incarnation is the `started` of its node, which stays the same when a suspicion is refuted.
worker_view workerView(const membership_state &state);

// isAccepting returns whether the node may take new work: not draining, not just resumed from a pause without an
// answer, and the last call of the other functions was at most 2 s ago.
bool isAccepting(const membership_state &state, time_point now);

// highestSeen returns the highest position and version that a node id announced, over all its processes.
version_seen highestSeen(const membership_state &state, std::string_view nodeId);

// highestAnnounced returns the highest position and version that any node of the data centre announced.
version_seen highestAnnounced(const membership_state &state);

} // namespace pistachioquay
