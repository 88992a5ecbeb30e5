#include "request/admission/limits.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

#include "base/hash.h"

namespace pistachioquay {

using internal::limit_entry;
using internal::seen_worker;

namespace {

// Order of the nodes for one limit, so that different limits favour different nodes.
std::uint64_t orderOf(std::uint64_t id, std::uint64_t nameHash)
{
    const std::array<std::uint64_t, 2> both = {id, nameHash};
    return hash64({reinterpret_cast<const char *>(both.data()), sizeof(both)}); // NOLINT: bytes of two integers
}

void renewRank(const limit_state &state, limit_entry &entry)
{
    if (entry.rankSerial == state.serial) {
        return;
    }
    const std::uint64_t own = orderOf(state.self, entry.nameHash);
    entry.rank = static_cast<std::uint64_t>(std::ranges::count_if(state.seen, [&](const seen_worker &seen) {
        const std::uint64_t other = orderOf(seen.id, entry.nameHash);
        return other < own || (other == own && seen.id < state.self);
    }));
    entry.rankSerial = state.serial;
}

void refill(limit_entry &entry, double tokensPerSecond, time_point now)
{
    const double size = std::max(1.0, tokensPerSecond * std::chrono::duration<double>(burstWindow).count());
    const double elapsed = std::chrono::duration<double>(now - entry.filledAt).count();
    entry.tokens = std::min(size, entry.tokens + std::max(0.0, elapsed) * tokensPerSecond);
    entry.filledAt = std::max(entry.filledAt, now);
}

std::uint32_t reuseEntry(limit_state &state)
{
    const auto oldest = std::ranges::min_element(state.entries, {}, [](const limit_entry &entry) {
        return entry.active > 0 ? time_point::max() : entry.filledAt;
    });
    return oldest->active > 0 ? noLimit : static_cast<std::uint32_t>(oldest - state.entries.begin());
}

std::uint32_t entryOf(limit_state &state, std::string_view name, time_point now)
{
    const auto found = std::ranges::find(state.entries, name, &limit_entry::name);
    if (found != state.entries.end()) {
        return static_cast<std::uint32_t>(found - state.entries.begin());
    }
    std::uint32_t index = static_cast<std::uint32_t>(state.entries.size());
    if (index < maxLimits) {
        state.entries.emplace_back();
    } else {
        index = reuseEntry(state);
    }
    if (index != noLimit) {
        state.entries[index] = {std::string(name), hash64(name), 0, 0, now, 0, 0};
    }
    return index;
}

} // namespace

limit_state makeLimits(std::string_view selfId, time_point now)
{
    limit_state state;
    state.self = hash64(selfId);
    state.startedAt = now;
    state.seen = {{state.self, now}};
    return state;
}

void recordSeenWorkers(limit_state &state, std::span<const std::string_view> nodeIds, time_point now)
{
    const std::size_t before = state.seen.size();
    const auto note = [&](std::uint64_t id) {
        const auto place = std::ranges::lower_bound(state.seen, id, {}, &seen_worker::id);
        if (place != state.seen.end() && place->id == id) {
            place->lastSeen = now;
        } else {
            state.seen.insert(place, {id, now});
        }
    };
    note(state.self);
    for (const std::string_view nodeId : nodeIds) {
        note(hash64(nodeId));
    }
    const std::size_t grown = state.seen.size();
    std::erase_if(state.seen, [&](const seen_worker &seen) {
        return now - seen.lastSeen > workerMemory;
    });
    if (grown != before || state.seen.size() != grown) {
        ++state.serial;
    }
}

std::uint32_t concurrencyShare(std::uint32_t value, std::uint64_t rank, std::uint64_t count)
{
    if (rank >= value || count == 0) {
        return 0;
    }
    return static_cast<std::uint32_t>((value - rank - 1) / count + 1);
}

limit_verdict
takeLimit(limit_state &state, std::string_view name, const limit_bound &bound, time_point now, std::uint32_t &index)
{
    index = noLimit;
    if (name.empty() || (bound.requestsPerSecond == 0 && bound.concurrency == 0)) {
        return limit_verdict::Pass;
    }
    const bool hasShare = now - state.startedAt >= newNodeWait;
    const std::uint32_t found = entryOf(state, name, now);
    if (!hasShare || found == noLimit) {
        return bound.concurrency > 0 ? limit_verdict::OverConcurrency : limit_verdict::OverRate;
    }
    limit_entry &entry = state.entries[found];
    renewRank(state, entry);
    const std::uint64_t count = state.seen.size();
    if (bound.concurrency > 0 && entry.active >= concurrencyShare(bound.concurrency, entry.rank, count)) {
        return limit_verdict::OverConcurrency;
    }
    if (bound.requestsPerSecond > 0) {
        refill(entry, static_cast<double>(bound.requestsPerSecond) / static_cast<double>(count), now);
        if (entry.tokens < 1) {
            return limit_verdict::OverRate;
        }
        entry.tokens -= 1;
    }
    ++entry.active;
    index = found;
    return limit_verdict::Pass;
}

void releaseLimit(limit_state &state, std::uint32_t index)
{
    if (index < state.entries.size()) {
        limit_entry &entry = state.entries[index];
        entry.active -= std::min<std::uint32_t>(entry.active, 1);
    }
}

} // namespace pistachioquay
