// The stream `claims` of the platform's log: which request may run for an `Idempotency-Key`. Every reader folds the
// same records in the order of the log and comes to the same winner. docs/decisions/at-most-once.md gives the reasons.
//
//   if (!applyClaims(index, offset, timeMs, records)) restartClaims(index, first);   // then read again from `first`
//   const claim_entry *winner = findClaim(index, key);
//
// The first claim of a key wins. A claim that was not run is given up by a void record of its holder; then the next
// claim in the log wins. A repeated record changes nothing that matters: a claim that is in force stays, and one that
// comes again after its void is voided again by its holder. Keys are kept for `keyMemoryMs`, by the time of the log's
// records, which must not fall.
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

inline constexpr std::int64_t keyMemoryMs = 600'000; // the log must keep records for longer
inline constexpr std::size_t maxKeys = 1'000'000; // above it no key is claimed
inline constexpr std::size_t maxBatchRecords = 4'000; // far below 1 MiB
inline constexpr std::size_t maxQueuedRecords = 20'000;
inline constexpr milliseconds appendInterval{20}; // from one append to the next of this node
inline constexpr milliseconds appendRetryBase{50};
inline constexpr milliseconds appendRetryCap{2000};

enum class claim_kind : std::uint8_t
{
    Claim,
    Void,
};

struct claim_record
{
    claim_kind kind = claim_kind::Claim;
    hash128 key; // of service and `Idempotency-Key`
    hash128 claim; // random id of one request

    friend bool operator==(const claim_record &, const claim_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, key, claim);
    }
};

// keyOf returns the key of a request. Thread safe.
hash128 keyOf(std::string_view service, std::string_view idempotencyKey);

struct claim_entry
{
    hash128 claim;
    std::int64_t atMs = 0;
};

namespace internal {

struct hash128_hasher
{
    std::size_t operator()(const hash128 &value) const
    {
        return value.low;
    }
};

} // namespace internal

// Fold of the stream up to `position`.
struct claim_index
{
    std::int64_t position = 1; // offset of the next record
    std::int64_t timeMs = 0; // time of the latest record
    std::unordered_map<hash128, claim_entry, internal::hash128_hasher> winners; // by key
    std::deque<std::pair<std::int64_t, hash128>> byTime; // keys in the order of their claims
};

// restartClaims forgets everything and expects `first`, the oldest record that the log keeps. Not thread safe.
void restartClaims(claim_index &index, std::int64_t first);

// applyClaims folds one record of the log; false if `offset` is beyond the expected one, which leaves the index as it
// was. Records that were applied before are ignored. Not thread safe.
bool applyClaims(claim_index &index, std::int64_t offset, std::int64_t timeMs, std::span<const claim_record> records);

// findClaim returns the claim that holds the key; null if it is free. Not thread safe.
const claim_entry *findClaim(const claim_index &index, const hash128 &key);

// Records on their way to the log, appended in batches with one append at a time.
struct claim_queue
{
    std::deque<claim_record> waiting;
    std::vector<claim_record> inFlight;
    bool isAppending = false;
    time_point nextAppendAt;
    unsigned failures = 0; // in a row
};

// enqueueClaim adds a record; false if the queue is full. Not thread safe.
bool enqueueClaim(claim_queue &queue, const claim_record &record);

// withdrawClaim removes a claim that was never handed to an append; false if it may reach the log. Not thread safe.
bool withdrawClaim(claim_queue &queue, const hash128 &claim);

// beginAppend returns the records to append now, empty if none are due. After a failure the same records come first
// again, since the append may or may not have taken effect. Not thread safe.
std::span<const claim_record> beginAppend(claim_queue &queue, time_point now);

// endAppend ends an append. `isAccepted` is false if the log refused it or its response was lost. Not thread safe.
void endAppend(claim_queue &queue, bool isAccepted, time_point now, random_generator &generator);

} // namespace pistachioquay
