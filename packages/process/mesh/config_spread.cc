#include "process/mesh/config_spread.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <zlib.h>

#include "process/mesh/store_calls.h"

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

// Returns the wait of a read in the store such that the next one is not sent before it can be a proof, but no later
// than necessary.
milliseconds waitUntilProvable(boot_time provableAt, boot_time now, milliseconds longestWait)
{
    const auto left = std::chrono::ceil<milliseconds>(provableAt - now);
    return left > milliseconds{0} ? std::min(left, longestWait) : longestWait;
}

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

// Applies a decodable text if its version is newer than the applied one. Returns its version; empty if it is not
// decodable.
std::optional<std::uint64_t> config_spread::applyConfig(std::string bytes, std::string_view source)
{
    const std::uint64_t hash = hash64(bytes);
    if (hash == m_rejectedHash) {
        return std::nullopt;
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
        return std::nullopt;
    }
    if (decoded->version <= m_context.config.table->version) {
        return decoded->version;
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
    return decoded->version;
}

// Records a read of the platform that was sent at `sentAt`, when the node applied `appliedVersion`, and has succeeded.
// Returns whether it proves that no newer version exists than the applied one.
bool config_spread::recordRead(config_read read, boot_time sentAt, std::uint64_t appliedVersion)
{
    if (m_log.position && m_log.position->era != read.position.era) {
        m_context.log(log_line("store", "position-forgotten")
                          .add("era", m_log.position->era)
                          .add("offset", m_log.position->offset)
                          .add("next_era", read.position.era)
                          .add("next_offset", read.position.offset));
    }
    m_storeReadAt = steadyNow();
    log_read logRead{.position = read.position, .isComplete = read.isComplete, .hasNewest = read.hasNewConfig};
    if (read.hasNewConfig) {
        logRead.version = applyConfig(std::move(read.bytes), "platform");
    }
    const store_version_read versions =
        recordLogRead(m_log, logRead, appliedVersion, sentAt < provableFrom(m_context.storeEras));
    m_isStoreBehind = isBehind(versions);
    const bool isProof = provesNewest(versions);
    if (isProof && m_context.freshness.limit) {
        recordStoreProof(m_context.freshness, sentAt);
    }
    logProof(versions, isProof);
    m_log.appliedVersion = m_context.config.table->version;
    m_behindSince.reset();
    return isProof;
}

// Logs when reads begin and cease to prove that the applied version is the newest.
void config_spread::logProof(const store_version_read &read, bool isProof)
{
    if (isProof == !m_isProofLacking || !m_context.freshness.limit) {
        return;
    }
    m_isProofLacking = !isProof;
    m_context.log(log_line("store", isProof ? "proof" : "no-proof")
                      .add("era", m_context.storeEras.current.value_or(0))
                      .add("era_changed", read.mayLackWrites)
                      .add("complete", read.isComplete)
                      .add("readable", read.isNewestReadable)
                      .add("store_version", read.newestVersion)
                      .add("applied_version", read.appliedVersion));
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
        reader.rank = readerRank(m_context, now);
        reader.behindFor = now - m_behindSince.value_or(now);
        reader.sinceReaderAnnouncement = now - std::max(m_storeReadAt, m_startedAt);
        reader.bound = m_context.options.configApplyLimit;
        const boot_time sentAt = bootNow();
        // Until the store shows again what it has lost, the reader waits for that, as no read can bring a proof.
        const boot_time provableAt = provableFrom(m_context.storeEras);
        const bool awaitsRewrite = reader.rank == 0 && (sentAt < provableAt || m_isStoreBehind);
        const bool isForProof =
            !awaitsRewrite && shouldReadForProof(m_context.freshness, reader.rank, provableAt, sentAt);
        if (hasRead && !isForProof && !shouldRead(reader)) {
            pause.expires_after(standbyInterval);
            co_await pause.async_wait(awaitResult);
            continue;
        }
        // A read for a proof is not to wait: its proof is as old as the read. Nor is the first one after an outage,
        // whose response tells whether the store has come back from a copy.
        const milliseconds wait = isForProof || failures > 0 ? milliseconds{0}
            : keyLimit                                       ? waitUntilProvable(provableAt, sentAt, longestWait)
                                                             : longestWait;
        const std::uint64_t appliedVersion = m_context.config.table->version;
        const std::optional<store_position> position = readPosition(m_log, m_context.storeEras, appliedVersion);
        config_read read = co_await readConfig(m_context, position, wait);
        if (read.isReached != m_isStoreReached) {
            m_isStoreReached = read.isReached;
            m_context.log(log_line("store", read.isReached ? "reached" : "lost")
                              .add("position", m_log.position.value_or(store_position{}).offset));
        }
        bool isUseful = read.isReached;
        if (read.isReached) {
            hasRead = true;
            m_rollouts.applyOrders(read.rolloutOrders, steadyNow());
            const bool isProof = recordRead(std::move(read), sentAt, appliedVersion);
            const bool isRewriteDue = m_isStoreBehind || bootNow() < provableFrom(m_context.storeEras);
            isUseful = isProof || !isForProof || (reader.rank == 0 && isRewriteDue);
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
