// What a node knows of its worker from the worker's own notices.
//
//   const notice_verdict verdict = applyNotice(life, notice, now);
//   if (isAcceptingRequests(life, now)) ...
//
// Notices may arrive seconds late and after a newer process of the worker has announced itself. The start time of the
// worker's process orders its processes, and the sequence orders the notices of one process. A process that has said
// that it leaves takes no work again.
//
// All functions work on one state of one loop and are not thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace pistachioquay {

// What a worker says of itself.
enum class notice_kind : std::uint8_t
{
    Ready,
    Draining,
    Left,
};

struct worker_notice
{
    notice_kind kind = notice_kind::Ready;
    std::string workerId;
    std::optional<std::int64_t> startedMs; // wall clock of the worker's start
    std::optional<std::uint64_t> sequence; // of this notice; absent in a farewell
    std::uint32_t slots = 0;
    milliseconds coldLeft{0}; // how much longer it is slow after its start
    std::int64_t receivedMs = 0; // wall clock of the VM at its arrival

    friend bool operator==(const worker_notice &, const worker_notice &) = default;
};

enum class notice_verdict : std::uint8_t
{
    Changed, // the node's belief about the worker changed
    Unchanged,
    Stale, // overtaken by newer news
};

// verdictName returns the lower-case name for logs. Thread safe.
std::string_view verdictName(notice_verdict verdict);

struct worker_liveness
{
    std::string workerId; // empty: no worker has announced itself
    std::int64_t startedMs = 0; // 0: not known yet, after a farewell that did not tell it
    std::int64_t receivedMs = 0; // wall clock of the VM when the process was first heard
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    bool isLeaving = false;
    bool isUnreachable = false; // its port is closed, or it is silent
    time_point warmUpUntil;
    time_point lastHeardAt;
    time_point leavingSince;

    friend bool operator==(const worker_liveness &, const worker_liveness &) = default;
};

// applyNotice takes over a notice.
notice_verdict applyNotice(worker_liveness &life, const worker_notice &notice, time_point now);

// recordUnreachable records that the worker could not be reached; the next notice that is not stale ends that. True if
// it was reachable before.
bool recordUnreachable(worker_liveness &life);

// recordSilence records a worker whose notices have stopped for `allowed`; true if the belief changed.
bool recordSilence(worker_liveness &life, milliseconds allowed, time_point now);

// isAcceptingRequests tells whether the worker gets new requests.
bool isAcceptingRequests(const worker_liveness &life);

} // namespace pistachioquay
