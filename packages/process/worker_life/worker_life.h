// Liveness of the worker on a node's VM, as the worker reports it in its notices: heartbeats and leave notices.
//
//   const notice_verdict verdict = applyNotice(worker, notice, now);
//   if (isAcceptingRequests(worker)) ...
//
// Notices can arrive seconds late, even after a newer process of the worker has announced itself. Processes are ordered
// by their start time, and the notices of one process by their sequence number. A process that has announced that it
// leaves never gets requests again, also if its node restarts in between (see departure.h and confirmation.h).
//
// Not thread safe unless noted: the functions work on a state that belongs to one event loop.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "process/worker_life/confirmation.h"
#include "process/worker_life/departure.h"

namespace pistachioquay {

// What a notice announces.
enum class notice_kind : std::uint8_t
{
    Ready, // heartbeat of a worker that accepts requests
    Draining, // heartbeat of a worker that shuts down
    Left, // leave notice
};

struct worker_notice
{
    notice_kind kind = notice_kind::Ready;
    std::string workerId;
    std::optional<std::int64_t> startedMs; // start of the worker's process by the wall clock of the VM
    std::optional<std::uint64_t> sequence; // of this notice; absent in a leave notice
    std::uint32_t slots = 0;
    std::string version; // of the worker's software; empty if not stated
    milliseconds warmUpRemaining{0}; // remaining time for which the worker is slow after its start
    std::int64_t receivedMs = 0; // arrival of the notice by the wall clock of the VM
    bool isAtReplyAddress = false; // it arrived at an address that only this process of the node has named

    friend bool operator==(const worker_notice &, const worker_notice &) = default;
};

enum class notice_verdict : std::uint8_t
{
    Changed, // the recorded state of the worker changed
    Unchanged,
    Stale, // ignored: older than the recorded state, or a leave notice of another worker
};

// verdictName returns the lower-case name of a verdict for logs. Thread safe.
std::string_view verdictName(notice_verdict verdict);

// The recorded state of the worker. Default values: no worker has announced itself.
struct worker_liveness
{
    std::string workerId; // empty: no worker has announced itself
    std::int64_t startedMs = 0; // 0: unknown, after a leave notice without a start time
    std::int64_t firstReceivedMs = 0; // arrival of the first notice of the process by the wall clock of the VM
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    std::string version; // of the worker's software; empty if not stated
    bool isLeaving = false;
    bool isUnreachable = false; // connections to it fail, or it is silent
    bool isRecovering = false; // the node has restarted and does not know yet which processes have left
    bool isUnconfirmed = false; // all its heartbeats so far may have been sent before `nodeStart`
    std::optional<node_start> nodeStart; // empty: no notice of before the start of the node can arrive
    received_heartbeats heartbeats; // of the process
    departure_list departures; // also of earlier processes of the worker
    time_point warmUpUntil;
    time_point lastHeardAt;
    time_point leavingSince;

    friend bool operator==(const worker_liveness &, const worker_liveness &) = default;
};

// An unknown process cannot have started long after its notice arrived, apart from clocks that differ by seconds.
// Another writer's notice with such a start would make all later ones of the worker look old. The known process is
// exempt: its VM's clock can be set back while it runs.
inline constexpr std::int64_t maxStartAheadMs = 60 * 1000;

// applyNotice records what a notice announces, unless the notice is stale or its start lies in the future. A departure
// is recorded even if the notice is stale: it is acknowledged, so its process must not get requests later.
notice_verdict applyNotice(worker_liveness &worker, const worker_notice &notice, time_point now);

// recordUnreachable records that the worker could not be reached; the next heartbeat that is not stale resets this.
// Returns true if the worker was reachable before.
bool recordUnreachable(worker_liveness &worker);

// recordSilence records the worker as unreachable if it has sent no heartbeat for longer than `allowed`. Returns true
// if it was reachable before.
bool recordSilence(worker_liveness &worker, milliseconds allowed, time_point now);

// recoverDepartures adds departures that others have held for the node. Returns true if the worker that has announced
// itself meanwhile is one of them and thus leaves.
bool recoverDepartures(worker_liveness &worker, const std::vector<worker_departure> &departures, time_point now);

// isAcceptingRequests returns whether the worker may get new requests: it has announced itself since the start of the
// node, is not leaving, is reachable, and the node knows that it has not left before.
bool isAcceptingRequests(const worker_liveness &worker);

} // namespace pistachioquay
