// Rate and concurrency limits of a service. The value of a limit applies to all nodes of a data centre together; each
// node enforces its own share without talking to the others.
//
//   recordSeenWorkers(state, nodeIds, now);                                        // at each view, and once a second
//   limit_verdict verdict = tryAcquireLimit(state, "orders", {400, 64}, now, index);
//   ...
//   releaseLimit(state, index);                                                 // when the request has ended
//
// Let U be the set of workers that a node has seen in the last 30 s (itself included), n the size of U, and r the rank
// of the node in U by a hash of node id and limit name. The share of the node is
//   requests_per_s: value / n, as a token bucket that holds max(1, value / n * `burstWindow`) tokens and starts empty;
//   concurrency:    the number of integers k in [0, value) with k mod n = r. It is 0 on n - value nodes if value < n.
// A node that has just started has no share for its first 3 s, because the other nodes may not count it yet.
//
// Upper bound for all nodes together. Let L be the set of live nodes.
// - If the U of every node contains L, the concurrency shares sum to at most `value` (a share falls with n and with r,
//   and both are smallest for U = L), and at most value * (T + burstWindow) + |L| requests pass in any T seconds.
// - Stale views that contain too many nodes make both sums smaller.
// - If u live nodes are missing from the U of some other node, and K is the set of nodes known to all, the sums grow by
//   at most u * ceil(value / (|K| + 1)) and u * (value * (T + burstWindow) / (|K| + 1) + 1).
// - If the data centre is partitioned for longer than 30 s, each side uses the whole value.
//
// A request counts against a limit from admission to release, so queued requests use concurrency too. A share that
// shrinks stops no running request.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr seconds seenWorkerRetention{30}; // age at which a worker leaves the set U
inline constexpr seconds newNodeShareDelay{3}; // time without a share after the start of a node
inline constexpr milliseconds burstWindow{250}; // capacity of a token bucket, as time at its rate
inline constexpr std::size_t maxLimits = 256; // tracked limits; beyond it a new limit replaces an idle one
inline constexpr std::uint32_t noLimit = UINT32_MAX; // index for a request without a limit

// Values of a limit for the whole data centre; 0 means unlimited.
struct limit_bound
{
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t concurrency = 0;

    friend auto operator<=>(const limit_bound &, const limit_bound &) = default;
};

enum class limit_verdict : std::uint8_t
{
    Pass,
    OverRate,
    OverConcurrency,
};

namespace internal {

struct seen_worker
{
    std::uint64_t id = 0; // hash of the node id
    time_point lastSeen;
};

struct limit_entry
{
    std::string name;
    std::uint64_t nameHash = 0;
    std::uint32_t inUse = 0; // admitted requests, queued or running, that count against this limit
    double tokens = 0;
    time_point refilledAt;
    std::uint64_t rank = 0;
    std::uint64_t rankGeneration = 0; // `limit_state::seenGeneration` for which `rank` was computed
};

} // namespace internal

struct limit_state
{
    std::uint64_t selfHash = 0; // hash of the id of this node
    time_point startedAt;
    std::vector<internal::seen_worker> seenWorkers; // the set U, sorted by id; includes this node
    std::uint64_t seenGeneration = 1; // incremented when the ids in `seenWorkers` change
    std::vector<internal::limit_entry> entries; // an index stays valid while a request counts against its entry
};

// makeLimits returns the limit state of a node that starts at `now`. Thread safe.
limit_state makeLimits(std::string_view selfId, time_point now);

// recordSeenWorkers adds workers of the service in the same data centre, ready or not, to the set U, and removes those
// not seen for 30 s. Not thread safe.
void recordSeenWorkers(limit_state &state, std::span<const std::string_view> nodeIds, time_point now);

// tryAcquireLimit counts one request against this node's share of the limit `name`, or returns which bound is reached.
// On Pass, `index` is the value for `releaseLimit`. Not thread safe.
limit_verdict tryAcquireLimit(
    limit_state &state, std::string_view name, const limit_bound &bound, time_point now, std::uint32_t &index);

// releaseLimit gives back the concurrency that one request used. `noLimit` is ignored. Not thread safe.
void releaseLimit(limit_state &state, std::uint32_t index);

// concurrencyShare returns the part of the concurrency limit `value` for the node of rank `rank` among `count` nodes.
// Thread safe.
std::uint32_t concurrencyShare(std::uint32_t value, std::uint64_t rank, std::uint64_t count);

} // namespace pistachioquay
