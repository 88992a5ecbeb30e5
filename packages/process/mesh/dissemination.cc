#include "process/mesh/dissemination.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <zlib.h>

namespace pistachioquay::internal {

using udp = net::ip::udp;

namespace {

constexpr milliseconds gossipInterval{400};
constexpr std::size_t gossipPeers = 3; // nodes that get a datagram each interval
constexpr std::size_t newsPerDatagram = 4; // records of other nodes in a datagram
constexpr std::size_t maxDatagramBytes = 1400;
constexpr milliseconds joinRetry{250}; // while the platform is not reached; with jitter
constexpr seconds directoryInterval{120}; // between reads of the platform's list of nodes
constexpr milliseconds lonelyInterval{2000}; // the same while this node knows no other
constexpr milliseconds peerConfigWait{150}; // for the configuration of other nodes after the start
constexpr milliseconds startPoll{10};
constexpr unsigned readJitterMs = 100; // spreads the tries of several nodes
constexpr milliseconds idleCheck{100}; // of a node that leaves the reading to another
constexpr milliseconds pullAgain{300}; // after which a pull of the same version is repeated elsewhere
constexpr int packLevel = 6; // zlib's default balance of time and size
constexpr std::uint64_t maxPlainBytes = 64UL * 1024 * 1024;

std::string packBytes(const std::string &plain)
{
    uLongf size = compressBound(plain.size());
    std::string packed(size, '\0');
    if (compress2(reinterpret_cast<Bytef *>(packed.data()),
                  &size,
                  reinterpret_cast<const Bytef *>(plain.data()),
                  plain.size(),
                  packLevel)
        != Z_OK) {
        return {};
    }
    packed.resize(size);
    return packed;
}

constexpr std::size_t packGain = 8; // about how much smaller a text is compressed
constexpr std::size_t keptTexts = 6; // versions to which differences are made

std::optional<std::string> unpackBytes(const config_message &message)
{
    if (message.plainBytes > maxPlainBytes) {
        return std::nullopt;
    }
    std::string plain(message.plainBytes, '\0');
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

spread_duty::spread_duty(mesh_context &context, inbound_side &inbound, peer_links &links)
    : m_context(context)
    , m_inbound(inbound)
    , m_links(links)
    , m_socket(context.executor)
    , m_gossipTimer(context.executor)
    , m_started(static_cast<std::uint64_t>(unixNowMs()))
    , m_startedAt(steadyNow())
{
}

result<void> spread_duty::open()
{
    boost::system::error_code failure;
    const auto address = net::ip::make_address(m_context.options.gossip.ip, failure);
    if (!failure) {
        m_socket.open(udp::v4(), failure);
    }
    if (!failure) {
        m_socket.bind(udp::endpoint(address, m_context.options.gossip.port), failure);
    }
    if (failure) {
        return fail(error_kind::Unavailable,
                    "cannot receive datagrams on " + toText(m_context.options.gossip) + ": " + failure.message(),
                    "choose a free address of this VM for the datagrams of other nodes");
    }
    return {};
}

void spread_duty::start()
{
    const auto spawn = [this](auto duty) {
        net::co_spawn(m_context.executor, duty, net::detached);
    };
    spawn([this] {
        return receiveLoop();
    });
    spawn([this] {
        return gossipLoop();
    });
    spawn([this] {
        return readLoop();
    });
    spawn([this] {
        return joinLoop();
    });
}

void spread_duty::stop()
{
    boost::system::error_code ignored; // closing ends the port in any case
    m_socket.close(ignored);
    m_gossipTimer.cancel();
}

node_record spread_duty::ownRecord(time_point now)
{
    const worker_liveness &worker = m_context.worker;
    node_record record;
    record.nodeId = m_context.options.nodeId;
    record.started = m_started;
    record.revision = ++m_revision;
    record.process = m_context.process;
    record.dataCentre = m_context.options.dataCentre;
    record.service = m_context.options.service;
    record.peer = m_context.options.peers;
    record.gossip = m_context.options.gossip;
    record.worker = worker.workerId.empty() ? worker_state::Absent
        : worker.isLeaving                  ? worker_state::Draining
        : worker.isUnreachable              ? worker_state::Down
                                            : worker_state::Ready;
    record.isLeaving = m_context.isWorkerClosed;
    record.slots = worker.slots;
    record.linkBytesPerMs = static_cast<std::uint32_t>(m_context.options.linkBytesPerMs);
    record.warmUpRemainingMs =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisBetween(now, worker.warmUpUntil)));
    record.configVersion = m_context.config.table->version;
    record.report = m_inbound.report(now);
    for (const auto &[route, mean] : m_inbound.runs().routes) {
        if (now - mean.lastAt < runTimeExpiry) {
            record.runMs[route] = mean.milliseconds;
        }
    }
    return record;
}

void spread_duty::send(const endpoint &to, bool wantsReply, bool isStoreWord, std::size_t newsCount)
{
    gossip_message message;
    message.sender = ownRecord(steadyNow());
    message.wantsReply = wantsReply;
    message.isStoreWord = isStoreWord;
    message.others = chooseUpdates(m_context.fleet, newsCount, m_context.generator);
    std::string bytes = encodeMessage(message, meshFormat);
    while (bytes.size() > maxDatagramBytes && !message.others.empty()) {
        message.others.pop_back();
        bytes = encodeMessage(message, meshFormat);
    }
    boost::system::error_code failure;
    const auto address = net::ip::make_address(to.ip, failure);
    // A datagram that cannot be sent now is like a lost one: the next round repeats its news.
    m_socket.send_to(net::buffer(bytes), udp::endpoint(address, to.port), MSG_DONTWAIT, failure);
    m_context.metrics.count(failure ? "datagrams_failed_total" : "datagrams_sent_total");
}

void spread_duty::announce()
{
    for (const auto &[id, node] : m_context.fleet.nodes) {
        send(node.record.gossip, false, false, 0);
    }
}

void spread_duty::sendStoreWord()
{
    for (const auto &[id, node] : m_context.fleet.nodes) {
        if (node.record.dataCentre == m_context.options.dataCentre) {
            send(node.record.gossip, false, true, 0);
        }
    }
}

void spread_duty::raiseStarted(std::uint64_t above)
{
    m_started = above + 1;
    m_context.log(log_line("spread", "restart-order-raised").add("started", m_started));
    announce();
}

awaitable<void> spread_duty::receiveLoop()
{
    std::array<char, 65536> buffer{};
    while (m_socket.is_open()) {
        udp::endpoint from;
        const auto [failure, bytes] = co_await m_socket.async_receive_from(net::buffer(buffer), from, awaitResult);
        if (failure == net::error::operation_aborted || failure == net::error::bad_descriptor) {
            co_return;
        }
        if (!failure) {
            onDatagram({buffer.data(), bytes}, {from.address().to_string(), from.port()});
        }
    }
}

void spread_duty::onDatagram(std::string_view bytes, const endpoint &from)
{
    const auto message = attempt([&] {
        return decodeMessage<gossip_message>(bytes, meshFormat, m_garbled);
    });
    if (!message) {
        m_context.metrics.count("datagrams_garbled_total");
        m_context.log(
            log_line("spread", "garbled-datagram").add("from", toText(from)).add("error", message.failure().message));
        return;
    }
    const time_point now = steadyNow();
    const node_record &sender = message->sender;
    recordDataCentreContact(m_context.placement, sender.dataCentre);
    onMerged(sender, mergeRecord(m_context.fleet, sender, m_started, now), now);
    for (const node_record &record : message->others) {
        onMerged(record, mergeRecord(m_context.fleet, record, m_started, now), now);
    }
    if (message->isStoreWord && sender.dataCentre == m_context.options.dataCentre) {
        m_wordAt = now;
    }
    noteVersion(sender);
    if (message->wantsReply) {
        send(sender.gossip, false, false, newsPerDatagram);
    }
}

void spread_duty::onMerged(const node_record &record, const merge_result &report, time_point now)
{
    if (report.isOwnStartOutdated) {
        raiseStarted(record.started);
    }
    if (!report.wasApplied) {
        return;
    }
    if (report.hasWorkerChanged) {
        m_context.log(log_line("spread", "node-changed")
                          .add("node", record.nodeId)
                          .add("worker", stateName(record.worker))
                          .add("leaving", record.isLeaving)
                          .add("service", record.service)
                          .add("started", record.started)
                          .add("revision", record.revision));
        refreshWorkers(m_context, record.service, now);
        if (report.isNew) {
            send(record.gossip, false, false, 0);
        }
    }
    recordReport(m_context.placement, record.service, record.nodeId, record.report, now);
    for (const auto &[route, runMs] : record.runMs) {
        recordWorkerRunTime(m_context.placement, record.service, record.nodeId, route, runMs, now);
    }
}

// Pulls a newer configuration from the node that has it.
void spread_duty::noteVersion(const node_record &record)
{
    if (record.configVersion <= m_context.config.table->version) {
        return;
    }
    const time_point now = steadyNow();
    m_behindSince = m_behindSince.value_or(now);
    const bool isPulling = m_pulledVersion >= record.configVersion && now - m_pulledAt < pullAgain;
    const bool isNear = record.dataCentre == m_context.options.dataCentre;
    // Other data centres read the platform themselves; their copy costs more, so it is a second choice.
    const bool isCutOff = now - m_wordAt > m_context.options.configApplyLimit / 2;
    if (isPulling || (!isNear && !isCutOff)) {
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

std::optional<std::string> spread_duty::textOf(const config_message &message) const
{
    if (message.baseVersion == 0) {
        return unpackBytes(message);
    }
    const auto base = std::ranges::find(m_texts, message.baseVersion, &std::pair<std::uint64_t, std::string>::first);
    return base == m_texts.end() ? std::nullopt : applyDelta(base->second, message.delta);
}

void spread_duty::takeConfig(const config_message &message)
{
    if (message.version <= m_context.config.table->version) {
        return;
    }
    if (auto plain = textOf(message)) {
        applyConfig(std::move(*plain), message.baseVersion == 0 ? "peer" : "peer-delta");
    } else {
        m_context.log(log_line("config", "garbled")
                          .add("version", message.version)
                          .add("base", message.baseVersion)
                          .add("source", "peer"));
    }
}

config_message spread_duty::configFor(const config_request &request)
{
    config_message message;
    if (m_texts.empty()) {
        return message;
    }
    const auto &[version, text] = m_texts.back();
    message.version = version;
    const auto base = std::ranges::find(m_texts, request.haveVersion, &std::pair<std::uint64_t, std::string>::first);
    if (base != m_texts.end() && base->first < version) {
        message.delta = makeDelta(base->second, text);
        if (encodedBytes(message.delta) < text.size() / packGain) {
            message.baseVersion = base->first;
            return message;
        }
        message.delta = {};
    }
    message.plainBytes = text.size();
    message.compressed = packBytes(text);
    return message;
}

void spread_duty::applyConfig(std::string bytes, std::string_view source)
{
    const std::uint64_t hash = hash64(bytes);
    if (hash == m_rejectedHash) {
        return;
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
        return;
    }
    if (decoded->version <= m_context.config.table->version) {
        return;
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
    m_texts.emplace_back(decoded->version, std::move(bytes));
    if (m_texts.size() > keptTexts) {
        m_texts.pop_front();
    }
    m_context.metrics.count("config_applied_total");
}

// VMs with the largest links read first, because the others of the data centre take the configuration from the reader.
std::size_t spread_duty::ownRank(time_point now) const
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

awaitable<void> spread_duty::readLoop()
{
    net::steady_timer pause(m_context.executor);
    const milliseconds wait = longPollWait(m_context.options.configApplyLimit);
    unsigned failures = 0; // reads in a row without an answer
    bool hasRead = false; // a node that starts looks once, whoever the reader is
    // A node that starts among others gets the configuration from them.
    for (milliseconds waited{0}; waited < peerConfigWait && m_context.config.table->version == 0; waited += startPoll) {
        pause.expires_after(startPoll);
        co_await pause.async_wait(awaitResult);
    }
    hasRead = m_context.config.table->version > 0;
    while (!m_context.isStopped) {
        const time_point now = steadyNow();
        reader_status facts;
        facts.rank = ownRank(now);
        facts.behindFor = now - m_behindSince.value_or(now);
        facts.sinceReaderAnnouncement = now - std::max(m_wordAt, m_startedAt);
        facts.bound = m_context.options.configApplyLimit;
        if (hasRead && !shouldRead(facts)) {
            pause.expires_after(idleCheck);
            co_await pause.async_wait(awaitResult);
            continue;
        }
        // Behind a version that came from a peer the log holds whole older texts: only the newest is of use.
        const bool isPositionOld = m_context.config.table->version != m_readVersion;
        config_read read = co_await m_context.platform.readConfig(isPositionOld ? 0 : m_position, wait);
        if (read.isReached != m_isStoreReached) {
            m_isStoreReached = read.isReached;
            m_context.log(log_line("store", read.isReached ? "reached" : "lost").add("position", m_position));
        }
        if (!read.isReached) {
            const milliseconds again = readBackoff(++failures, facts.rank);
            pause.expires_after(again + milliseconds(m_context.generator() % readJitterMs));
            co_await pause.async_wait(awaitResult);
            continue;
        }
        hasRead = true;
        failures = 0;
        m_position = read.position;
        m_wordAt = steadyNow();
        if (read.hasNewConfig) {
            applyConfig(std::move(read.bytes), "platform");
        }
        m_readVersion = m_context.config.table->version;
        m_behindSince.reset();
        sendStoreWord();
    }
}

awaitable<std::optional<std::vector<node_record>>> spread_duty::readDirectory()
{
    const auto values = co_await m_context.platform.readNodeRecords();
    if (!values) {
        co_return std::nullopt;
    }
    std::vector<node_record> records;
    for (const std::string &bytes : *values) {
        const auto record = attempt([&] {
            return decodeMessage<node_record>(bytes, meshFormat, m_garbled);
        });
        if (record) {
            records.push_back(*record);
        } else {
            m_context.log(log_line("spread", "garbled-address").add("error", record.failure().message));
        }
    }
    co_return records;
}

// Publishes the own address unless it stands there already, as it does after a restart.
awaitable<bool> spread_duty::publishIfNeeded(const std::vector<node_record> &published)
{
    const auto own = std::ranges::find(published, m_context.options.nodeId, &node_record::nodeId);
    if (own != published.end() && own->process != m_context.process && own->started >= m_started) {
        raiseStarted(own->started);
    }
    if (own != published.end() && own->peer == m_context.options.peers && own->gossip == m_context.options.gossip) {
        co_return true;
    }
    node_record record = ownRecord(steadyNow());
    record.runMs.clear();
    co_return co_await m_context.platform.publishNodeRecord(record.nodeId, encodeMessage(record, meshFormat));
}

// Asks published nodes that are not known for their records.
void spread_duty::greet(const std::vector<node_record> &published)
{
    const time_point now = steadyNow();
    std::vector<node_record> unknown;
    std::ranges::copy_if(published, std::back_inserter(unknown), [&](const node_record &record) {
        const auto known = m_context.fleet.nodes.find(record.nodeId);
        const bool isHeard = known != m_context.fleet.nodes.end() && !isSilent(m_context.fleet, known->second, now);
        return record.nodeId != m_context.options.nodeId && !isHeard;
    });
    for (const node_record &record : unknown) {
        send(record.gossip, true, false, 0);
    }
}

// Publishes the own address and finds the other nodes.
awaitable<void> spread_duty::joinLoop()
{
    net::steady_timer pause(m_context.executor);
    bool isPublished = false;
    while (!m_context.isStopped) {
        const auto published = co_await readDirectory();
        if (published) {
            greet(*published);
            if (!isPublished && !m_context.isStopping) {
                isPublished = co_await publishIfNeeded(*published);
            }
        }
        const bool isJoined = isPublished && published;
        const bool isLonely = m_context.fleet.nodes.empty();
        pause.expires_after(!isJoined      ? joinRetry + milliseconds(m_context.generator() % 250)
                                : isLonely ? lonelyInterval
                                           : std::chrono::duration_cast<milliseconds>(directoryInterval));
        co_await pause.async_wait(awaitResult);
    }
}

awaitable<void> spread_duty::withdraw()
{
    co_await m_context.platform.publishNodeRecord(m_context.options.nodeId, {});
}

awaitable<void> spread_duty::gossipLoop()
{
    while (!m_context.isStopped) {
        m_gossipTimer.expires_after(gossipInterval);
        co_await m_gossipTimer.async_wait(awaitResult);
        const time_point now = steadyNow();
        for (const endpoint &peer : choosePeers(m_context.fleet, gossipPeers, now, m_context.generator)) {
            send(peer, false, false, newsPerDatagram);
        }
        for (const std::string &id : removeSilentNodes(m_context.fleet, now)) {
            m_context.log(log_line("spread", "node-forgotten").add("node", id));
        }
    }
}

} // namespace pistachioquay::internal
