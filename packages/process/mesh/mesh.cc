#include "process/mesh/mesh.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/mesh/context.h"
#include "process/mesh/dissemination.h"
#include "process/mesh/inbound.h"
#include "process/mesh/outbound.h"
#include "process/mesh/peer_links.h"

namespace pistachioquay {

namespace {

constexpr milliseconds upkeepInterval{200};
constexpr milliseconds suspectPause{400}; // for a node that has not answered a ping yet
constexpr std::size_t bodyShare = 4; // a quarter of the memory may hold bodies of requests
constexpr std::size_t descriptorReserve = 400; // for links, the worker, the platform and files
constexpr double silentNotices = 2.5; // missed notices after which a worker counts as gone
constexpr milliseconds noticeLag{1000}; // by which notices may be late
constexpr milliseconds serveWhileLeaving{2300}; // callers see two failed readiness checks within this time
constexpr milliseconds workWhileLeaving{900}; // the own worker gets requests that end long before the node does
constexpr milliseconds leavePoll{20};
constexpr milliseconds leaveQuiet{60}; // without open requests before a stopping node exits
constexpr milliseconds exitMargin{250}; // before the end of the grace time

} // namespace

struct mesh_node::parts
{
    parts(const net::any_io_executor &executor, mesh_options options, mesh_platform platform)
        : context{executor, std::move(options), std::move(platform)}
        , inbound(context)
        , links(context, events())
        , outbound(context, inbound, links)
        , spread(context, inbound, links)
        , callers(executor,
                  serverOptions(),
                  [this](const whole_request &request, caller_connection &caller) {
                      return outbound.serve(request, caller);
                  })
        , upkeepTimer(executor)
    {
        context.generator = seededFromDevice();
        context.process = context.generator();
        context.fleet.selfId = context.options.nodeId;
        context.fleet.selfDataCentre = context.options.dataCentre;
        context.placement.nodeId = context.options.nodeId;
        context.placement.dataCentre = context.options.dataCentre;
        context.placement.linkBytesPerMs = context.options.linkBytesPerMs;
        context.room.bytesPerMs = context.options.linkBytesPerMs;
    }

    internal::peer_events events()
    {
        internal::peer_events events;
        events.onCall = [this](call_message message, std::shared_ptr<cancellation_token> control) {
            return inbound.run(std::move(message), std::move(control));
        };
        events.onConfig = [this](const config_message &message) {
            spread.takeConfig(message);
        };
        events.config = [this](const config_request &request) {
            return spread.configFor(request);
        };
        events.onSuspect = [this](const endpoint &address) {
            passOver(address, suspectPause);
        };
        events.onSilent = [this](const endpoint &address) {
            passOver(address, milliseconds{0});
        };
        return events;
    }

    // Takes a node that does not answer as a sign of a cut, and sends it nothing for `length`.
    void passOver(const endpoint &address, milliseconds length)
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
        async_http_server_options made;
        made.address = context.options.callers;
        made.maxConnections = context.options.maxFileDescriptors > 2 * descriptorReserve
            ? context.options.maxFileDescriptors - descriptorReserve
            : descriptorReserve;
        made.maxBufferedBytes = context.options.memoryBytes / bodyShare;
        made.bounds = [this] {
            const caller_limits &limits = context.config.table->limits;
            return server_limits{limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
        };
        return made;
    }

    awaitable<void> upkeepLoop();
    awaitable<void> leave(std::function<void()> done);

    internal::mesh_context context;
    internal::inbound_side inbound;
    internal::peer_links links;
    internal::outbound_side outbound;
    internal::spread_duty spread;
    async_http_server callers;
    net::steady_timer upkeepTimer;
};

awaitable<void> mesh_node::parts::upkeepLoop()
{
    const auto allowedSilence =
        std::chrono::duration_cast<milliseconds>(context.options.noticeInterval * silentNotices) + noticeLag;
    for (;;) {
        upkeepTimer.expires_after(upkeepInterval);
        const auto [failure] = co_await upkeepTimer.async_wait(awaitResult);
        if (failure) {
            co_return;
        }
        const time_point now = steadyNow();
        links.check(now);
        if (recordSilence(context.worker, allowedSilence, now)) {
            context.log(log_line("worker", "silent")
                            .add("worker", context.worker.workerId)
                            .add("silent_ms", millisBetween(context.worker.lastHeardAt, now)));
            inbound.onWorkerChange(now);
            spread.announce();
        }
        const bool isDrainDue = context.worker.isLeaving && inbound.waitingCount() > 0;
        if (isDrainDue) {
            inbound.onWorkerChange(now);
        }
    }
}

awaitable<void> mesh_node::parts::leave(std::function<void()> done)
{
    const time_point startedAt = steadyNow();
    const time_point latest = startedAt + context.options.gracePeriod - exitMargin;
    net::steady_timer pause(context.executor);
    time_point busyAt = startedAt;
    while (steadyNow() < latest) {
        pause.expires_after(leavePoll);
        co_await pause.async_wait(awaitResult);
        const time_point now = steadyNow();
        context.isRefusing = now - startedAt > serveWhileLeaving;
        if (!context.isWorkerClosed && now - startedAt > workWhileLeaving) {
            context.isWorkerClosed = true;
            inbound.onWorkerChange(now);
            spread.announce();
        }
        if (outbound.openCount() > 0 || inbound.openCount() > 0) {
            busyAt = now;
        }
        if (context.isRefusing && now - busyAt > leaveQuiet) {
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
    spread.stop();
    upkeepTimer.cancel();
    pause.expires_after(milliseconds(20));
    co_await pause.async_wait(awaitResult);
    done();
}

mesh_node::mesh_node(const net::any_io_executor &executor, mesh_options options, mesh_platform platform)
    : m_parts(std::make_unique<parts>(executor, std::move(options), std::move(platform)))
{
}

mesh_node::~mesh_node() = default;

result<void> mesh_node::start()
{
    BOOST_LEAF_CHECK(m_parts->spread.open());
    BOOST_LEAF_CHECK(m_parts->links.listen());
    BOOST_LEAF_CHECK(m_parts->callers.start());
    m_parts->spread.start();
    net::co_spawn(
        m_parts->context.executor,
        [this] {
            return m_parts->upkeepLoop();
        },
        net::detached);
    const mesh_options &options = m_parts->context.options;
    m_parts->context.log(log_line("node", "started")
                             .add("node", options.nodeId)
                             .add("data_centre", options.dataCentre)
                             .add("service", options.service)
                             .add("worker", toText(options.worker))
                             .add("callers", toText(options.callers))
                             .add("peers", toText(options.peers))
                             .add("process", m_parts->context.process));
    return {};
}

notice_verdict mesh_node::onWorkerNotice(const worker_notice &notice)
{
    const time_point now = steadyNow();
    internal::mesh_context &context = m_parts->context;
    const notice_verdict verdict = applyNotice(context.worker, notice, now);
    if (verdict == notice_verdict::Changed) {
        m_parts->inbound.onWorkerChange(now);
        m_parts->spread.announce();
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
                        .add("slots", context.worker.slots));
    }
    return verdict;
}

bool mesh_node::isReady() const
{
    return !m_parts->context.isStopping && m_parts->context.config.table->version > 0;
}

void mesh_node::shutDown(std::function<void()> done)
{
    internal::mesh_context &context = m_parts->context;
    if (context.isStopping) {
        return;
    }
    context.isStopping = true;
    context.servesUntil = steadyNow() + serveWhileLeaving;
    context.log(log_line("node", "stopping")
                    .add("open_requests", m_parts->outbound.openCount())
                    .add("open_calls", m_parts->inbound.openCount()));
    m_parts->callers.closeAfterResponse();
    net::co_spawn(
        context.executor,
        [this] {
            return m_parts->spread.withdraw();
        },
        net::detached);
    net::co_spawn(
        context.executor,
        [this, done = std::move(done)] {
            return m_parts->leave(done);
        },
        net::detached);
}

std::string mesh_node::metricsText() const
{
    const internal::mesh_context &context = m_parts->context;
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
    text += line("nodes_known", context.fleet.nodes.size());
    text += line("worker_running", m_parts->inbound.runningCount());
    text += line("worker_waiting", m_parts->inbound.waitingCount());
    text += line("worker_reachable", context.worker.isUnreachable ? 0 : 1);
    text += line("worker_heard_age_ms", millisBetween(context.worker.lastHeardAt, steadyNow()));
    text += line("worker_connections_opened_total", m_parts->inbound.connectionCounts().opened);
    text += line("requests_open", m_parts->outbound.openCount());
    text += line("caller_connections_open", m_parts->callers.counts().open);
    return text;
}

} // namespace pistachioquay
