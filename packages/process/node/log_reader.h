// Log duty of a node: while it is a reader of its data centre it follows stream `config` by long polls, watches stream
// `snapshots`, and writes a snapshot when its turn has come. Runs on one thread.
//
//   log_reader reader({target, rules}, store, ring, sources);
//   std::jthread thread([&](const std::stop_token &stop) { reader.run(stop); });
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>

#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "process/node/config_store.h"
#include "process/node/version_events.h"

namespace pistachioquay {

struct log_reader_options
{
    log_target target;
    snapshot_policy rules;
};

// How the reader learns about its role. Called from the reader's thread.
struct log_reader_sources
{
    std::function<std::optional<std::uint32_t>()> readerRank; // rank among the readers; empty: not a reader
};

class log_reader
{
public:
    log_reader(log_reader_options options, config_store &store, version_ring &ring, log_reader_sources sources);

    // run works until stop is requested. Called once.
    void run(const std::stop_token &stop);

private:
    bool followConfig(const std::stop_token &stop);
    bool loadNewestSnapshot(const std::stop_token &stop);
    void watchSnapshots();
    void writeSnapshotIfDue(std::uint32_t rank);
    void push(const version_event &event, const std::stop_token &stop);
    void backOff(const std::stop_token &stop);

    log_reader_options m_options;
    config_store &m_store;
    version_ring &m_ring;
    log_reader_sources m_sources;
    random_generator m_generator = seededFromDevice();
    std::uint64_t m_handedOver = 1; // next offset to read; the fold may lag behind it
    std::uint64_t m_snapshotNext = 0; // next offset of stream `snapshots`; 0: not read yet
    std::uint64_t m_newestSnapshotOffset = 0;
    time_point m_snapshotsWatchedAt;
    unsigned m_failures = 0;
    bool m_isLogDown = false;
};

} // namespace pistachioquay
