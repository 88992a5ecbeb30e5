// Confirmation that a worker has not departed, after its node's process has started anew.
//
// Heartbeats can arrive seconds late. The first ones after a start may have been sent before it, by a worker whose
// departure an earlier process of the node has acknowledged. Whoever held this departure may have been killed as well.
// But a worker that has departed does not report that it is ready any more. A heartbeat that was sent since the start
// therefore confirms its worker, whatever has been lost. Such a heartbeat
//
//   - arrived at the reply address: one that only this process has named, in the response to an earlier heartbeat, or
//   - passes isSentSinceStart, for workers that ignore the reply address.
//
// Both take at least as long as the worker waits between two heartbeats. If the store responds right after the start, a
// departure can only be lost if it was acknowledged in an outage that ended just before. The node then rejects the
// first heartbeats: a running worker repeats each at once, whereas late ones do not arrive in step with the rejections.
//
//   recordHeartbeat(received, sequence, now);
//   if (isSentSinceStart(start, received, now)) ...
//   else if (shouldRepeatHeartbeat(start, received, now)) ...
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds maxHeartbeatDelay{10'000}; // between the sending and the arrival of a heartbeat
inline constexpr milliseconds maxPromptStoreRead{1000}; // after the start
// Time between a rejected heartbeat and its repetition. Heartbeats that follow each other faster are no repetitions,
// because the node takes this time to reject one.
inline constexpr milliseconds minRepeatDelay{20};
inline constexpr milliseconds maxRepeatDelay{250};
inline constexpr std::uint32_t repeatsToConfirm = 3;

// Start of the node's process, before which heartbeats may have been sent.
struct node_start
{
    time_point at;
    milliseconds noticeInterval{0}; // time between two heartbeats of the worker
    std::optional<time_point> storeReadAt; // first response of the store

    friend bool operator==(const node_start &, const node_start &) = default;
};

// The heartbeats of a worker's process that arrived since the start, apart from stale ones.
struct received_heartbeats
{
    std::uint64_t firstSequence = 0;
    time_point firstAt;
    std::uint64_t lastSequence = 0;
    time_point lastAt;
    std::uint32_t repeats = 0; // how many repeated the one before
    bool isInStep = true; // all but the first one did

    friend bool operator==(const received_heartbeats &, const received_heartbeats &) = default;
};

// recordHeartbeat adds a heartbeat to those received.
void recordHeartbeat(received_heartbeats &received, std::uint64_t sequence, time_point now);

// isSentSinceStart returns whether the last received heartbeat must have been sent since the start, at `now`, when it
// arrived: otherwise it or the first one would have been delayed by `maxHeartbeatDelay` or more, or late ones would
// have arrived in step with the rejections. Thread safe.
bool isSentSinceStart(const node_start &start, const received_heartbeats &received, time_point now);

// shouldRepeatHeartbeat returns whether the last received heartbeat of an unconfirmed worker, which arrived at `now`,
// is rejected, `minRepeatDelay` later, so that the worker repeats it. A worker that does not repeat one at once gets an
// acknowledgement with the reply address for its next one. Thread safe.
bool shouldRepeatHeartbeat(const node_start &start, const received_heartbeats &received, time_point now);

} // namespace pistachioquay
