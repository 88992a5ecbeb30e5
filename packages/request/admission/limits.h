// Share of a node in the limits of its service. A limit's value counts for all nodes of a data centre together.
//
//   recordSeenWorkers(state, nodeIds, now);                                        // at each view, and once a second
//   limit_verdict verdict = takeLimit(state, "orders", {400, 64}, now, index);
//   ...
//   releaseLimit(state, index);                                                 // when the request has ended
//
// Let U be the set of workers that a node has seen in the last 30 s (itself included), n its size, and r the rank of
// the node in U by a hash of node id and limit name. The node's share is
//   requests_per_s: value / n, as a token bucket that holds max(1, value / n * `burstWindow`) tokens and starts empty;
//   concurrency:    the number of integers k in [0, value) with k mod n = r, which is 0 on n - value nodes if value <
//   n.
// A new node takes no share for its first 3 s.
//
// Overshoot bound. Let L be the live nodes. If every node's U contains L, the shares of concurrency sum to at most
// `value` (share falls with n and with r, and both are smallest for U = L), and in any T seconds at most
// value * (T + burstWindow) + |L| requests pass. Stale views that contain too many nodes make both sums smaller. If u
// live nodes are missing from the U of some other node, and K are those known to all, the sums grow by at most
// u * ceil(value / (|K| + 1)) and u * (value * (T + burstWindow) / (|K| + 1) + 1). A split of the data centre that
// lasts longer than 30 s gives each side the whole value.
// A limit counts a request from admission to release, so queued requests hold a share of concurrency. Shrinking the
// share stops no request that runs.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr seconds workerMemory{30}; // U of the comment above
inline constexpr seconds newNodeWait{3};
inline constexpr milliseconds burstWindow{250};
inline constexpr std::size_t maxLimits = 256; // limits with a state; unused ones are dropped first
inline constexpr std::uint32_t noLimit = UINT32_MAX; // index of a request without limit

// Values of a limit for the data centre; 0 means no bound.
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
    std::uint32_t active = 0; // requests that hold this limit
    double tokens = 0;
    time_point filledAt;
    std::uint64_t rank = 0;
    std::uint64_t rankSerial = 0; // `limit_state::serial` for which `rank` was computed
};

} // namespace internal

struct limit_state
{
    std::uint64_t self = 0; // hash of the node id
    time_point startedAt;
    std::vector<internal::seen_worker> seen; // sorted by id, includes `self`
    std::uint64_t serial = 1; // raised when the ids in `seen` change
    std::vector<internal::limit_entry> entries; // indexes stay valid while a request holds them
};

// makeLimits returns the state of a node that has just started. Thread safe.
limit_state makeLimits(std::string_view selfId, time_point now);

// recordSeenWorkers records the workers of the service in the own data centre, whatever their state. Not thread safe.
void recordSeenWorkers(limit_state &state, std::span<const std::string_view> nodeIds, time_point now);

// takeLimit takes one request out of the share of `name`, or tells which bound is reached. Not thread safe. On Pass,
// `index` names the share for `releaseLimit`.
limit_verdict
takeLimit(limit_state &state, std::string_view name, const limit_bound &bound, time_point now, std::uint32_t &index);

// releaseLimit returns the share of concurrency of one request. Not thread safe.
void releaseLimit(limit_state &state, std::uint32_t index);

// concurrencyShare returns how many of `value` the node of rank `rank` among `count` nodes may use. Thread safe.
std::uint32_t concurrencyShare(std::uint32_t value, std::uint64_t rank, std::uint64_t count);

} // namespace pistachioquay
