// Decides whether a node may still rely on its configuration when it accepts the key of a client account, and how the
// node keeps that proof young.
//
//   recordStoreProof(state, sentAt);                     // the own read succeeded, and what it returned is applied
//   recordQuery(state, id, now); ...; recordAnswer(state, answer, version, now);  // asked another node
//   if (!isProven(state, now)) return notRunForNow();
//
// A key that was taken away has to be dead everywhere within a limit, also at nodes that have no news of it. A node
// therefore accepts keys only while it holds a proof: a time before which no version was acknowledged that is newer
// than the applied one. There are two sources:
// - an own read of the store, which is linearizable within an era: the proof has the time at which the read was sent;
// - another node whose version is not newer than the own one: the proof has the time at which that node was asked,
// minus
//   the age of the proof that it states. The time of the answer is of no use, since it may have been delayed.
// News that a node did not ask for proves nothing: it may be arbitrarily old when it arrives.
//
// Load pattern: the store is unavailable for some or for all nodes while requests with keys go on. Nodes that have lost
// the store get proofs from others that have not, and only a node that nobody proves reads the store itself. They do so
// by rank, one after the other, so that an outage causes no storm of calls.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

// What a node knows about the freshness of its configuration.
struct freshness_state
{
    std::optional<milliseconds> limit; // a key is dead this long after it was taken away; empty: no proof is needed
    boot_time startedAt; // of the process
    std::optional<boot_time> provenAt; // no version newer than the applied one was acknowledged before
    std::optional<boot_time> readAt; // the newest proof by an own read of the store
    std::optional<boot_time> lastQueryAt;
    std::map<std::uint64_t, boot_time> openQueries; // by id: when another node was asked

    friend bool operator==(const freshness_state &, const freshness_state &) = default;
};

// What another node states about its own proof.
struct peer_proof
{
    std::uint64_t queryId = 0; // of the query that it answers
    std::uint64_t version = 0; // which the node applies
    std::optional<milliseconds> age; // of its proof; empty: it has none

    friend auto operator<=>(const peer_proof &, const peer_proof &) = default;
};

// Which nodes are asked for their proof.
struct query_plan
{
    bool asksReader = false; // the node that has last read the store for the data centre
    bool asksAnyNode = false; // a random node of any data centre

    friend auto operator<=>(const query_plan &, const query_plan &) = default;
};

// isProven returns whether keys may be accepted. Thread safe.
bool isProven(const freshness_state &state, boot_time now);

// proofAge returns the age of the proof; empty if there is none. Thread safe.
std::optional<duration> proofAge(const freshness_state &state, boot_time now);

// recordStoreProof records a read of the store for which `provesNewest` holds and which was sent at `sentAt`.
void recordStoreProof(freshness_state &state, boot_time sentAt);

// recordQuery records that another node is asked now, under an id that nobody can guess.
void recordQuery(freshness_state &state, std::uint64_t id, boot_time now);

// recordAnswer applies the answer to a query and returns whether it made the proof younger. `ownVersion` is the applied
// version. Answers to no open query, or with an implausible age, are ignored.
bool recordAnswer(freshness_state &state, const peer_proof &answer, std::uint64_t ownVersion, boot_time now);

// answerQuery returns the answer to another node's query.
peer_proof answerQuery(const freshness_state &state, std::uint64_t queryId, std::uint64_t ownVersion, boot_time now);

// planQueries returns which nodes to ask now. A node that reads the store for others asks only if its reads fail.
query_plan planQueries(const freshness_state &state, boot_time now);

// shouldReadForProof returns whether the node has to read the store for its own proof, because no other node proves its
// configuration. No read before `provableFrom` can prove it. `rank` is that of `reader_status`: nodes of a higher rank
// wait longer. Thread safe.
bool shouldReadForProof(const freshness_state &state, std::size_t rank, boot_time provableFrom, boot_time now);

// proofReadWait returns how long the reader's long poll may wait in the store. Thread safe.
milliseconds proofReadWait(milliseconds limit);

} // namespace pistachioquay
