// Runs a non-idempotent request with an `Idempotency-Key` at most once, even if its caller sends it again through
// another node. Before the request reaches the worker, the worker's node appends a claim of the key to the platform's
// log. It runs the request only after it has read that claim back and the claim holds the key.
//
//   claim_decision begun = beginClaim(state, key, claim, deadline, now);   // after the quarantine checks
//   if (begun.kind == claim_action::Respond) return respond(begun.outcome);
//   ...  append beginAppend(state.queue, now), read the stream, and for each record:
//   applyRecord(state, offset, timeMs, records, now, decisions);   // Run: go on to admission; otherwise respond
//   if (!startRun(state, claim, now)) return respond(abandonRun(state, claim));   // just before the first byte
//   endRun(state, claim);   // the worker responded or died
//
// An outcome describes the key, not a single message. NotRun is returned only if no request with the key ran within
// `keyRetentionMs` before this message arrived. While the log cannot be read this is not known, and the outcome is
// Unknown; it is always safe to send the same key again. After a NotRun, an earlier message of the same caller that is
// still in transit can run until its own deadline. A caller that gives up before its deadline should therefore close
// its connection, which cancels the message.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "request/once/claims.h"

namespace pistachioquay {

inline constexpr seconds maxClaimWait{30}; // from arrival to the start of the run; far below `keyRetentionMs`
inline constexpr std::size_t maxLocalClaims = 100'000; // claims of this node; at this number no new key is claimed

// What is known about the runs of a key.
enum class key_outcome : std::uint8_t
{
    NotRun, // no request with the key has run
    Unknown, // a request with the key may have run or may be running elsewhere
    Running, // a request with the key is running on the worker of this node: the caller may send it again later
    Ran, // a request with the key has ended on the worker of this node; its response is not kept
};

// Next step for a request.
enum class claim_action : std::uint8_t
{
    Wait, // the claim is queued for the log
    Run, // the claim holds the key: pass admission, then call `startRun`
    Respond, // do not run the request; respond with `outcome`
};

// What to do with the request of `claim`.
struct claim_decision
{
    claim_action kind = claim_action::Respond;
    hash128 claim;
    key_outcome outcome = key_outcome::Unknown; // if `kind` is Respond

    friend bool operator==(const claim_decision &, const claim_decision &) = default;
};

namespace internal {

// Progress of a claim of this node.
enum class claim_phase : std::uint8_t
{
    Waiting, // the record of the claim has not been read back yet
    Granted, // holds the key; the run may start
    Running,
    Ran,
    Abandoned, // will never start; released whenever it turns out to hold the key
};

struct local_claim
{
    hash128 key;
    claim_phase phase = claim_phase::Waiting;
    time_point arrivedAt;
    time_point deadline;
};

} // namespace internal

// State of a node for requests with an `Idempotency-Key`. A restarted node starts with an empty state. Nobody runs or
// releases the claims from before its restart: their outcome stays Unknown until the key expires.
struct at_most_once_state
{
    claim_index index;
    claim_queue queue;
    std::unordered_map<hash128, internal::local_claim, internal::hash128_hasher> localClaims; // by claim
    std::unordered_map<hash128, hash128, internal::hash128_hasher> pendingByKey; // claim in phase Waiting, by key
    time_point currentAsOf; // start time of the latest read that reached the end of the log
};

// beginClaim enqueues a claim of the key, or returns the outcome at once if the key is held, already pending here, or a
// limit is reached. `claim` is a new random id. Not thread safe.
claim_decision
beginClaim(at_most_once_state &state, const hash128 &key, const hash128 &claim, time_point deadline, time_point now);

// applyRecord applies one record of the log and appends the resulting decisions on requests of this node to
// `decisions`. Returns false if records are missing: call `restartReplay` and read again from the oldest record. Not
// thread safe.
bool applyRecord(at_most_once_state &state,
                 std::int64_t offset,
                 std::int64_t timeMs,
                 std::span<const claim_record> records,
                 time_point now,
                 std::vector<claim_decision> &decisions);

// restartReplay discards the replayed state; the next record that it expects is `first`, the oldest offset that the log
// retains. Keeps the claims of this node. Not thread safe.
void restartReplay(at_most_once_state &state, std::int64_t first);

// recordCaughtUp records that a read which started at `readStartedAt` reached the end of the log and that all its
// records were applied. Not thread safe.
void recordCaughtUp(at_most_once_state &state, time_point readStartedAt);

// startRun permits sending the request to the worker, once per claim; no byte may be sent before. Returns false if the
// claim does not hold the key or it is too late to start. Not thread safe.
bool startRun(at_most_once_state &state, const hash128 &claim, time_point now);

// endRun records that the worker responded or died. The claim keeps the key, which blocks further runs until the key
// expires. Not thread safe.
void endRun(at_most_once_state &state, const hash128 &claim);

// abandonRun gives up a claim before its run (deadline passed, refused by admission, caller disconnected) and returns
// the outcome to respond with. A claim that runs or has run is not changed. Not thread safe.
key_outcome abandonRun(at_most_once_state &state, const hash128 &claim);

// abandonUnsentRun gives up a started run of which no byte was sent to the worker, and returns the outcome to respond
// with. Not thread safe.
key_outcome abandonUnsentRun(at_most_once_state &state, const hash128 &claim);

// outcomeFor returns what is known about the key, for a message that arrived at `arrivedAt` and is refused for another
// reason. Not thread safe.
key_outcome outcomeFor(const at_most_once_state &state, const hash128 &key, time_point arrivedAt);

// forgetOld removes claims of this node that have ended and are old enough that no copy of them can still reach the
// log. Call it about once a minute. Not thread safe.
void forgetOld(at_most_once_state &state, time_point now);

} // namespace pistachioquay
