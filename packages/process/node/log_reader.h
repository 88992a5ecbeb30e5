// Reads the platform log while the node is a reader of its data centre: follows stream `config` by long polls, polls
// stream `snapshots`, and writes a snapshot when one is due from this node. Runs on one thread.
//
//   log_reader reader({target, policy}, store, events, sources);
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
    snapshot_policy policy;
};

// Function that returns the role of the node. Called from the reader's thread.
struct log_reader_sources
{
    std::function<std::optional<std::uint32_t>()>
        readerRank; // rank among the readers of the data centre, 0 is first; empty: not a reader
};

class log_reader
{
public:
    log_reader(log_reader_options options,
               config_store &store,
               version_event_queue &events,
               log_reader_sources sources);

    // run reads the log until stop is requested. Called once.
    void run(const std::stop_token &stop);

private:
    bool followConfig(const std::stop_token &stop);
    bool loadNewestSnapshot(const std::stop_token &stop);
    void pollSnapshots();
    void writeSnapshotIfDue(std::uint32_t rank);
    void enqueueEvent(const version_event &event, const std::stop_token &stop);
    void backOff(const std::stop_token &stop);

    log_reader_options m_options;
    config_store &m_store;
    version_event_queue &m_events;
    log_reader_sources m_sources;
    random_generator m_generator = seededFromDevice();
    std::uint64_t m_nextOffset = 1; // next offset of `config` to read; the fold may lag behind it
    std::uint64_t m_nextSnapshotOffset = 0; // next offset of stream `snapshots`; 0: not read yet
    std::uint64_t m_newestSnapshotOffset = 0;
    time_point m_snapshotsPolledAt;
    unsigned m_failures = 0;
    bool m_isLogUnreachable = false;
};

} // namespace pistachioquay
