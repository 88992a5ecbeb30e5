#include "process/mesh/node_directory.h"

#include <algorithm>

#include "process/mesh/store_calls.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds joinRetryInterval{250}; // pause between attempts to reach the platform; jitter is added
constexpr seconds directoryInterval{120}; // time between reads of the published node records
constexpr milliseconds isolatedInterval{2000}; // the same while this node knows no other node

} // namespace

node_directory::node_directory(mesh_context &context, gossip_channel &gossip, departure_keeper &departures)
    : m_context(context)
    , m_gossip(gossip)
    , m_departures(departures)
{
}

void node_directory::start()
{
    spawnDuty(
        m_context.executor,
        "join",
        [this] {
            return joinLoop();
        },
        failureReporter(m_context));
}

awaitable<std::optional<std::vector<node_record>>> node_directory::readDirectory()
{
    const auto read = co_await readNodeRecords(m_context);
    if (!read) {
        co_return std::nullopt;
    }
    std::vector<node_record> records;
    std::vector<worker_departure> ownDepartures;
    for (const std::string &bytes : read->values) {
        const auto entry = attempt([&] {
            return decodeMessage<directory_entry>(bytes, meshFormatVersion, m_decodeCounters);
        });
        if (!entry) {
            m_context.log(log_line("spread", "garbled-address").add("error", entry.failure().message));
        } else if (const auto *stored = std::get_if<stored_departure>(&*entry)) {
            if (stored->nodeId == m_context.options.nodeId && stored->departure.workerId.size() <= maxNameBytes) {
                ownDepartures.push_back(stored->departure);
            }
        } else if (const auto &record = std::get<node_record>(*entry); isPlausible(record)) {
            records.push_back(record);
        } else {
            m_context.metrics.count("node_records_implausible_total");
            m_context.log(log_line("spread", "implausible-address")
                              .add("node", std::string_view(record.nodeId).substr(0, maxNameBytes)));
        }
    }
    m_context.directoryNodes = std::max<std::size_t>(1, records.size());
    m_departures.recordStoreRead(ownDepartures, steadyNow());
    co_return records;
}

// Publishes the own address record unless the published one already has these addresses, as after a restart.
awaitable<bool> node_directory::publishIfNeeded(const std::vector<node_record> &published)
{
    const auto own = std::ranges::find(published, m_context.options.nodeId, &node_record::nodeId);
    if (own != published.end() && own->process != m_context.processId && own->started >= m_gossip.startOrder()) {
        m_gossip.raiseStartOrder(own->started);
    }
    if (own != published.end() && own->peer == m_context.options.peers && own->gossip == m_context.options.gossip) {
        co_return true;
    }
    node_record record = m_gossip.ownRecord(steadyNow());
    record.runMs.clear();
    record.departures.clear(); // have entries of their own
    const std::string entry = encodeMessage(directory_entry(record), meshFormatVersion);
    const auto era = co_await publishNodeRecord(m_context, record.nodeId, entry);
    co_return era.has_value();
}

// Contacts the published nodes that are unknown or silent, to exchange records.
void node_directory::contactNodes(const std::vector<node_record> &published)
{
    const time_point now = steadyNow();
    std::vector<node_record> unknown;
    std::ranges::copy_if(published, std::back_inserter(unknown), [&](const node_record &record) {
        const auto known = m_context.fleet.nodes.find(record.nodeId);
        const bool isHeard = known != m_context.fleet.nodes.end() && !isSilent(m_context.fleet, known->second, now);
        return record.nodeId != m_context.options.nodeId && !isHeard;
    });
    for (const node_record &record : unknown) {
        m_gossip.send(record.gossip, {.wantsReply = true});
    }
}

// Publishes the own address record and contacts the other published nodes, at intervals.
awaitable<void> node_directory::joinLoop()
{
    net::steady_timer pause(m_context.executor);
    bool isPublished = false;
    while (!m_context.isStopped) {
        const auto published = co_await readDirectory();
        if (published) {
            contactNodes(*published);
            if (!isPublished && !m_context.isStopping) {
                isPublished = co_await publishIfNeeded(*published);
            }
        }
        const bool isJoined = isPublished && published;
        const bool isIsolated = m_context.fleet.nodes.empty();
        pause.expires_after(!isJoined        ? joinRetryInterval + milliseconds(m_context.generator() % 250)
                                : isIsolated ? isolatedInterval
                                             : std::chrono::duration_cast<milliseconds>(directoryInterval));
        co_await pause.async_wait(awaitResult);
    }
}

awaitable<void> node_directory::unpublishRecord()
{
    co_await publishNodeRecord(m_context, m_context.options.nodeId, {});
}

} // namespace pistachioquay::internal
