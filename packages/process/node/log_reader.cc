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
constexpr std::uint32_t batchRecords = 200;
constexpr std::uint32_t snapshotWatchRecords = 32; // records of `snapshots` read at a time
constexpr milliseconds longPoll{2000};
constexpr milliseconds roleCheckInterval{250};
constexpr milliseconds fullRingPause{20};
constexpr seconds snapshotWatchInterval{5};
constexpr milliseconds backOffBase{100};
constexpr milliseconds backOffCap{5000};

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

log_reader::log_reader(log_reader_options options, config_store &store, version_ring &ring, log_reader_sources sources)
    : m_options(std::move(options))
    , m_store(store)
    , m_ring(ring)
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
        if (m_isLogDown) {
            LOG(INFO) << "[log] The platform log responds again.";
        }
        m_isLogDown = false;
        m_failures = 0;
        if (steadyNow() - m_snapshotsWatchedAt >= snapshotWatchInterval) {
            watchSnapshots();
            writeSnapshotIfDue(*rank);
        }
    }
}

bool log_reader::followConfig(const std::stop_token &stop)
{
    m_handedOver = std::max(m_handedOver, m_store.progress().position);
    const auto batch = attempt([&] {
        return readRecords(m_options.target, configStream, m_handedOver, batchRecords, longPoll);
    });
    if (!batch) {
        if (!m_isLogDown) {
            LOG(WARNING) << "[log] Cannot read the platform log. " << describe(batch.failure());
        }
        m_isLogDown = true;
        return false;
    }
    if (batch->first > m_handedOver) {
        LOG(WARNING) << "[log] Records before " << batch->first << " have expired. Looking for a snapshot.";
        return loadNewestSnapshot(stop);
    }
    m_handedOver = batch->records.empty() ? m_handedOver : batch->records.back().offset + 1;
    push(log_news{*batch}, stop);
    return true;
}

bool log_reader::loadNewestSnapshot(const std::stop_token &stop)
{
    const part_reader read = [this](std::uint64_t from, std::uint64_t to) {
        return readSnapshotParts(m_options.target, from, to);
    };
    auto found = attempt([&]() -> result<std::optional<fold_state>> {
        BOOST_LEAF_AUTO(stream, readLastRecord(m_options.target, snapshotStream));
        return findSnapshot(stream.first, stream.next, {m_handedOver + 1, UINT64_MAX}, read);
    });
    if (!found) {
        return false;
    }
    if (!*found) {
        LOG(ERROR)
            << "[log] No snapshot covers the expired records. Waiting for a peer or the command line to write one.";
        return false;
    }
    fold_state newest = **std::move(found);
    LOG(INFO) << "[log] Taking the snapshot at position " << newest.position << ".";
    m_handedOver = newest.position;
    push(snapshot_news{std::move(newest)}, stop);
    return true;
}

void log_reader::watchSnapshots()
{
    m_snapshotsWatchedAt = steadyNow();
    const auto batch = attempt([&] {
        return m_snapshotNext == 0
            ? readLastRecord(m_options.target, snapshotStream)
            : readRecords(m_options.target, snapshotStream, m_snapshotNext, snapshotWatchRecords, milliseconds(0));
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
            m_store.noteSnapshotInLog(part->position, record.timeMs, true);
        }
    }
    m_snapshotNext = batch->records.empty() ? std::max(m_snapshotNext, batch->next) : batch->records.back().offset + 1;
    if (m_newestSnapshotOffset < batch->first) {
        m_store.noteSnapshotInLog(0, 0, false);
    }
}

void log_reader::writeSnapshotIfDue(std::uint32_t rank)
{
    const auto due = m_store.dueSnapshot(m_options.rules, rank, unixNowMs());
    if (!due) {
        return;
    }
    for (const std::string &part : encodeSnapshot(*due)) {
        const auto appended = attempt([&] {
            return appendRecord(m_options.target, snapshotStream, part);
        });
        if (!appended) {
            LOG(WARNING) << "[log] The snapshot at position " << due->position << " is not complete. "
                         << describe(appended.failure());
            return;
        }
    }
    LOG(INFO) << "[log] Wrote the snapshot at position " << due->position << ".";
    watchSnapshots();
}

void log_reader::push(const version_event &event, const std::stop_token &stop)
{
    while (!m_ring.tryPush(event) && !stop.stop_requested()) {
        pauseFor(fullRingPause, stop);
    }
}

void log_reader::backOff(const std::stop_token &stop)
{
    pauseFor(fullJitter(backOffBase, backOffCap, m_failures, m_generator), stop);
    ++m_failures;
}

} // namespace pistachioquay
