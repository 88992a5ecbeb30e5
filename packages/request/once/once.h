// Runs a non-idempotent request with an `Idempotency-Key` at most once, also when its caller sends it again through
// another node. The node in front of the worker claims the key in the platform's log, and runs the request only when it
// has read its own claim back as the winner.
//
//   claim_decision begun = beginClaim(state, key, claim, deadline, now);   // after the checks of quarantine
//   if (begun.kind == claim_action::Answer) return respond(begun.outcome);
//   ...  append beginAppend(state.queue, now), read the stream, for each record:
//   applyRecord(state, offset, timeMs, records, now, actions);        // Run: go on to admission; Answer: respond
//   if (!startRun(state, claim, now)) return respond(abandonRun(state, claim));   // just before the first byte
//   endRun(state, claim);                                             // response, or the worker died
//
// Outcomes speak of the key, not only of one message: NotRun is stated only if no request with the key was run within
// the memory of keys before this message arrived. If the log cannot be read, that cannot be known, and the outcome is
// Unknown; sending the same key again is always safe. An earlier message of the same caller that is still on its way
// can run after a NotRun until its own deadline, so a caller that gives up before its deadline should close its
// connection, which cancels the message.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "request/once/claims.h"

namespace pistachioquay {

inline constexpr seconds maxClaimWait{30}; // a claim that did not start by then is given up; far below the key memory
inline constexpr std::size_t maxOwnClaims = 100'000;

enum class key_outcome : std::uint8_t
{
    NotRun, // no request with the key has run
    Unknown, // a request with the key may have run or may be running elsewhere
    Running, // a request with the key runs behind this node: repeat later
    Ran, // a request with the key has ended behind this node; its response is not kept
};

enum class claim_action : std::uint8_t
{
    Wait, // the claim is queued for the log
    Run, // the claim won: ask for a slot, then `startRun`
    Respond, // do not run, respond with `outcome`
};

struct claim_decision
{
    claim_action kind = claim_action::Respond;
    hash128 claim;
    key_outcome outcome = key_outcome::Unknown;

    friend bool operator==(const claim_decision &, const claim_decision &) = default;
};

namespace internal {

enum class claim_phase : std::uint8_t
{
    Waiting, // its place in the log is not known
    Won, // may start
    Running,
    Ran,
    Abandoned, // will never start; voided whenever it holds the key
};

struct own_claim
{
    hash128 key;
    claim_phase phase = claim_phase::Waiting;
    time_point arrivedAt;
    time_point deadline;
};

} // namespace internal

// What a node knows of keyed requests. A restarted node starts with an empty state, so claims of its earlier life are
// never run or voided by anyone: their outcome stays Unknown until the key is forgotten.
struct at_most_once_state
{
    claim_index index;
    claim_queue queue;
    std::unordered_map<hash128, internal::own_claim, internal::hash128_hasher> own; // by claim
    std::unordered_map<hash128, hash128, internal::hash128_hasher> waiting; // claims by key, until their record is read
    time_point currentAsOf; // start of the latest read that reached the end of the log
};

// beginClaim starts a request; `claim` is a new random id. Not thread safe.
claim_decision
beginClaim(at_most_once_state &state, const hash128 &key, const hash128 &claim, time_point deadline, time_point now);

// applyRecord folds one record of the log and appends what follows for the requests of this node to `actions`. False if
// records are missing: call `restartReplay` and read again from the oldest record. Not thread safe.
bool applyRecord(at_most_once_state &state,
                 std::int64_t offset,
                 std::int64_t timeMs,
                 std::span<const claim_record> records,
                 time_point now,
                 std::vector<claim_decision> &actions);

// restartReplay forgets what was read of the log, and expects `first`, the oldest record that the log keeps. Not thread
// safe. Claims of this node are kept.
void restartReplay(at_most_once_state &state, std::int64_t first);

// recordCaughtUp notes that all records up to the end of the log were applied, as a read that was started at
// `readStartedAt` found it. Not thread safe.
void recordCaughtUp(at_most_once_state &state, time_point readStartedAt);

// startRun gives leave to send the request to the worker, once per claim; false if it has not won or came too late.
// Not thread safe. No byte may be sent before.
bool startRun(at_most_once_state &state, const hash128 &claim, time_point now);

// endRun notes that the worker responded or died; the claim stays, so the key never runs again. Not thread safe.
void endRun(at_most_once_state &state, const hash128 &claim);

// abandonRun gives up a claim before its run (deadline, refused by admission, caller gone) and returns what to respond.
// Not thread safe. A claim that runs or has run is not changed.
key_outcome abandonRun(at_most_once_state &state, const hash128 &claim);

// abandonUnsentRun gives up a started run of which not one byte reached the worker. Not thread safe.
key_outcome abandonUnsentRun(at_most_once_state &state, const hash128 &claim);

// outcomeFor returns what may be said about the key to a message that arrived at `arrivedAt` and is refused for another
// reason. Not thread safe.
key_outcome outcomeFor(const at_most_once_state &state, const hash128 &key, time_point arrivedAt);

// forgetOld drops claims that no longer matter; call it about once a minute. Not thread safe.
void forgetOld(at_most_once_state &state, time_point now);

} // namespace pistachioquay
