#include "process/mesh/departure_keeper.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/mesh/store_calls.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds holderAskInterval{100}; // time between requests to other nodes to confirm a departure
constexpr milliseconds holdPollInterval{5};
constexpr milliseconds storeRetryInterval{250}; // pause between attempts to write a departure; jitter is added

} // namespace

departure_keeper::departure_keeper(mesh_context &context, inbound_handler &inbound, gossip_channel &gossip)
    : m_context(context)
    , m_inbound(inbound)
    , m_gossip(gossip)
    , m_startedAt(steadyNow())
{
    m_recovery.startedAt = m_startedAt;
    m_context.worker.isRecovering = true;
    m_context.worker.nodeStart = node_start{m_startedAt, m_context.options.noticeInterval, std::nullopt};
    m_context.onStoreReturn.push_back([this] {
        storeAgain();
    });
}

void departure_keeper::recordStoreRead(const std::vector<worker_departure> &stored, time_point now)
{
    if (!m_recovery.storeReadAt) {
        m_recovery.storeReadAt = now;
        m_context.worker.nodeStart->storeReadAt = now;
        recoverFrom(stored, now);
    }
}

awaitable<bool> departure_keeper::hold(worker_departure departure)
{
    const time_point startedAt = steadyNow();
    const auto known = m_holds.find(departureKey(m_context.options.nodeId, departure));
    const bool isFirst = known == m_holds.end();
    const std::shared_ptr<departure_hold> hold = isFirst ? startStoring(departure, milliseconds{0}) : known->second;
    net::steady_timer pause(m_context.executor);
    time_point askAt = startedAt + holderAskInterval;
    for (;;) {
        const time_point now = steadyNow();
        const auto nodesKnown = std::ranges::count_if(m_context.fleet.nodes, [&](const auto &item) {
            return !isSilent(m_context.fleet, item.second, now);
        });
        const hold_decision decision = decideHold(*hold, static_cast<std::size_t>(nodesKnown), now - startedAt);
        if (decision != hold_decision::Wait) {
            const bool isHeld = decision == hold_decision::Acknowledge;
            if (isFirst || !isHeld) { // a worker repeats the notice of its departure as long as it runs
                m_context.metrics.count(isHeld ? "departures_held_total" : "departures_not_held_total");
                m_context.log(log_line("worker", isHeld ? "departure-held" : "departure-not-held")
                                  .add("worker", departure.workerId)
                                  .add("started", departure.startedMs)
                                  .add("stored", hold->isStored)
                                  .add("holders", hold->holders.size())
                                  .add("took_ms", millisBetween(startedAt, now)));
            }
            co_return isHeld;
        }
        if (now >= askAt) {
            m_gossip.requestRecords(now);
            askAt = now + holderAskInterval;
        }
        pause.expires_after(holdPollInterval);
        co_await pause.async_wait(awaitResult);
    }
}

// Starts to write a departure to the platform's store after a delay, unless that is already under way.
std::shared_ptr<departure_hold> departure_keeper::startStoring(const worker_departure &departure, milliseconds delay)
{
    const std::string key = departureKey(m_context.options.nodeId, departure);
    std::shared_ptr<departure_hold> &hold = m_holds[key];
    if (!hold) {
        hold = std::make_shared<departure_hold>();
    }
    hold->isStored = false;
    if (m_storing.insert(key).second) {
        net::co_spawn(
            m_context.executor,
            [this, departure, hold, delay] {
                return store(departure, hold, delay);
            },
            net::detached);
    }
    return hold;
}

// Writes all departures again: the store may have lost them, or have brought back the entry of an earlier process.
void departure_keeper::storeAgain()
{
    const auto spread = static_cast<std::uint64_t>(rewriteSpread(m_context.fleet.nodes.size() + 1).count());
    for (const kept_departure &kept : m_context.worker.departures) {
        startStoring(kept.departure, milliseconds(m_context.generator() % spread));
    }
}

// Writes a departure to the platform's store, until the store confirms it in its present era or it is removed.
awaitable<void>
departure_keeper::store(worker_departure departure, std::shared_ptr<departure_hold> hold, milliseconds delay)
{
    const std::string key = departureKey(m_context.options.nodeId, departure);
    const std::string bytes =
        encodeMessage(directory_entry(stored_departure{m_context.options.nodeId, departure}), meshFormatVersion);
    net::steady_timer pause(m_context.executor, delay);
    co_await pause.async_wait(awaitResult);
    while (!m_context.isStopped && m_holds.contains(key)) {
        const auto era = co_await publishNodeRecord(m_context, key, bytes);
        hold->isStored = era && isCurrent(m_context.storeEras, *era);
        if (hold->isStored) {
            break;
        }
        pause.expires_after(storeRetryInterval + milliseconds(m_context.generator() % 250));
        co_await pause.async_wait(awaitResult);
    }
    m_storing.erase(key);
}

// Applies what another node holds for this one.
void departure_keeper::applyHeld(const gossip_message &message, time_point now)
{
    for (const worker_departure &departure : message.receiverDepartures) {
        const auto found = m_holds.find(departureKey(m_context.options.nodeId, departure));
        if (found == m_holds.end()) {
            continue;
        }
        std::vector<std::string> &holders = found->second->holders;
        if (std::ranges::find(holders, message.sender.nodeId) == holders.end()) {
            holders.push_back(message.sender.nodeId);
        }
    }
    if (message.knewPredecessor && mayStillRecover(m_recovery, now)) {
        m_recovery.hasPeerAnswer = true;
        recoverFrom(message.receiverDepartures, now);
    }
}

void departure_keeper::recoverFrom(const std::vector<worker_departure> &departures, time_point now)
{
    const std::size_t knownBefore = m_context.worker.departures.size();
    const bool isWorkerLeaving = recoverDepartures(m_context.worker, departures, now);
    if (m_context.worker.departures.size() > knownBefore) {
        m_context.log(log_line("worker", "departures-recovered")
                          .add("departures", m_context.worker.departures.size())
                          .add("known_worker", m_context.worker.workerId)
                          .add("leaving", isWorkerLeaving));
    }
    if (isWorkerLeaving) {
        m_inbound.onWorkerChange(now);
        m_gossip.announce();
    }
}

void departure_keeper::maintain(time_point now)
{
    worker_liveness &worker = m_context.worker;
    if (worker.isRecovering && isRecovered(m_recovery, now)) {
        worker.isRecovering = false;
        m_context.log(log_line("worker", "recovered")
                          .add("from", m_recovery.storeReadAt ? "store" : "nodes")
                          .add("departures", worker.departures.size())
                          .add("worker", worker.workerId)
                          .add("took_ms", millisBetween(m_startedAt, now)));
        m_inbound.onWorkerChange(now);
        m_gossip.announce();
    }
    for (const worker_departure &departure : removeOldDepartures(worker.departures, now)) {
        const std::string key = departureKey(m_context.options.nodeId, departure);
        m_holds.erase(key);
        net::co_spawn(
            m_context.executor,
            [this, key]() -> awaitable<void> {
                co_await publishNodeRecord(m_context, key, {});
            },
            net::detached);
    }
}

} // namespace pistachioquay::internal
