#include "process/mesh/gossip.h"

#include <algorithm>
#include <ranges>

#include "process/mesh/store_calls.h"

namespace pistachioquay::internal {

using udp = net::ip::udp;

namespace {

constexpr milliseconds gossipInterval{400};
constexpr std::size_t gossipFanout = 3; // nodes that receive a datagram in each interval
constexpr std::size_t recordsPerDatagram = 4; // records of other nodes in a datagram
constexpr std::size_t maxDatagramBytes = 1400;
constexpr std::uint32_t maxCrashesBefore = 1000; // of a suspect in a report of another node
constexpr std::size_t suspectsPerDatagram = 40; // of crash reports, about 20 bytes each

std::uint32_t storeEraAgeMs(const store_eras &eras)
{
    const auto age = std::chrono::floor<milliseconds>(bootNow() - eras.knownSince);
    return eras.current ? static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX)) : 0;
}

// Joins function objects into one that `std::visit` calls by the type of the value.
template<class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

gossip_channel::gossip_channel(mesh_context &context, inbound_handler &inbound, gossip_events events)
    : m_context(context)
    , m_inbound(inbound)
    , m_events(std::move(events))
    , m_socket(context.executor)
    , m_gossipTimer(context.executor)
    , m_startOrder(static_cast<std::uint64_t>(unixNowMs()))
{
}

result<void> gossip_channel::open()
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

void gossip_channel::start()
{
    const auto spawn = [this](std::string name, auto duty) {
        spawnDuty(m_context.executor, std::move(name), std::move(duty), failureReporter(m_context));
    };
    spawn("receive", [this] {
        return receiveLoop();
    });
    spawn("gossip", [this] {
        return gossipLoop();
    });
}

void gossip_channel::stop()
{
    boost::system::error_code ignored; // the socket is closed even if this reports an error
    m_socket.close(ignored);
    m_gossipTimer.cancel();
}

node_record gossip_channel::ownRecord(time_point now)
{
    const worker_liveness &worker = m_context.worker;
    node_record record;
    record.nodeId = m_context.options.nodeId;
    record.started = m_startOrder;
    record.revision = ++m_revision;
    record.process = m_context.processId;
    record.dataCentre = m_context.options.dataCentre;
    record.service = m_context.options.service;
    record.peer = m_context.options.peers;
    record.gossip = m_context.options.gossip;
    record.worker = worker.workerId.empty() ? worker_state::Absent
        : worker.isLeaving                  ? worker_state::Draining
        : worker.isUnreachable              ? worker_state::Down
        : isAcceptingRequests(worker)       ? worker_state::Ready
                                            : worker_state::Absent;
    record.isLeaving = m_context.isInboundClosed;
    record.workerVersion = worker.version;
    record.evidence = m_context.counting.evidence;
    record.slots = worker.slots;
    record.linkBytesPerMs = static_cast<std::uint32_t>(m_context.options.linkBytesPerMs);
    record.warmUpRemainingMs =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisBetween(now, worker.warmUpUntil)));
    record.configVersion = m_context.config.table->version;
    record.report = m_inbound.report(now);
    record.departures = plainDepartures(worker.departures);
    record.storeEra = m_context.storeEras.current.value_or(0);
    record.storeEraAgeMs = storeEraAgeMs(m_context.storeEras);
    record.nodesKnown = static_cast<std::uint32_t>(m_context.fleet.nodes.size() + 1);
    for (const auto &[route, mean] : m_inbound.runTimes().routes) {
        if (now - mean.lastAt < runTimeExpiry) {
            record.runMs[route] = mean.milliseconds;
        }
    }
    return record;
}

void gossip_channel::send(const endpoint &to, const datagram_plan &plan)
{
    const time_point now = steadyNow();
    gossip_message message;
    message.sender = ownRecord(now);
    message.wantsReply = plan.wantsReply;
    message.isReaderAnnouncement = plan.isReaderAnnouncement;
    message.others = chooseUpdates(m_context.fleet, plan.recordCount, m_context.generator);
    message.crashDigest = m_context.crashes.quarantine.digest;
    std::ranges::transform(plan.crashReports,
                           std::back_inserter(message.crashReports),
                           [&](const crash_report &report) {
                               return aged_crash_report{report, crashClockMs(now) - report.crashedAtMs};
                           });
    message.rollouts = recordsToSend(m_context.rollouts, now);
    if (plan.receiver != nullptr) {
        const std::string &receiverId = plan.receiver->nodeId;
        const auto known = m_context.fleet.nodes.find(receiverId);
        message.receiverDepartures = departuresHeldFor(m_context.fleet, receiverId, now);
        // The known record is still that of an earlier process if the receiver's clock was set back.
        message.knewPredecessor = known != m_context.fleet.nodes.end()
            && (known->second.hasPredecessor || known->second.record.process != plan.receiver->process);
    }
    std::string bytes = encodeMessage(mesh_datagram(message), meshFormatVersion);
    while (bytes.size() > maxDatagramBytes && !message.others.empty()) {
        message.others.pop_back();
        bytes = encodeMessage(mesh_datagram(message), meshFormatVersion);
    }
    sendBytes(to, bytes);
}

void gossip_channel::sendDatagram(const endpoint &to, const mesh_datagram &datagram)
{
    sendBytes(to, encodeMessage(datagram, meshFormatVersion));
}

void gossip_channel::sendBytes(const endpoint &to, std::string_view bytes)
{
    boost::system::error_code failure;
    const auto address = net::ip::make_address(to.ip, failure);
    // A datagram that cannot be sent now is treated as lost: the next gossip round sends the changes again.
    m_socket.send_to(net::buffer(bytes), udp::endpoint(address, to.port), MSG_DONTWAIT, failure);
    m_context.metrics.count(failure ? "datagrams_failed_total" : "datagrams_sent_total");
}

void gossip_channel::announce()
{
    for (const auto &[id, node] : m_context.fleet.nodes) {
        send(node.record.gossip, {});
    }
}

void gossip_channel::announceStoreRead()
{
    for (const auto &[id, node] : m_context.fleet.nodes) {
        if (node.record.dataCentre == m_context.options.dataCentre) {
            send(node.record.gossip, {.isReaderAnnouncement = true});
        }
    }
}

void gossip_channel::announceCrash(const crash_report &report)
{
    for (const auto &[id, node] : m_context.fleet.nodes) {
        send(node.record.gossip, {.crashReports = {report}});
    }
}

void gossip_channel::requestRecords(time_point now)
{
    for (const endpoint &peer : choosePeers(m_context.fleet, gossipFanout, now, m_context.generator)) {
        send(peer, {.wantsReply = true});
    }
}

void gossip_channel::raiseStartOrder(std::uint64_t above)
{
    m_startOrder = above + 1;
    m_context.log(log_line("spread", "restart-order-raised").add("started", m_startOrder));
    announce();
}

awaitable<void> gossip_channel::receiveLoop()
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

void gossip_channel::onDatagram(std::string_view bytes, const endpoint &from)
{
    const auto datagram = attempt([&] {
        return decodeMessage<mesh_datagram>(bytes, meshFormatVersion, m_decodeCounters);
    });
    if (!datagram) {
        m_context.metrics.count("datagrams_garbled_total");
        m_context.log(
            log_line("spread", "garbled-datagram").add("from", toText(from)).add("error", datagram.failure().message));
        return;
    }
    const time_point now = steadyNow();
    std::visit(overloaded{
                   [&](const gossip_message &message) {
                       onGossip(message, now);
                   },
                   [&](const freshness_query &query) {
                       m_events.onFreshnessQuery(query, from, now);
                   },
                   [&](const freshness_answer &answer) {
                       m_events.onFreshnessAnswer(answer, from, now);
                   },
                   [&](const allowance_ask &ask) {
                       m_events.onAllowanceAsk(ask, from);
                   },
                   [&](const allowance_answer &answer) {
                       m_events.onAllowanceAnswer(answer);
                   },
               },
               *datagram);
}

void gossip_channel::onGossip(const gossip_message &message, time_point now)
{
    const node_record &sender = message.sender;
    recordDataCentreContact(m_context.placement, sender.dataCentre);
    m_events.onRollouts(message.rollouts, now); // before workers of their versions become known
    applyMergeResult(sender, mergeRecord(m_context.fleet, sender, m_startOrder, now), now);
    for (const node_record &record : message.others) {
        applyMergeResult(record, mergeRecord(m_context.fleet, record, m_startOrder, now), now);
    }
    mergeCrashReports(message, now);
    m_events.onMessage(message, now);
    // Of two nodes whose crash reports differ, the one that notices sends its own and asks for those of the other.
    const bool isOtherDigest = message.crashDigest != m_context.crashes.quarantine.digest;
    const bool asksForReports = isOtherDigest && message.crashReports.empty() && !message.wantsReply;
    if (message.wantsReply || asksForReports) {
        datagram_plan reply{.wantsReply = asksForReports, .recordCount = recordsPerDatagram, .receiver = &sender};
        if (isOtherDigest) {
            reply.crashReports = chooseCrashReports();
        }
        send(sender.gossip, reply);
    }
}

void gossip_channel::applyMergeResult(const node_record &record, const merge_result &merged, time_point now)
{
    if (merged.isImplausible) {
        m_context.metrics.count("node_records_implausible_total");
        m_context.log(log_line("spread", "implausible-record")
                          .add("node", std::string_view(record.nodeId).substr(0, maxNameBytes))
                          .add("started", record.started));
        return;
    }
    if (merged.isOwnStartOutdated) {
        raiseStartOrder(record.started);
    }
    if (!merged.wasApplied) {
        return;
    }
    if (merged.hasWorkerChanged) {
        m_context.log(log_line("spread", "node-changed")
                          .add("node", record.nodeId)
                          .add("worker", stateName(record.worker))
                          .add("leaving", record.isLeaving)
                          .add("service", record.service)
                          .add("started", record.started)
                          .add("revision", record.revision));
        refreshWorkers(m_context, record.service, now);
        if (merged.isNew) {
            send(record.gossip, {.receiver = &record});
        }
    }
    applyToldEra(m_context, record);
    recordReport(m_context.placement, record.service, record.nodeId, record.report, now);
    for (const auto &[route, runMs] : record.runMs) {
        recordWorkerRunTime(m_context.placement, record.service, record.nodeId, route, runMs, now);
    }
}

// Returns random crash reports that fit into a datagram.
std::vector<crash_report> gossip_channel::chooseCrashReports()
{
    std::vector<crash_report> reports;
    std::ranges::transform(m_context.crashes.quarantine.reports, std::back_inserter(reports), [](const auto &item) {
        return item.second;
    });
    std::ranges::shuffle(reports, m_context.generator);
    std::size_t suspects = 0;
    const auto firstLeftOut = std::ranges::find_if(reports, [&](const crash_report &report) {
        suspects += report.suspects.size();
        return suspects > suspectsPerDatagram;
    });
    reports.erase(std::max(firstLeftOut, reports.begin() + std::min<std::ptrdiff_t>(1, std::ssize(reports))),
                  reports.end());
    return reports;
}

void gossip_channel::mergeCrashReports(const gossip_message &message, time_point now)
{
    crash_tracker &crashes = m_context.crashes;
    std::vector<crash_report> reports;
    for (const auto &[received, ageMs] : message.crashReports) {
        crash_report &report = reports.emplace_back(received);
        report.crashedAtMs = crashClockMs(now) - std::clamp<std::int64_t>(ageMs, 0, crashes.quarantine.rules.memoryMs);
        report.suspects.resize(std::min(report.suspects.size(), maxSuspects));
        std::ranges::sort(report.suspects, {}, &suspect::request); // another writer may not have sorted them
        std::ranges::for_each(report.suspects, [](suspect &each) {
            each.crashesBefore = std::min(each.crashesBefore, maxCrashesBefore);
        });
        const auto isSameRequest = [](const suspect &left, const suspect &right) {
            return left.request == right.request;
        };
        report.suspects.erase(std::unique(report.suspects.begin(), report.suspects.end(), isSameRequest),
                              report.suspects.end());
    }
    if (!reports.empty() && pistachioquay::mergeCrashReports(crashes, reports, crashClockMs(now))) {
        m_context.metrics.count("crash_reports_merged_total");
        m_context.log(log_line("spread", "crash-reports")
                          .add("from", message.sender.nodeId)
                          .add("received", reports.size())
                          .add("known", crashes.quarantine.reports.size()));
    }
}

awaitable<void> gossip_channel::gossipLoop()
{
    while (!m_context.isStopped) {
        m_gossipTimer.expires_after(gossipInterval);
        co_await m_gossipTimer.async_wait(awaitResult);
        const time_point now = steadyNow();
        for (const endpoint &peer : choosePeers(m_context.fleet, gossipFanout, now, m_context.generator)) {
            send(peer, {.wantsReply = m_context.worker.isRecovering, .recordCount = recordsPerDatagram});
        }
        for (const std::string &id : removeSilentNodes(m_context.fleet, now)) {
            m_context.log(log_line("spread", "node-forgotten").add("node", id));
        }
    }
}

} // namespace pistachioquay::internal
