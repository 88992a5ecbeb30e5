#include "process/mesh/node_directory.h"

#include <algorithm>

#include "process/mesh/store_calls.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds joinRetryInterval{250}; // pause between attempts to reach the platform; jitter is added
constexpr seconds directoryInterval{120}; // time between reads of the published node records
constexpr milliseconds isolatedInterval{2000}; // the same while this node knows no other node
// Time after the first read of the directory from which a node that has heard of no other one believes that there is
// none: after a return of the store, the others first write their records again.
constexpr milliseconds directoryPatience = isolatedInterval;

} // namespace

node_directory::node_directory(mesh_context &context, gossip_channel &gossip, departure_keeper &departures)
    : m_context(context)
    , m_gossip(gossip)
    , m_departures(departures)
    , m_timer(context.executor)
    , m_readAt(steadyNow())
{
    m_context.onStoreReturn.push_back([this] {
        m_mayBeLost = true;
        m_timer.cancel();
    });
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
    m_firstReadAt = m_firstReadAt.value_or(steadyNow());
    m_context.isDirectoryComplete = steadyNow() - *m_firstReadAt >= directoryPatience;
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
    co_return co_await publishRecord();
}

awaitable<bool> node_directory::publishRecord()
{
    node_record record = m_gossip.ownRecord(steadyNow());
    record.runMs.clear();
    record.departures.clear(); // have entries of their own
    const std::string entry = encodeMessage(directory_entry(record), meshFormatVersion);
    const auto era = co_await publishNodeRecord(m_context, record.nodeId, entry);
    co_return era.has_value() && isCurrent(m_context.storeEras, *era);
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

// Writes the own address record again. All nodes do so after a return of the store, spread over time.
awaitable<void> node_directory::publishAgain()
{
    const auto spread = static_cast<std::uint64_t>(rewriteSpread(m_context.fleet.nodes.size() + 1).count());
    co_await sleepUntil(steadyNow() + milliseconds(m_context.generator() % spread));
    while (m_mayBeLost && !m_context.isStopping) {
        m_mayBeLost = !co_await publishRecord();
        m_context.log(log_line("spread", m_mayBeLost ? "address-not-written" : "address-written-again")
                          .add("era", m_context.storeEras.current.value_or(0)));
        if (m_mayBeLost) {
            co_await sleepUntil(steadyNow() + joinRetryInterval + milliseconds(m_context.generator() % 250));
        }
    }
    // Nodes that started meanwhile have found an incomplete directory, and have written their own record to it.
    if (readerRank(m_context, steadyNow()) == 0) {
        m_readAt = std::min(m_readAt, steadyNow() + rewriteTime);
    }
}

// Reads the directory, contacts the other published nodes, and publishes the own address record.
awaitable<void> node_directory::readAndJoin()
{
    const auto published = co_await readDirectory();
    if (published) {
        contactNodes(*published);
        if (!m_isPublished && !m_context.isStopping) {
            m_isPublished = co_await publishIfNeeded(*published);
        }
    }
    const bool isJoined = m_isPublished && published;
    const bool isIsolated = m_context.fleet.nodes.empty();
    m_readAt = steadyNow()
        + (!isJoined        ? joinRetryInterval + milliseconds(m_context.generator() % 250)
               : isIsolated ? isolatedInterval
                            : std::chrono::duration_cast<milliseconds>(directoryInterval));
}

// Waits; returns early if the store returns meanwhile.
awaitable<void> node_directory::sleepUntil(time_point until)
{
    m_timer.expires_at(until);
    co_await m_timer.async_wait(awaitResult);
}

// Publishes the own address record and contacts the other published nodes, at intervals.
awaitable<void> node_directory::joinLoop()
{
    while (!m_context.isStopped) {
        // The store may also have returned during a call of this loop.
        if (m_mayBeLost && m_isPublished && !m_context.isStopping) {
            co_await publishAgain();
        } else if (steadyNow() >= m_readAt) {
            co_await readAndJoin();
        } else {
            co_await sleepUntil(m_readAt);
        }
    }
}

awaitable<void> node_directory::unpublishRecord()
{
    co_await publishNodeRecord(m_context, m_context.options.nodeId, {});
}

} // namespace pistachioquay::internal
