// Tells apart the eras of the platform's store. The store can come back from a copy that is some seconds old (a
// return); it then begins a new era, which every response names.
//
//   const era_change change = recordEra(eras, response.era, sentAt, now);
//   if (change == era_change::Outdated) treatAsLost(response);
//   if (change == era_change::Returned) rewriteOwnRecords();
//   const bool isProof = sentAt >= provableFrom(eras) && ...;
//
// What the store has confirmed holds within one era only. In the next one, offsets are given out again, records that
// were written are gone, and records that were removed are back. The operator and the nodes then write again what is
// theirs; until they have done so, a complete read may lack what the store had acknowledged.
//
// Load pattern: all nodes write again after a return. `rewriteSpread` keeps the rate independent of their number.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds rewriteTime{1000}; // that the operator has after a return to write again what was lost
inline constexpr milliseconds rewriteSpreadPerNode{10}; // see `rewriteSpread`

// An offset in a log of the store. An offset says nothing without its era, in which it was given out. Positions are
// ordered by time: each one of a later era is greater.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    friend auto operator<=>(const store_position &, const store_position &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(era, offset);
    }
};

// What a node knows about the eras of the store. Era 0 is that of a store that names none.
struct store_eras
{
    std::optional<std::uint64_t> current; // empty: the store has not responded yet
    boot_time knownSince; // when a node first noticed the current era, as far as this one knows; after its beginning
    std::uint64_t returns = 0; // changes of the era that this node has noticed
    std::uint64_t refuted = 0; // highest era that a node has told and the store has not confirmed

    friend bool operator==(const store_eras &, const store_eras &) = default;
};

enum class era_change : std::uint8_t
{
    None,
    First, // the node knew no era before
    Returned, // the store has come back from a copy
    Outdated, // a late response of an earlier era: it says nothing about the present one
};

// recordEra records the era of a response to a call that was sent at `sentAt`. An era that is lower than the known one
// is believed as well, unless the response may have been under way when the node learned of the known one.
era_change recordEra(store_eras &eras, std::uint64_t era, boot_time sentAt, boot_time now);

// recordToldEra records the era that another node has told, and for how long that node had known it. Returns whether it
// is a return that this node did not know. Lower eras are ignored, and so are those that the store has refuted.
bool recordToldEra(store_eras &eras, std::uint64_t era, milliseconds age, boot_time now);

// isCurrent returns whether something that the store confirmed in an era still holds. Thread safe.
bool isCurrent(const store_eras &eras, std::uint64_t era);

// provableFrom returns the time from which a read of the store lacks no acknowledged write: by then, those that it has
// lost were written again. A process that has just started cannot tell whether the first era that it knows has just
// begun. Thread safe.
boot_time provableFrom(const store_eras &eras);

// mayLackWrites returns whether a read that was sent at `sentAt` may lack what the store had acknowledged, because the
// store had returned less than `rewriteTime` before. Thread safe.
bool mayLackWrites(const store_eras &eras, boot_time sentAt);

// rewriteSpread returns the time over which the nodes of a mesh spread their writes after a return. Thread safe.
milliseconds rewriteSpread(std::size_t nodes);

} // namespace pistachioquay
