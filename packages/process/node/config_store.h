// The versions of a node, shared by its threads. Holds the fold behind a lock and publishes the configuration in force
// as one immutable value that request threads read without the lock.
//
//   config_store store("be-1");
//   store.absorb(records, steadyNow());
//   const auto config = store.config();   // null until the start-up gate has opened
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "process/spread/sync_messages.h"
#include "process/spread/version_state.h"
#include "version/tree/compiled_config.h"

namespace pistachioquay {

// Copy of what status shows.
struct store_status
{
    fold_progress progress;
    std::uint64_t versionInForce = 0;
    std::int64_t inForceSinceMs = 0; // wall-clock time of the swap
    bool isRouting = false;
    bool isSchemaBlocked = false;
    std::uint64_t rejectedRecords = 0;
    std::uint64_t snapshotPosition = 0;
    std::uint64_t logNext = 0;

    friend auto operator<=>(const store_status &, const store_status &) = default;
};

// All functions are thread safe.
class config_store
{
public:
    explicit config_store(std::string dataCentre);

    // config returns the configuration in force; null until the node may route.
    std::shared_ptr<const compiled_config> config() const;

    // progress returns how far the node has folded.
    fold_progress progress() const;

    // seen returns what the node tells its peers; see `advertisedProgress`.
    fold_progress seen() const;

    // absorb folds records or takes over a snapshot, and brings a new version into force.
    apply_result absorb(std::span<const timed_record> records, time_point now);
    apply_result absorb(fold_state snapshot, time_point now);

    // noteLog notes the range that the log keeps; notePeer how far a peer has folded; noteSnapshotInLog the newest
    // snapshot of the log. Each may open the start-up gate.
    void noteLog(std::uint64_t first, std::uint64_t next, time_point now);
    void notePeer(const fold_progress &heard, time_point now);
    void noteSnapshotInLog(std::uint64_t position, std::int64_t timeMs, bool isKept);

    // tick lets time pass for the start-up gate.
    void tick(time_point now);

    // respond builds the response to a peer that pulls from `position`.
    pull_response respond(std::uint64_t position) const;

    // dueSnapshot returns the state to write to the log if this node, the reader of `rank`, has to do it now.
    std::optional<fold_state> dueSnapshot(const snapshot_policy &rules, std::uint32_t rank, std::int64_t nowMs) const;

    store_status status() const;

private:
    void publishLocked(time_point now);

    const std::string m_dataCentre;
    mutable std::mutex m_mutex;
    version_state m_state;
    std::int64_t m_inForceSinceMs = 0;
    std::atomic<std::shared_ptr<const compiled_config>> m_config;
};

} // namespace pistachioquay
