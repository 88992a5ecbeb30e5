#include "process/mesh/mesh.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/mesh/allowances.h"
#include "process/mesh/context.h"
#include "process/mesh/dissemination.h"
#include "process/mesh/inbound.h"
#include "process/mesh/outbound.h"
#include "process/mesh/peer_links.h"

namespace pistachioquay {

namespace {

constexpr milliseconds maintenanceInterval{200};
// Requests that were cut by one crash run side by side elsewhere. A request that has left quarantine is isolated for an
// hour, so that a single crash returns it there.
constexpr quarantine_rules crashRules{.isolateFrom = 2, .memoryMs = 3'600'000};
constexpr milliseconds suspectBackoff{400}; // pause of a node that has not answered a ping yet
constexpr std::size_t bodyMemoryDivisor = 4; // request bodies may use a quarter of the memory
constexpr std::size_t descriptorReserve = 400; // kept for links, the worker, the platform and files
constexpr double maxMissedNotices = 2.5; // notice intervals after which a worker counts as silent
constexpr milliseconds maxNoticeDelay{1000}; // added to these intervals: notices may arrive late
// During a shutdown, calls of other nodes for the own worker are accepted for a shorter time than requests of callers.
constexpr milliseconds inboundAcceptTime{900};
constexpr milliseconds shutdownPollInterval{20};
constexpr milliseconds shutdownIdleTime{60}; // without open requests, after which a stopping node exits
constexpr milliseconds exitMargin{250}; // left of the grace period when a node exits with requests still open

} // namespace

struct mesh_node::impl
{
    impl(const net::any_io_executor &executor, mesh_options options, mesh_platform platform)
        : context{executor, std::move(options), std::move(platform)}
        , inbound(context)
        , links(context, events())
        , allowances(context,
                     [this](const endpoint &to, const mesh_datagram &datagram) {
                         dissemination.gossip.sendDatagram(to, datagram);
                     })
        , outbound(context, inbound, links, allowances)
        , dissemination(context, inbound, links, allowances)
        , callers(executor,
                  serverOptions(),
                  [this](const whole_request &request, caller_connection &caller) {
                      return outbound.serve(request, caller);
                  })
        , maintenanceTimer(executor)
    {
        context.generator = seededFromDevice();
        context.processId = context.generator();
        context.retryBudgets.fixedRetriesFrom = steadyNow() + context.options.resends.window;
        context.fleet.selfId = context.options.nodeId;
        context.fleet.selfDataCentre = context.options.dataCentre;
        context.placement.nodeId = context.options.nodeId;
        context.placement.dataCentre = context.options.dataCentre;
        context.placement.linkBytesPerMs = context.options.linkBytesPerMs;
        context.placement.trafficCostPerKb = context.options.trafficCostPerKb;
        context.freshness = {.limit = context.options.revocationLimit, .startedAt = bootNow()};
        context.crashes.quarantine.rules = crashRules;
        context.announceCrash = [this](const crash_report &report) {
            dissemination.gossip.announceCrash(report);
        };
        context.rollouts.limits = context.options.rollouts;
        context.linkReservations.bytesPerMs = context.options.linkBytesPerMs;
        context.bodyMemory.memoryBytes = context.options.memoryBytes;
        context.pacer.bytesPerMs = context.options.linkBytesPerMs;
        context.pacer.updatedAt = steadyNow();
    }

    internal::peer_events events()
    {
        internal::peer_events events;
        events.onCall = [this](call_message message, std::shared_ptr<cancellation_token> cancellation) {
            return inbound.handleCall(std::move(message), std::move(cancellation));
        };
        events.onConfig = [this](const config_message &message) {
            dissemination.configs.applyPeerConfig(message);
        };
        events.onConfigRequest = [this](const config_request &request) {
            return dissemination.configs.configFor(request);
        };
        events.onSuspect = [this](const endpoint &address) {
            markUnresponsive(address, suspectBackoff);
        };
        events.onSilent = [this](const endpoint &address) {
            markUnresponsive(address, milliseconds{0});
        };
        return events;
    }

    // Records a node that does not answer, from which the placement detects a data centre that is cut off, and excludes
    // the node from placement for `length`.
    void markUnresponsive(const endpoint &address, milliseconds length)
    {
        const time_point now = steadyNow();
        for (const auto &[id, node] : context.fleet.nodes) {
            if (node.record.peer == address) {
                recordSilentNode(context.placement, node.record.dataCentre, id, now);
                pause(context.placement, node.record.service, id, length, now);
                context.metrics.count("nodes_passed_over_total");
            }
        }
    }

    async_http_server_options serverOptions()
    {
        async_http_server_options options;
        options.address = context.options.callers;
        options.maxConnections = context.options.maxFileDescriptors > 2 * descriptorReserve
            ? context.options.maxFileDescriptors - descriptorReserve
            : descriptorReserve;
        options.maxBufferedBytes = context.options.memoryBytes / bodyMemoryDivisor;
        options.bounds = [this] {
            const caller_limits &limits = context.config.table->limits;
            return server_limits{limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
        };
        options.mayOverlap = [this](const whole_request &request) {
            return outbound.mayOverlap(request);
        };
        return options;
    }

    awaitable<void> maintenanceLoop();
    awaitable<void> drainAndStop(std::function<void()> done);

    internal::mesh_context context;
    internal::inbound_handler inbound;
    internal::peer_links links;
    internal::allowance_keeper allowances;
    internal::outbound_handler outbound;
    internal::dissemination_tasks dissemination;
    async_http_server callers;
    net::steady_timer maintenanceTimer;
};

awaitable<void> mesh_node::impl::maintenanceLoop()
{
    const auto allowedSilence =
        std::chrono::duration_cast<milliseconds>(context.options.noticeInterval * maxMissedNotices) + maxNoticeDelay;
    for (;;) {
        maintenanceTimer.expires_after(maintenanceInterval);
        const auto [failure] = co_await maintenanceTimer.async_wait(awaitResult);
        if (failure) {
            co_return;
        }
        const time_point now = steadyNow();
        links.checkLiveness(now);
        dissemination.departures.maintain(now);
        dissemination.rollouts.maintain(now);
        if (recordSilence(context.worker, allowedSilence, now)) {
            context.log(log_line("worker", "silent")
                            .add("worker", context.worker.workerId)
                            .add("silent_ms", millisBetween(context.worker.lastHeardAt, now)));
            inbound.onWorkerChange(now);
            dissemination.gossip.announce();
        }
        const bool isDrainDue = context.worker.isLeaving && inbound.waitingCount() > 0;
        if (isDrainDue) {
            inbound.onWorkerChange(now);
        }
    }
}

awaitable<void> mesh_node::impl::drainAndStop(std::function<void()> done)
{
    const time_point startedAt = context.stop.startedAt;
    net::steady_timer pause(context.executor);
    time_point lastBusyAt = startedAt;
    while (steadyNow() < context.stop.exitAt) {
        pause.expires_after(shutdownPollInterval);
        co_await pause.async_wait(awaitResult);
        const time_point now = steadyNow();
        if (!context.isInboundClosed && now - startedAt > inboundAcceptTime) {
            context.isInboundClosed = true;
            inbound.onWorkerChange(now);
            dissemination.gossip.announce();
        }
        const bool isSending = !context.pacer.transfers.empty();
        if (outbound.openCount() > 0 || inbound.openCount() > 0 || isSending) {
            lastBusyAt = now;
        }
        if (now - startedAt > callerAcceptTime && now - lastBusyAt > shutdownIdleTime) {
            break;
        }
    }
    context.isStopped = true;
    context.log(log_line("node", "stopped")
                    .add("open_requests", outbound.openCount())
                    .add("open_calls", inbound.openCount())
                    .add("took_ms", millisBetween(startedAt, steadyNow())));
    callers.stop();
    links.stop();
    dissemination.gossip.stop();
    allowances.stop();
    maintenanceTimer.cancel();
    pause.expires_after(milliseconds(20));
    co_await pause.async_wait(awaitResult);
    done();
}

mesh_node::mesh_node(const net::any_io_executor &executor, mesh_options options, mesh_platform platform)
    : m_impl(std::make_unique<impl>(executor, std::move(options), std::move(platform)))
{
}

mesh_node::~mesh_node() = default;

result<void> mesh_node::start()
{
    BOOST_LEAF_CHECK(m_impl->dissemination.gossip.open());
    BOOST_LEAF_CHECK(m_impl->links.listen());
    BOOST_LEAF_CHECK(m_impl->callers.start());
    m_impl->dissemination.start();
    m_impl->allowances.start();
    spawnDuty(
        m_impl->context.executor,
        "maintenance",
        [this] {
            return m_impl->maintenanceLoop();
        },
        failureReporter(m_impl->context));
    const mesh_options &options = m_impl->context.options;
    m_impl->context.log(log_line("node", "started")
                            .add("node", options.nodeId)
                            .add("data_centre", options.dataCentre)
                            .add("service", options.service)
                            .add("worker", toText(options.worker))
                            .add("callers", toText(options.callers))
                            .add("peers", toText(options.peers))
                            .add("process", m_impl->context.processId));
    return {};
}

awaitable<notice_response> mesh_node::onWorkerNotice(worker_notice notice)
{
    const time_point now = steadyNow();
    internal::mesh_context &context = m_impl->context;
    const bool wasDeparted = isDeparted(context.worker.departures, notice);
    const worker_liveness before = context.worker;
    const notice_verdict verdict = applyNotice(context.worker, notice, now);
    const bool isDeparture = notice.kind != notice_kind::Ready;
    const bool isOtherProcess =
        before.workerId != context.worker.workerId || before.startedMs != context.worker.startedMs;
    if (isOtherProcess && !before.workerId.empty() && !before.isLeaving) {
        m_impl->inbound.onWorkerRestart(now);
    }
    if (verdict == notice_verdict::Changed || (isDeparture && !wasDeparted)) {
        m_impl->inbound.onWorkerChange(now);
        m_impl->dissemination.gossip.announce();
    }
    if (verdict != notice_verdict::Unchanged) {
        context.log(log_line("worker", "notice")
                        .add("worker", notice.workerId)
                        .add("verdict", verdictName(verdict))
                        .add("started", notice.startedMs.value_or(0))
                        .add("sequence", notice.sequence.value_or(0))
                        .add("known_worker", context.worker.workerId)
                        .add("known_sequence", context.worker.sequence)
                        .add("leaving", context.worker.isLeaving)
                        .add("departed", wasDeparted)
                        .add("unconfirmed", context.worker.isUnconfirmed)
                        .add("slots", context.worker.slots));
    }
    if (before.isUnconfirmed && !isOtherProcess && !context.worker.isUnconfirmed) {
        context.log(log_line("worker", "confirmed")
                        .add("worker", notice.workerId)
                        .add("at_reply_address", notice.isAtReplyAddress)
                        .add("in_step", context.worker.heartbeats.isInStep)
                        .add("took_ms", millisBetween(before.heartbeats.firstAt, now)));
    }
    if (!isDeparture) {
        const worker_liveness &worker = context.worker;
        const bool isRepeatNeeded = worker.isUnconfirmed && !worker.isLeaving && verdict != notice_verdict::Stale
            && shouldRepeatHeartbeat(*worker.nodeStart, worker.heartbeats, now);
        const notice_response response{.isAcknowledged = !isRepeatNeeded, .isUnconfirmed = worker.isUnconfirmed};
        if (isRepeatNeeded) {
            net::steady_timer pause(context.executor, minRepeatDelay);
            co_await pause.async_wait(awaitResult);
        }
        co_return response;
    }
    const bool isHeld = co_await m_impl->dissemination.departures.hold(departureOf(context.worker.departures, notice));
    co_return notice_response{.isAcknowledged = isHeld};
}

bool mesh_node::isReady() const
{
    return !m_impl->context.isStopping && m_impl->context.config.table->version > 0;
}

void mesh_node::shutDown(std::function<void()> done)
{
    internal::mesh_context &context = m_impl->context;
    if (context.isStopping) {
        return;
    }
    context.isStopping = true;
    const time_point now = steadyNow();
    context.stop = {now, now + context.options.gracePeriod - exitMargin};
    context.log(log_line("node", "stopping")
                    .add("open_requests", m_impl->outbound.openCount())
                    .add("open_calls", m_impl->inbound.openCount()));
    m_impl->callers.closeAfterResponse();
    net::co_spawn(
        context.executor,
        [this] {
            return m_impl->dissemination.directory.unpublishRecord();
        },
        net::detached);
    net::co_spawn(
        context.executor,
        [this, done = std::move(done)] {
            return m_impl->drainAndStop(done);
        },
        net::detached);
}

std::string mesh_node::metricsText() const
{
    const internal::mesh_context &context = m_impl->context;
    const auto line = [](const std::string &name, auto value) {
        return "pistachioquay_" + name + " " + std::to_string(value) + "\n";
    };
    std::string text;
    for (const auto &[name, value] : context.metrics.counters) {
        text += line(name, value);
    }
    for (const auto &[name, histogram] : context.metrics.latencies) {
        std::uint64_t sum = 0;
        for (std::size_t index = 0; index < histogram.counts.size(); ++index) {
            sum += histogram.counts.at(index);
            const std::string bound = index < histogram.boundsMs.size()
                ? std::to_string(static_cast<int>(histogram.boundsMs.at(index)))
                : "+Inf";
            std::string bucket = name;
            bucket.append("_bucket{le=\"").append(bound).append("\"}");
            text += line(bucket, sum);
        }
        text += line(name + "_sum", histogram.sumMs) + line(name + "_count", sum);
    }
    text += line("config_version", context.config.table->version);
    text += line("config_age_ms", millisBetween(context.config.appliedAt, steadyNow()));
    if (context.freshness.limit) {
        const boot_time now = bootNow();
        const auto age = proofAge(context.freshness, now);
        text += line("key_proof_age_ms", age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1);
        text += line("keys_provable", isProven(context.freshness, now) ? 1 : 0);
    }
    text += line("store_era", context.storeEras.current.value_or(0));
    text += line("nodes_known", context.fleet.nodes.size());
    text += line("link_backlog_ms", transferWaitMs(context.linkBookings, linkState(context, steadyNow())));
    text += line("link_queued_bytes", queuedBytes(context.pacer));
    text += line("link_booked_bytes", context.linkBookings.bookedBytes);
    text += line("worker_running", m_impl->inbound.runningCount());
    text += line("worker_waiting", m_impl->inbound.waitingCount());
    text += line("worker_slots_reported", m_impl->inbound.workerLoad().capacity().reportedSlots);
    text += line("worker_slots_usable", m_impl->inbound.workerLoad().usableSlots());
    text += line("worker_load_slope", loadSlope(m_impl->inbound.workerLoad().capacity()));
    text += line("worker_reachable", context.worker.isUnreachable ? 0 : 1);
    text += line("worker_heard_age_ms", millisBetween(context.worker.lastHeardAt, steadyNow()));
    text += line("worker_connections_opened_total", m_impl->inbound.connectionCounts().opened);
    text += m_impl->dissemination.rollouts.metricsText();
    text += line("requests_open", m_impl->outbound.openCount());
    text += line("caller_connections_open", m_impl->callers.counts().open);
    return text + m_impl->allowances.metricsText();
}

} // namespace pistachioquay
