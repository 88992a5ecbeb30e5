#include "process/mesh/config_spread.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <zlib.h>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds peerConfigWait{150}; // wait for a configuration of other nodes before the platform is read
constexpr milliseconds startPollInterval{10};
constexpr unsigned readJitterMs = 100; // keeps several nodes from retrying at the same time
constexpr milliseconds standbyInterval{100}; // time between checks whether this node must read the platform
constexpr milliseconds pullTimeout{300}; // the same version is then requested from another node
constexpr int compressionLevel = 6; // zlib's default trade-off between time and size
constexpr std::uint64_t maxUncompressedBytes = 64UL * 1024 * 1024; // size of a received configuration

std::string compressText(const std::string &plain)
{
    uLongf size = compressBound(plain.size());
    std::string compressed(size, '\0');
    if (compress2(reinterpret_cast<Bytef *>(compressed.data()),
                  &size,
                  reinterpret_cast<const Bytef *>(plain.data()),
                  plain.size(),
                  compressionLevel)
        != Z_OK) {
        return {};
    }
    compressed.resize(size);
    return compressed;
}

// A delta is sent only if it is smaller than the compressed text by this estimate.
constexpr std::size_t assumedCompressionRatio = 8;
constexpr std::size_t maxRecentConfigs = 6; // versions that a delta can be based on

std::optional<std::string> decompressText(const config_message &message)
{
    if (message.uncompressedBytes > maxUncompressedBytes) {
        return std::nullopt;
    }
    std::string plain(message.uncompressedBytes, '\0');
    uLongf size = plain.size();
    const int status = uncompress(reinterpret_cast<Bytef *>(plain.data()),
                                  &size,
                                  reinterpret_cast<const Bytef *>(message.compressed.data()),
                                  message.compressed.size());
    if (status != Z_OK || size != plain.size()) {
        return std::nullopt;
    }
    return plain;
}

} // namespace

config_spread::config_spread(mesh_context &context, gossip_channel &gossip, peer_links &links, rollout_keeper &rollouts)
    : m_context(context)
    , m_gossip(gossip)
    , m_links(links)
    , m_rollouts(rollouts)
    , m_startedAt(steadyNow())
{
}

void config_spread::start()
{
    spawnDuty(
        m_context.executor,
        "read",
        [this] {
            return readLoop();
        },
        failureReporter(m_context));
}

void config_spread::recordReaderAnnouncement(time_point now)
{
    m_storeReadAt = now;
}

// Requests the configuration from the node of the record if its version is newer than the applied one.
void config_spread::pullIfNewer(const node_record &record)
{
    if (record.configVersion <= m_context.config.table->version) {
        return;
    }
    const time_point now = steadyNow();
    m_behindSince = m_behindSince.value_or(now);
    const bool isPulling = m_pulledVersion >= record.configVersion && now - m_pulledAt < pullTimeout;
    const bool isSameDataCentre = record.dataCentre == m_context.options.dataCentre;
    // Each data centre reads the platform itself, and a transfer from another one costs more, so nodes of other data
    // centres are asked only if the reader of this one has not announced a read for too long.
    const bool isReaderOverdue = now - m_storeReadAt > m_context.options.configApplyLimit / 2;
    if (isPulling || (!isSameDataCentre && !isReaderOverdue)) {
        return;
    }
    m_pulledVersion = record.configVersion;
    m_pulledAt = now;
    net::co_spawn(
        m_context.executor,
        [this, target = record.peer]() -> awaitable<void> {
            co_await m_links.requestConfig(target, m_context.config.table->version);
        },
        net::detached);
}

std::optional<std::string> config_spread::configText(const config_message &message) const
{
    if (message.baseVersion == 0) {
        return decompressText(message);
    }
    const auto base =
        std::ranges::find(m_recentConfigs, message.baseVersion, &std::pair<std::uint64_t, std::string>::first);
    return base == m_recentConfigs.end() ? std::nullopt : applyDelta(base->second, message.delta);
}

void config_spread::applyPeerConfig(const config_message &message)
{
    if (message.version <= m_context.config.table->version) {
        return;
    }
    if (auto plain = configText(message)) {
        applyConfig(std::move(*plain), message.baseVersion == 0 ? "peer" : "peer-delta");
    } else {
        m_context.log(log_line("config", "garbled")
                          .add("version", message.version)
                          .add("base", message.baseVersion)
                          .add("source", "peer"));
    }
}

config_message config_spread::configFor(const config_request &request)
{
    config_message message;
    if (m_recentConfigs.empty()) {
        return message;
    }
    const auto &[version, text] = m_recentConfigs.back();
    message.version = version;
    const auto base =
        std::ranges::find(m_recentConfigs, request.haveVersion, &std::pair<std::uint64_t, std::string>::first);
    if (base != m_recentConfigs.end() && base->first < version) {
        message.delta = makeDelta(base->second, text);
        if (estimateEncodedSize(message.delta) < text.size() / assumedCompressionRatio) {
            message.baseVersion = base->first;
            return message;
        }
        message.delta = {};
    }
    message.uncompressedBytes = text.size();
    message.compressed = compressText(text);
    return message;
}

// Applies a decodable text if its version is newer than the applied one. Returns whether it is decodable.
bool config_spread::applyConfig(std::string bytes, std::string_view source)
{
    const std::uint64_t hash = hash64(bytes);
    if (hash == m_rejectedHash) {
        return false;
    }
    const auto decoded = attempt([&] {
        return m_context.platform.decodeConfig(bytes);
    });
    if (!decoded) {
        m_rejectedHash = hash;
        m_context.metrics.count("config_rejected_total");
        m_context.log(log_line("config", "rejected")
                          .add("source", source)
                          .add("error", describe(decoded.failure()))
                          .add("kept_version", m_context.config.table->version));
        return false;
    }
    if (decoded->version <= m_context.config.table->version) {
        return true;
    }
    m_context.log(log_line("config", "in-force")
                      .add("version", decoded->version)
                      .add("previous", m_context.config.table->version)
                      .add("source", source)
                      .add("routes", routeCount(*decoded))
                      .add("bytes", bytes.size()));
    m_context.config.table = std::make_shared<const route_table>(*decoded);
    m_context.config.appliedAt = steadyNow();
    m_behindSince.reset();
    m_recentConfigs.emplace_back(decoded->version, std::move(bytes));
    if (m_recentConfigs.size() > maxRecentConfigs) {
        m_recentConfigs.pop_front();
    }
    m_context.metrics.count("config_applied_total");
    return true;
}

// Records a read of the platform that was sent at `sentAt` and has succeeded. Returns whether it proves that no newer
// version exists than the applied one.
bool config_spread::recordRead(config_read read, boot_time sentAt)
{
    m_logPosition = read.position;
    m_storeReadAt = steadyNow();
    if (read.hasNewConfig) {
        m_isNewestReadable = applyConfig(std::move(read.bytes), "platform");
    }
    // A newer version that this node cannot decode may have taken keys away.
    const bool isProof = read.isComplete && m_isNewestReadable;
    if (isProof && m_context.freshness.limit) {
        recordStoreProof(m_context.freshness, sentAt);
    }
    m_versionAtLastRead = m_context.config.table->version;
    m_behindSince.reset();
    return isProof;
}

// Returns how many nodes of the data centre come before this one as the reader of the platform. VMs with the fastest
// links come first, because the other nodes of the data centre fetch the configuration from the reader.
std::size_t config_spread::readerRank(time_point now) const
{
    const auto rankKey = [](std::uint32_t linkBytesPerMs, const std::string &nodeId) {
        return std::pair(UINT32_MAX - linkBytesPerMs, hash64(nodeId));
    };
    const mesh_options &options = m_context.options;
    const auto own = rankKey(static_cast<std::uint32_t>(options.linkBytesPerMs), options.nodeId);
    return static_cast<std::size_t>(std::ranges::count_if(m_context.fleet.nodes, [&](const auto &item) {
        const node_record &record = item.second.record;
        return record.dataCentre == options.dataCentre && !record.isLeaving
            && !isSilent(m_context.fleet, item.second, now) && rankKey(record.linkBytesPerMs, record.nodeId) < own;
    }));
}

awaitable<void> config_spread::readLoop()
{
    net::steady_timer pause(m_context.executor);
    const std::optional<milliseconds> keyLimit = m_context.freshness.limit;
    const milliseconds configWait = longPollWait(m_context.options.configApplyLimit);
    const milliseconds longestWait = keyLimit ? std::min(configWait, proofReadWait(*keyLimit)) : configWait;
    unsigned failures = 0; // consecutive reads without an answer, or without a proof that was needed
    bool hasRead = false; // a starting node reads once, even if another node is the reader
    // A node that joins a running mesh usually gets the configuration from other nodes first.
    for (milliseconds waited{0}; waited < peerConfigWait && m_context.config.table->version == 0;
         waited += startPollInterval) {
        pause.expires_after(startPollInterval);
        co_await pause.async_wait(awaitResult);
    }
    hasRead = m_context.config.table->version > 0;
    while (!m_context.isStopped) {
        const time_point now = steadyNow();
        reader_status reader;
        reader.rank = readerRank(now);
        reader.behindFor = now - m_behindSince.value_or(now);
        reader.sinceReaderAnnouncement = now - std::max(m_storeReadAt, m_startedAt);
        reader.bound = m_context.options.configApplyLimit;
        const boot_time sentAt = bootNow();
        const bool isForProof = shouldReadForProof(m_context.freshness, reader.rank, sentAt);
        if (hasRead && !isForProof && !shouldRead(reader)) {
            pause.expires_after(standbyInterval);
            co_await pause.async_wait(awaitResult);
            continue;
        }
        // If the applied version came from another node, the log still holds older versions after the last position.
        // Only the newest is needed, which position 0 returns.
        const bool isPositionOld = m_context.config.table->version != m_versionAtLastRead;
        // A read for a proof is not to wait: its proof is as old as the read.
        const milliseconds wait = isForProof ? milliseconds{0} : longestWait;
        config_read read = co_await m_context.platform.readConfig(isPositionOld ? 0 : m_logPosition, wait);
        if (read.isReached != m_isStoreReached) {
            m_isStoreReached = read.isReached;
            m_context.log(log_line("store", read.isReached ? "reached" : "lost").add("position", m_logPosition));
        }
        bool isUseful = read.isReached;
        if (read.isReached) {
            hasRead = true;
            m_rollouts.applyOrders(read.rolloutOrders, steadyNow());
            isUseful = recordRead(std::move(read), sentAt) || !isForProof;
            m_gossip.announceStoreRead();
        }
        // A read for a proof that brings none, since the newest version cannot be decoded, would repeat at once.
        failures = isUseful ? 0 : failures + 1;
        if (failures > 0) {
            const milliseconds retryPause = readBackoff(failures, reader.rank);
            pause.expires_after(retryPause + milliseconds(m_context.generator() % readJitterMs));
            co_await pause.async_wait(awaitResult);
        }
    }
}

} // namespace pistachioquay::internal
