#include "process/node/config_store.h"

#include <utility>

#include <glog/logging.h>

#include "version/fold/snapshot.h"
#include "version/tree/compile.h"

namespace pistachioquay {

config_store::config_store(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

std::shared_ptr<const compiled_config> config_store::config() const
{
    return m_config.load();
}

fold_progress config_store::progress() const
{
    const std::lock_guard guard(m_mutex);
    return progressOf(m_state);
}

fold_progress config_store::progressForPeers() const
{
    const std::lock_guard guard(m_mutex);
    return advertisedProgress(m_state);
}

apply_result config_store::apply(std::span<const timed_record> records, time_point now)
{
    const std::lock_guard guard(m_mutex);
    const bool wasBlocked = m_state.blockedBy.has_value();
    const apply_result report = applyRecords(m_state, records);
    if (m_state.blockedBy && !wasBlocked) {
        LOG(ERROR) << "[fold] Record " << m_state.folded.position << " has a newer schema; version "
                   << m_state.folded.version << " stays in force. Replace this node by a newer release.";
    }
    publishLocked(now);
    return report;
}

apply_result config_store::apply(fold_state snapshot, time_point now)
{
    const std::lock_guard guard(m_mutex);
    const apply_result report = applySnapshot(m_state, std::move(snapshot));
    publishLocked(now);
    return report;
}

void config_store::recordLogRange(std::uint64_t first, std::uint64_t next, time_point now)
{
    const std::lock_guard guard(m_mutex);
    updateLogRange(m_state, first, next);
    m_state.gate = withLogEnd(m_state.gate, next);
    publishLocked(now);
}

void config_store::recordPeerProgress(const fold_progress &heard, time_point now)
{
    const std::lock_guard guard(m_mutex);
    m_state.gate = withPeerProgress(m_state.gate, heard, now);
    publishLocked(now);
}

void config_store::recordSnapshotInLog(std::uint64_t position, std::int64_t timeMs, bool isKept)
{
    const std::lock_guard guard(m_mutex);
    updateNewestSnapshot(m_state, position, timeMs, isKept);
}

void config_store::tick(time_point now)
{
    const std::lock_guard guard(m_mutex);
    publishLocked(now);
}

pull_response config_store::buildPullResponse(std::uint64_t position) const
{
    pull_response response;
    std::unique_lock guard(m_mutex);
    const fold_progress progress = advertisedProgress(m_state);
    response.position = progress.position;
    response.version = progress.version;
    if (position >= progress.position) {
        return response;
    }
    auto records = recordsForPeer(m_state, position, maxPulledBytes);
    if (records) {
        for (config_record &each : *records) {
            response.records.push_back({std::move(each), 0});
        }
        return response;
    }
    // The copy shares the tree with the state of the store, and is encoded without holding the lock.
    const fold_state copy = m_state.folded;
    guard.unlock();
    response.snapshotParts = encodeSnapshot(copy);
    return response;
}

std::optional<fold_state>
config_store::snapshotToWrite(const snapshot_policy &policy, std::uint32_t rank, std::int64_t nowMs) const
{
    const std::lock_guard guard(m_mutex);
    if (m_state.blockedBy || !isSnapshotDue(m_state.snapshots, policy, rank, nowMs)) {
        return std::nullopt;
    }
    return m_state.folded;
}

store_status config_store::status() const
{
    const std::lock_guard guard(m_mutex);
    const auto config = m_config.load();
    return {
        .progress = progressOf(m_state),
        .versionInForce = config ? config->version : 0,
        .inForceSinceMs = m_inForceSinceMs,
        .isRouting = m_state.gate.wasOpened,
        .isSchemaBlocked = m_state.blockedBy.has_value(),
        .rejectedRecords = m_state.rejectedRecords,
        .snapshotPosition = m_state.snapshots.snapshotPosition,
        .logNext = m_state.snapshots.logNext,
    };
}

void config_store::publishLocked(time_point now)
{
    m_state.gate = advanceGate(m_state.gate, advertisedProgress(m_state), now);
    if (!m_state.gate.wasOpened) {
        return;
    }
    const auto current = m_config.load();
    const std::uint64_t version = m_state.folded.version;
    if (version == 0 || (current && current->version >= version)) {
        return;
    }
    auto compiled = attempt([&] {
        return compileConfig(m_state.folded.tree, m_dataCentre, version);
    });
    if (!compiled) {
        LOG(ERROR) << "[fold] Version " << version << " does not compile. " << describe(compiled.failure());
        return;
    }
    m_config.store(std::make_shared<const compiled_config>(*std::move(compiled)));
    m_inForceSinceMs = unixNowMs();
    LOG(INFO) << "[fold] Version " << version << " is in force.";
}

} // namespace pistachioquay
