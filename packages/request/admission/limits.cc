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

// Hash that orders the nodes for one limit. It depends on the limit, so that the largest shares of different limits
// fall to different nodes.
std::uint64_t rankHash(std::uint64_t id, std::uint64_t nameHash)
{
    const std::array<std::uint64_t, 2> both = {id, nameHash};
    return hash64({reinterpret_cast<const char *>(both.data()), sizeof(both)}); // NOLINT: bytes of two integers
}

void updateRank(const limit_state &state, limit_entry &entry)
{
    if (entry.rankGeneration == state.seenGeneration) {
        return;
    }
    const std::uint64_t own = rankHash(state.selfHash, entry.nameHash);
    entry.rank = static_cast<std::uint64_t>(std::ranges::count_if(state.seenWorkers, [&](const seen_worker &seen) {
        const std::uint64_t other = rankHash(seen.id, entry.nameHash);
        return other < own || (other == own && seen.id < state.selfHash);
    }));
    entry.rankGeneration = state.seenGeneration;
}

void refill(limit_entry &entry, double tokensPerSecond, time_point now)
{
    const double capacity = std::max(1.0, tokensPerSecond * std::chrono::duration<double>(burstWindow).count());
    const double elapsed = std::chrono::duration<double>(now - entry.refilledAt).count();
    entry.tokens = std::min(capacity, entry.tokens + std::max(0.0, elapsed) * tokensPerSecond);
    entry.refilledAt = std::max(entry.refilledAt, now);
}

// Returns the index of the idle entry that was refilled longest ago, or `noLimit` if every entry is in use.
std::uint32_t findReusableEntry(limit_state &state)
{
    const auto oldest = std::ranges::min_element(state.entries, {}, [](const limit_entry &entry) {
        return entry.inUse > 0 ? time_point::max() : entry.refilledAt;
    });
    return oldest->inUse > 0 ? noLimit : static_cast<std::uint32_t>(oldest - state.entries.begin());
}

// Returns the index of the entry of `name`, which may be new, or `noLimit` if all entries are in use.
std::uint32_t findOrAddEntry(limit_state &state, std::string_view name, time_point now)
{
    const auto found = std::ranges::find(state.entries, name, &limit_entry::name);
    if (found != state.entries.end()) {
        return static_cast<std::uint32_t>(found - state.entries.begin());
    }
    std::uint32_t index = static_cast<std::uint32_t>(state.entries.size());
    if (index < maxLimits) {
        state.entries.emplace_back();
    } else {
        index = findReusableEntry(state);
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
    state.selfHash = hash64(selfId);
    state.startedAt = now;
    state.seenWorkers = {{state.selfHash, now}};
    return state;
}

void recordSeenWorkers(limit_state &state, std::span<const std::string_view> nodeIds, time_point now)
{
    const std::size_t countBefore = state.seenWorkers.size();
    const auto record = [&](std::uint64_t id) {
        const auto position = std::ranges::lower_bound(state.seenWorkers, id, {}, &seen_worker::id);
        if (position != state.seenWorkers.end() && position->id == id) {
            position->lastSeen = now;
        } else {
            state.seenWorkers.insert(position, {id, now});
        }
    };
    record(state.selfHash);
    for (const std::string_view nodeId : nodeIds) {
        record(hash64(nodeId));
    }
    const std::size_t countWithNew = state.seenWorkers.size();
    std::erase_if(state.seenWorkers, [&](const seen_worker &seen) {
        return now - seen.lastSeen > seenWorkerRetention;
    });
    if (countWithNew != countBefore || state.seenWorkers.size() != countWithNew) {
        ++state.seenGeneration;
    }
}

std::uint32_t concurrencyShare(std::uint32_t value, std::uint64_t rank, std::uint64_t count)
{
    if (rank >= value || count == 0) {
        return 0;
    }
    return static_cast<std::uint32_t>((value - rank - 1) / count + 1);
}

limit_verdict tryAcquireLimit(
    limit_state &state, std::string_view name, const limit_bound &bound, time_point now, std::uint32_t &index)
{
    index = noLimit;
    if (name.empty() || (bound.requestsPerSecond == 0 && bound.concurrency == 0)) {
        return limit_verdict::Pass;
    }
    const bool hasShare = now - state.startedAt >= newNodeShareDelay;
    const std::uint32_t found = findOrAddEntry(state, name, now);
    if (!hasShare || found == noLimit) {
        return bound.concurrency > 0 ? limit_verdict::OverConcurrency : limit_verdict::OverRate;
    }
    limit_entry &entry = state.entries[found];
    updateRank(state, entry);
    const std::uint64_t count = state.seenWorkers.size();
    if (bound.concurrency > 0 && entry.inUse >= concurrencyShare(bound.concurrency, entry.rank, count)) {
        return limit_verdict::OverConcurrency;
    }
    if (bound.requestsPerSecond > 0) {
        refill(entry, static_cast<double>(bound.requestsPerSecond) / static_cast<double>(count), now);
        if (entry.tokens < 1) {
            return limit_verdict::OverRate;
        }
        entry.tokens -= 1;
    }
    ++entry.inUse;
    index = found;
    return limit_verdict::Pass;
}

void releaseLimit(limit_state &state, std::uint32_t index)
{
    if (index < state.entries.size()) {
        limit_entry &entry = state.entries[index];
        entry.inUse -= std::min<std::uint32_t>(entry.inUse, 1);
    }
}

} // namespace pistachioquay
