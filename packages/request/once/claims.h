// Replays the stream `claims` of the platform's log, which decides which request with an `Idempotency-Key` may run.
// Every reader applies the same records in log order, so all readers agree on the claim that holds a key. The reasons
// for the design are in docs/decisions/at-most-once.md.
//
//   if (!applyClaims(index, offset, timeMs, records)) resetIndex(index, first);   // then read again from `first`
//   const claim_entry *holder = findClaim(index, key);
//
// The first claim of a free key holds it. If the request of that claim does not run, its node appends a release record,
// which frees the key for claims that come later in the log. Duplicate records are harmless: a second copy of a claim
// that holds the key changes nothing, and a copy that takes the key again after its release is released again by its
// node. A key is kept for `keyRetentionMs`, measured by the timestamps of the log records, which must not decrease.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "base/random.h"

namespace pistachioquay {

inline constexpr std::int64_t keyRetentionMs = 600'000; // the log must retain records for longer than this
inline constexpr std::size_t maxKeys = 1'000'000; // no new key is claimed while the index holds this many
inline constexpr std::size_t maxBatchRecords = 4'000; // per append; keeps the encoded batch far below 1 MiB
inline constexpr std::size_t maxQueuedRecords = 20'000;
inline constexpr milliseconds appendInterval{20}; // minimum time between two appends of this node
inline constexpr milliseconds appendRetryBase{50};
inline constexpr milliseconds appendRetryCap{2000};

enum class claim_kind : std::uint8_t
{
    Claim,
    Release,
};

struct claim_record
{
    claim_kind kind = claim_kind::Claim;
    hash128 key; // hash of the service and the `Idempotency-Key`, see `keyOf`
    hash128 claim; // random id of the request that claims the key

    friend bool operator==(const claim_record &, const claim_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, key, claim);
    }
};

// keyOf hashes a service and an `Idempotency-Key` into the key that a request claims. Thread safe.
hash128 keyOf(std::string_view service, std::string_view idempotencyKey);

// Claim that holds a key.
struct claim_entry
{
    hash128 claim;
    std::int64_t claimedAtMs = 0; // `claim_index::timeMs` when the claim was applied
};

namespace internal {

// Hash function for maps with hash128 keys, which are uniformly distributed already.
struct hash128_hasher
{
    std::size_t operator()(const hash128 &value) const
    {
        return value.low;
    }
};

} // namespace internal

// State after all records of the stream before `position`.
struct claim_index
{
    std::int64_t position = 1; // offset of the next record
    std::int64_t timeMs = 0; // latest timestamp of the applied records
    std::unordered_map<hash128, claim_entry, internal::hash128_hasher> holders; // by key
    std::deque<std::pair<std::int64_t, hash128>> keysByTime; // claim time and key, oldest first
};

// resetIndex clears the index; the next record that it expects is `first`, the oldest offset that the log retains. Not
// thread safe.
void resetIndex(claim_index &index, std::int64_t first);

// applyClaims applies one record of the log, which holds a batch of claims and releases. Returns false and leaves the
// index unchanged if `offset` is beyond the expected one. Ignores records that were applied before. Not thread safe.
bool applyClaims(claim_index &index, std::int64_t offset, std::int64_t timeMs, std::span<const claim_record> records);

// findClaim returns the claim that holds the key, or null if the key is free. Not thread safe.
const claim_entry *findClaim(const claim_index &index, const hash128 &key);

// Records that wait to be appended to the log. They are appended in batches, one append at a time.
struct claim_queue
{
    std::deque<claim_record> waiting;
    std::vector<claim_record> inFlight; // batch of the current append, or of a failed one that is retried
    bool isAppending = false;
    time_point nextAppendAt;
    unsigned failures = 0; // consecutive failed appends
};

// enqueueClaim adds a record; returns false if the queue is full. Not thread safe.
bool enqueueClaim(claim_queue &queue, const claim_record &record);

// withdrawClaim removes a claim that no append has included yet. Returns false if the queue holds no such claim, so
// that the claim may be in the log or reach it. Not thread safe.
bool withdrawClaim(claim_queue &queue, const hash128 &claim);

// beginAppend starts an append and returns its records; none if nothing waits or no append may start yet. After a
// failure it returns the same batch again, because the failed append may or may not have taken effect. Not thread safe.
std::span<const claim_record> beginAppend(claim_queue &queue, time_point now);

// endAppend ends the append that beginAppend started. `isAccepted` is false if the log returned an error or its
// response was lost; then the next attempt waits for a jittered exponential backoff. Not thread safe.
void endAppend(claim_queue &queue, bool isAccepted, time_point now, random_generator &generator);

} // namespace pistachioquay
