// Snapshots of the fold state, cut into parts that fit into records of stream `snapshots`. The encoding is canonical:
// two nodes at one position write equal bytes.
//
//   for (const std::string &part : encodeSnapshot(state)) append("snapshots", part);
//
//   snapshot_collector collector;
//   for (const auto &record : records)
//       if (auto whole = addSnapshotPart(collector, record.data)) state = std::move(*whole);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "version/fold/fold.h"

namespace pistachioquay {

// Newest schema of snapshots that this program reads, and the one that it writes.
inline constexpr std::uint32_t snapshotSchema = 1;

// One part of a snapshot.
struct snapshot_part
{
    std::uint64_t position = 0; // that of the fold state
    hash128 hash; // of the whole snapshot
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string data;

    friend bool operator==(const snapshot_part &, const snapshot_part &) = default;
};

// Parts of snapshots that are not complete yet; bounded, the oldest position is dropped first.
struct snapshot_collector
{
    using snapshot_key = std::tuple<std::uint64_t, hash128, std::uint32_t>; // position, hash, count

    std::map<snapshot_key, std::map<std::uint32_t, snapshot_part>> pending;
};

// encodeSnapshot returns the parts of a state's snapshot, each smaller than the record limit. Thread safe.
std::vector<std::string> encodeSnapshot(const fold_state &state);

// decodeSnapshotPart reads any bytes. Thread safe. Fails with Corrupt or UnreadableSchema.
result<snapshot_part> decodeSnapshotPart(std::string_view bytes);

// assembleSnapshot joins all parts of one snapshot, in any order. Thread safe. Fails with NotFound if a part is
// missing, with Corrupt if parts of different snapshots are mixed or the hash differs, and with UnreadableSchema.
result<fold_state> assembleSnapshot(std::span<const snapshot_part> parts);

// addSnapshotPart adds a record of stream `snapshots` and returns the state once its snapshot is complete. Records that
// cannot be read are ignored. Not thread safe for one collector.
std::optional<fold_state> addSnapshotPart(snapshot_collector &collector, std::string_view bytes);

} // namespace pistachioquay
