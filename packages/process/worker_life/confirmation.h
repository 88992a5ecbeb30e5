// Confirmation that a worker has not departed, after its node's process has started anew.
//
// Heartbeats can arrive seconds late. The first ones after a start may have been sent before it, by a worker whose
// departure an earlier process of the node has acknowledged. Whoever held this departure may have been killed as well.
// But a worker that has departed does not report that it is ready any more. A heartbeat that was sent since the start
// therefore confirms its worker, whatever has been lost. Such a heartbeat
//
//   - arrived at the reply address: one that only this process has named, in the response to an earlier heartbeat, or
//   - passes isSentSinceStart, for workers that ignore the reply address.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds maxHeartbeatDelay{10'000}; // between the sending and the arrival of a heartbeat

// Start of the node's process, before which heartbeats may have been sent.
struct node_start
{
    time_point at;
    milliseconds noticeInterval{0}; // time between two heartbeats of the worker

    friend bool operator==(const node_start &, const node_start &) = default;
};

// The first heartbeat of a worker's process that arrived since the start.
struct first_heartbeat
{
    std::uint64_t sequence = 0;
    time_point receivedAt;

    friend bool operator==(const first_heartbeat &, const first_heartbeat &) = default;
};

// isSentSinceStart returns whether the heartbeat `sequence`, which arrived at `now`, must have been sent since the
// start: otherwise it, or the first one, would have been delayed by `maxHeartbeatDelay` or more. `sequence` is at least
// that of the first one. Thread safe.
bool isSentSinceStart(const node_start &start, const first_heartbeat &first, std::uint64_t sequence, time_point now);

} // namespace pistachioquay
