// Events that the log reader and the sync client send to the thread that folds records.
//
//   version_event_queue events(versionEventQueueCapacity);
//   events.tryPush(log_update{batch});
#pragma once

#include <variant>

#include "base/ring.h"
#include "connection/log_client/log_client.h"
#include "process/spread/sync_messages.h"

namespace pistachioquay {

// Records read from the log, with the range of offsets that it keeps.
struct log_update
{
    log_batch batch;

    friend bool operator==(const log_update &, const log_update &) = default;
};

// A snapshot read from the log.
struct snapshot_update
{
    fold_state state;

    friend bool operator==(const snapshot_update &, const snapshot_update &) = default;
};

// Response of a peer to a pull.
struct peer_update
{
    pull_response response;

    friend bool operator==(const peer_update &, const peer_update &) = default;
};

using version_event = std::variant<log_update, snapshot_update, peer_update>;
using version_event_queue = bounded_ring<version_event>;

inline constexpr std::size_t versionEventQueueCapacity = 16;

} // namespace pistachioquay
