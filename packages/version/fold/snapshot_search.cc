#include "version/fold/snapshot_search.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pistachioquay {

namespace {

constexpr std::uint64_t recordsPerStep = 16;

using snapshot_key = std::tuple<std::uint64_t, hash128, std::uint32_t>; // position, hash, count
using part_map = std::map<std::uint32_t, snapshot_part>;
using pending_map = std::map<snapshot_key, part_map>;

void addPart(const std::string &bytes, const snapshot_bounds &bounds, pending_map &pending)
{
    auto part = attempt([&] {
        return decodeSnapshotPart(bytes);
    });
    if (!part || part->position < bounds.leastPosition || part->position > bounds.mostPosition) {
        return;
    }
    const snapshot_key key{part->position, part->hash, part->count};
    const std::uint32_t index = part->index;
    pending[key].insert_or_assign(index, *std::move(part));
}

// Takes the complete snapshot with the highest position out of `pending`, if it can be read.
std::optional<fold_state> takeComplete(pending_map &pending)
{
    for (auto each = pending.end(); each != pending.begin();) {
        --each;
        if (each->second.size() < std::get<std::uint32_t>(each->first)) {
            continue;
        }
        std::vector<snapshot_part> parts;
        for (auto &[index, part] : each->second) {
            parts.push_back(std::move(part));
        }
        each = pending.erase(each);
        auto state = attempt([&] {
            return assembleSnapshot(parts);
        });
        if (state) {
            return *std::move(state);
        }
    }
    return std::nullopt;
}

} // namespace

result<std::optional<fold_state>>
findSnapshot(std::uint64_t first, std::uint64_t next, const snapshot_bounds &bounds, const part_reader &read)
{
    pending_map pending;
    while (next > first) {
        const std::uint64_t from = next - first > recordsPerStep ? next - recordsPerStep : first;
        BOOST_LEAF_AUTO(records, read(from, next));
        for (const std::string &bytes : records) {
            addPart(bytes, bounds, pending);
        }
        if (auto state = takeComplete(pending)) {
            return state;
        }
        next = from;
    }
    return std::optional<fold_state>();
}

} // namespace pistachioquay
