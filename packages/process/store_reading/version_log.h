// What a node knows of the versions in the operator's log, and from which position it reads on.
//
//   const auto position = readPosition(log, eras, appliedVersion);        // empty: read the newest record
//   const store_version_read read = recordLogRead(log, {position, isComplete, ...}, appliedVersion);
//   if (provesNewest(read)) ...
//
// A position holds within one era of the store: in the next one, its offset belongs to any record, or to none.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "process/store_reading/store_era.h"

namespace pistachioquay {

// What a node has read from the log.
struct version_log
{
    std::optional<store_position> position; // where it reads on; empty: not read yet
    std::uint64_t newestVersion = 0; // highest that was read in the era of `position`
    bool isNewestReadable = true; // the newest record that was read could be decoded
    std::uint64_t appliedVersion = 0; // by the node, after its last read

    friend auto operator<=>(const version_log &, const version_log &) = default;
};

// A successful read of the log.
struct log_read
{
    store_position position; // where the next read continues
    bool isComplete = false; // covers all versions that the store held when the read was sent
    bool hasNewest = false; // brought a record
    std::optional<std::uint64_t> version; // of the newest record that it brought; empty: it could not be decoded

    friend auto operator<=>(const log_read &, const log_read &) = default;
};

// What a read has shown about the versions in the store.
struct store_version_read
{
    bool isComplete = false; // covers all versions that the store held when the read was sent
    bool isNewestReadable = true; // the newest of them could be decoded
    std::uint64_t newestVersion = 0; // of them
    std::uint64_t appliedVersion = 0; // by the node when the read was sent
    bool mayLackWrites = false; // it was sent before `provableFrom`

    friend auto operator<=>(const store_version_read &, const store_version_read &) = default;
};

// readPosition returns from where to read next; empty: only the newest record is needed. This is so if the applied
// version came from another node, as the log then still holds older versions after the last position, and in a new
// era. Thread safe.
std::optional<store_position>
readPosition(const version_log &log, const store_eras &eras, std::uint64_t appliedVersion);

// recordLogRead records a read that was sent when the node applied `appliedVersion`, and returns what it has shown.
// `mayLackWrites` tells whether it was sent before `provableFrom`.
store_version_read
recordLogRead(version_log &log, const log_read &read, std::uint64_t appliedVersion, bool mayLackWrites);

// isBehind returns whether the store has lost the applied version, and shows no newer one yet. Thread safe.
bool isBehind(const store_version_read &read);

// provesNewest returns whether a read proves that no version newer than the applied one was acknowledged before it was
// sent, once what it returned is applied. A store that is behind may have lost newer versions too. Thread safe.
bool provesNewest(const store_version_read &read);

} // namespace pistachioquay
