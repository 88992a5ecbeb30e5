// What the log reader and the sync client hand to the fold thread.
//
//   version_ring ring(versionRingCapacity);
//   ring.tryPush(log_news{batch});
#pragma once

#include <variant>

#include "base/ring.h"
#include "connection/log_client/log_client.h"
#include "process/spread/sync_messages.h"

namespace pistachioquay {

// Records read from the log, with the range that it keeps.
struct log_news
{
    log_batch batch;

    friend bool operator==(const log_news &, const log_news &) = default;
};

// A snapshot read from the log.
struct snapshot_news
{
    fold_state state;

    friend bool operator==(const snapshot_news &, const snapshot_news &) = default;
};

// What a peer responded to a pull.
struct peer_news
{
    pull_response response;

    friend bool operator==(const peer_news &, const peer_news &) = default;
};

using version_event = std::variant<log_news, snapshot_news, peer_news>;
using version_ring = bounded_ring<version_event>;

inline constexpr std::size_t versionRingCapacity = 16;

} // namespace pistachioquay
