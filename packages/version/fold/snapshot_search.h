// Finds the newest usable snapshot in a stream by reading it backwards in bounded steps.
//
//   const snapshot_bounds bounds{oldestRecord, logEnd};
//   BOOST_LEAF_AUTO(found, findSnapshot(stream.first, stream.next, bounds, readParts));
//   fold_state state = found ? *std::move(found) : fold_state{};
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "version/fold/snapshot.h"

namespace pistachioquay {

// Positions that a snapshot may have: records from its position on are kept, and it is not newer than wanted.
struct snapshot_bounds
{
    std::uint64_t leastPosition = 1;
    std::uint64_t mostPosition = 0;

    friend bool operator==(const snapshot_bounds &, const snapshot_bounds &) = default;
};

// Returns the bytes of the records in [from, to) that are still kept.
using part_reader = std::function<result<std::vector<std::string>>(std::uint64_t from, std::uint64_t to)>;

// findSnapshot returns the state with the highest position within `bounds` among the complete snapshots of a stream
// that keeps the offsets [first, next); empty if there is none. Unreadable and incomplete snapshots are passed over.
// Fails only as `read` does. Thread safe.
result<std::optional<fold_state>>
findSnapshot(std::uint64_t first, std::uint64_t next, const snapshot_bounds &bounds, const part_reader &read);

} // namespace pistachioquay
