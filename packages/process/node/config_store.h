// Configuration state of a node, shared by its threads. A mutex guards the state folded from the log. The configuration
// in force, by which the node routes, is an immutable value that request threads read without the mutex.
//
//   config_store store("be-1");
//   store.apply(records, steadyNow());
//   const auto config = store.config();   // null until the start-up gate opens and a version is in force
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

// State of the store for the status response.
struct store_status
{
    fold_progress progress;
    std::uint64_t versionInForce = 0; // 0: none
    std::int64_t inForceSinceMs = 0; // wall-clock time at which that version was applied
    bool isRouting = false; // the start-up gate has opened
    bool isSchemaBlocked = false; // the next record has a newer schema than this program reads
    std::uint64_t rejectedRecords = 0;
    std::uint64_t snapshotPosition = 0; // of the newest snapshot seen in the log; 0: none
    std::uint64_t logNext = 0; // offset of the next append to the log

    friend auto operator<=>(const store_status &, const store_status &) = default;
};

// All functions are thread safe.
class config_store
{
public:
    explicit config_store(std::string dataCentre);

    // config returns the configuration in force; null while there is none.
    std::shared_ptr<const compiled_config> config() const;

    // progress returns how far the node has folded the log.
    fold_progress progress() const;

    // progressForPeers returns the progress that the node announces to its peers; see `advertisedProgress`.
    fold_progress progressForPeers() const;

    // apply folds records, or replaces the folded state by a snapshot that is ahead of it. A new version comes into
    // force if the start-up gate is open.
    apply_result apply(std::span<const timed_record> records, time_point now);
    apply_result apply(fold_state snapshot, time_point now);

    // recordLogRange records the range of offsets that the log keeps. May open the start-up gate.
    void recordLogRange(std::uint64_t first, std::uint64_t next, time_point now);
    // recordPeerProgress records how far a peer has folded the log. May open the start-up gate.
    void recordPeerProgress(const fold_progress &heard, time_point now);
    // recordSnapshotInLog records the position and log time of the newest snapshot in the log; `isKept` is false when
    // the log keeps none.
    void recordSnapshotInLog(std::uint64_t position, std::int64_t timeMs, bool isKept);

    // tick opens the start-up gate if only its waiting time was left and has passed.
    void tick(time_point now);

    // buildPullResponse returns the records that a peer at `position` lacks, or a snapshot if they are no longer kept.
    pull_response buildPullResponse(std::uint64_t position) const;

    // snapshotToWrite returns the state to write to the log as a snapshot, if one is due from the reader of rank
    // `rank`, this node.
    std::optional<fold_state>
    snapshotToWrite(const snapshot_policy &policy, std::uint32_t rank, std::int64_t nowMs) const;

    store_status status() const;

private:
    // publishLocked advances the start-up gate and, once it is open, puts the newest version into force. The caller
    // holds m_mutex.
    void publishLocked(time_point now);

    const std::string m_dataCentre;
    mutable std::mutex m_mutex;
    version_state m_state;
    std::int64_t m_inForceSinceMs = 0;
    std::atomic<std::shared_ptr<const compiled_config>> m_config;
};

} // namespace pistachioquay
