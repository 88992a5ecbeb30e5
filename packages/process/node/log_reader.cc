#include "process/node/log_reader.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include <glog/logging.h>

#include "process/node/pause.h"
#include "version/fold/snapshot.h"
#include "version/fold/snapshot_search.h"

namespace pistachioquay {

namespace {

constexpr std::string_view configStream = "config";
constexpr std::string_view snapshotStream = "snapshots";
constexpr std::uint32_t maxReadRecords = 200;
constexpr std::uint32_t maxPolledSnapshotRecords = 32;
constexpr milliseconds longPollTimeout{2000};
constexpr milliseconds roleCheckInterval{250}; // while the node is not a reader
constexpr milliseconds fullQueueRetryInterval{20};
constexpr seconds snapshotPollInterval{5};
constexpr milliseconds baseRetryDelay{100};
constexpr milliseconds maxRetryDelay{5000};

result<std::vector<std::string>> readSnapshotParts(const log_target &target, std::uint64_t from, std::uint64_t to)
{
    std::vector<std::string> parts;
    while (from < to) {
        const auto count = static_cast<std::uint32_t>(to - from);
        BOOST_LEAF_AUTO(batch, readRecords(target, snapshotStream, from, count, milliseconds(0)));
        if (batch.records.empty()) {
            break;
        }
        std::ranges::transform(batch.records, std::back_inserter(parts), &log_record::data);
        from = batch.records.back().offset + 1;
    }
    return parts;
}

} // namespace

log_reader::log_reader(log_reader_options options,
                       config_store &store,
                       version_event_queue &events,
                       log_reader_sources sources)
    : m_options(std::move(options))
    , m_store(store)
    , m_events(events)
    , m_sources(std::move(sources))
{
}

void log_reader::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const auto rank = m_sources.readerRank();
        if (!rank) {
            pauseFor(roleCheckInterval, stop);
            continue;
        }
        if (!followConfig(stop)) {
            backOff(stop);
            continue;
        }
        if (m_isLogUnreachable) {
            LOG(INFO) << "[log] The platform log responds again.";
        }
        m_isLogUnreachable = false;
        m_failures = 0;
        if (steadyNow() - m_snapshotsPolledAt >= snapshotPollInterval) {
            pollSnapshots();
            writeSnapshotIfDue(*rank);
        }
    }
}

bool log_reader::followConfig(const std::stop_token &stop)
{
    m_nextOffset = std::max(m_nextOffset, m_store.progress().position);
    const auto batch = attempt([&] {
        return readRecords(m_options.target, configStream, m_nextOffset, maxReadRecords, longPollTimeout);
    });
    if (!batch) {
        if (!m_isLogUnreachable) {
            LOG(WARNING) << "[log] Cannot read the platform log. " << describe(batch.failure());
        }
        m_isLogUnreachable = true;
        return false;
    }
    if (batch->first > m_nextOffset) {
        LOG(WARNING) << "[log] Records before offset " << batch->first << " have expired. Looking for a snapshot.";
        return loadNewestSnapshot(stop);
    }
    m_nextOffset = batch->records.empty() ? m_nextOffset : batch->records.back().offset + 1;
    enqueueEvent(log_update{*batch}, stop);
    return true;
}

bool log_reader::loadNewestSnapshot(const std::stop_token &stop)
{
    const part_reader read = [this](std::uint64_t from, std::uint64_t to) {
        return readSnapshotParts(m_options.target, from, to);
    };
    auto found = attempt([&]() -> result<std::optional<fold_state>> {
        BOOST_LEAF_AUTO(stream, readLastRecord(m_options.target, snapshotStream));
        return findSnapshot(stream.first, stream.next, {m_nextOffset + 1, UINT64_MAX}, read);
    });
    if (!found) {
        return false;
    }
    if (!*found) {
        LOG(ERROR) << "[log] No snapshot covers the expired records. Waiting until a peer or the command-line tool "
                      "writes one.";
        return false;
    }
    fold_state newest = **std::move(found);
    LOG(INFO) << "[log] Applying the snapshot at position " << newest.position << ".";
    m_nextOffset = newest.position;
    enqueueEvent(snapshot_update{std::move(newest)}, stop);
    return true;
}

void log_reader::pollSnapshots()
{
    m_snapshotsPolledAt = steadyNow();
    const auto batch = attempt([&] {
        return m_nextSnapshotOffset == 0 ? readLastRecord(m_options.target, snapshotStream)
                                         : readRecords(m_options.target,
                                                       snapshotStream,
                                                       m_nextSnapshotOffset,
                                                       maxPolledSnapshotRecords,
                                                       milliseconds(0));
    });
    if (!batch) {
        return;
    }
    for (const log_record &record : batch->records) {
        const auto part = attempt([&] {
            return decodeSnapshotPart(record.data);
        });
        if (part && part->index + 1 == part->count) {
            m_newestSnapshotOffset = record.offset;
            m_store.recordSnapshotInLog(part->position, record.timeMs, true);
        }
    }
    m_nextSnapshotOffset =
        batch->records.empty() ? std::max(m_nextSnapshotOffset, batch->next) : batch->records.back().offset + 1;
    if (m_newestSnapshotOffset < batch->first) {
        m_store.recordSnapshotInLog(0, 0, false);
    }
}

void log_reader::writeSnapshotIfDue(std::uint32_t rank)
{
    const auto due = m_store.snapshotToWrite(m_options.policy, rank, unixNowMs());
    if (!due) {
        return;
    }
    for (const std::string &part : encodeSnapshot(*due)) {
        const auto appended = attempt([&] {
            return appendRecord(m_options.target, snapshotStream, part);
        });
        if (!appended) {
            LOG(WARNING) << "[log] Cannot write all parts of the snapshot at position " << due->position << ". "
                         << describe(appended.failure());
            return;
        }
    }
    LOG(INFO) << "[log] Wrote the snapshot at position " << due->position << ".";
    pollSnapshots();
}

void log_reader::enqueueEvent(const version_event &event, const std::stop_token &stop)
{
    while (!m_events.tryPush(event) && !stop.stop_requested()) {
        pauseFor(fullQueueRetryInterval, stop);
    }
}

void log_reader::backOff(const std::stop_token &stop)
{
    pauseFor(fullJitter(baseRetryDelay, maxRetryDelay, m_failures, m_generator), stop);
    ++m_failures;
}

} // namespace pistachioquay
