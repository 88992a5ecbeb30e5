#include "request/proxy/proxy.h"

#include <algorithm>
#include <condition_variable>
#include <set>
#include <thread>

#include <glog/logging.h>

#include "request/proxy/shared_state.h"

namespace pistachioquay {

namespace {

constexpr seconds upkeepInterval{1};

std::set<endpoint> addressesIn(const worker_view *view)
{
    std::set<endpoint> addresses;
    if (view == nullptr) {
        return addresses;
    }
    for (const auto &[service, workers] : view->services) {
        for (const worker &known : workers.local) {
            addresses.insert(known.peerAddress);
        }
        for (const worker &known : workers.remote) {
            addresses.insert(known.peerAddress);
        }
    }
    return addresses;
}

} // namespace

struct proxy::state
{
    state(proxy_options options, proxy_sources sources, proxy_tuning tuning)
        : shared(std::move(options), std::move(sources), tuning)
        , callerServer(serverOptions(shared.options.callerAddress, tuning),
                       [this](const request_head &head, const caller_watch &watch) {
                           return internal::outboundExchange(shared, head, watch);
                       })
        , peerServer(serverOptions(shared.options.peerAddress, tuning),
                     [this](const request_head &head, const caller_watch &watch) {
                         return internal::inboundExchange(shared, head, watch);
                     })
    {
    }

    server_options serverOptions(const endpoint &address, proxy_tuning tuning) const
    {
        server_options made;
        made.address = address;
        made.maxConnections = shared.options.maxConnections;
        made.threads = tuning.usesEventLoop ? server_threads::EventLoop : server_threads::PerConnection;
        return made;
    }

    // Closes connections that were idle for long, and those to nodes that have left.
    void upkeep(const std::stop_token &stop)
    {
        std::mutex mutex;
        std::condition_variable_any changed;
        std::set<endpoint> known;
        std::unique_lock guard(mutex);
        while (!stop.stop_requested()) {
            std::set<endpoint> current = addressesIn(shared.sources.workers().get());
            for (const endpoint &left : known) {
                if (!current.contains(left)) {
                    shared.pool.dropTarget(left);
                }
            }
            known = std::move(current);
            shared.pool.closeIdle(steadyNow());
            observeOwnService();
            changed.wait_for(guard, stop, upkeepInterval, [] {
                return false;
            });
        }
    }

    // Tells the limits which nodes the own service has in the data centre.
    void observeOwnService()
    {
        const std::shared_ptr<const worker_view> view = shared.sources.workers();
        std::vector<std::string_view> nodeIds{shared.options.nodeId};
        if (view && view->services.contains(shared.options.service)) {
            for (const worker &known : view->services.at(shared.options.service).local) {
                nodeIds.push_back(known.nodeId);
            }
        }
        shared.slots.observe(nodeIds);
    }

    internal::core shared;
    http_server callerServer;
    http_server peerServer;
    std::jthread upkeepThread;
};

proxy::proxy(proxy_options options, proxy_sources sources, proxy_tuning tuning)
    : m_state(std::make_unique<state>(std::move(options), std::move(sources), tuning))
{
}

proxy::proxy(proxy &&) noexcept = default;
proxy &proxy::operator=(proxy &&) noexcept = default;

proxy::~proxy()
{
    if (m_state) {
        stop();
    }
}

result<void> proxy::start()
{
    BOOST_LEAF_CHECK(m_state->peerServer.start());
    BOOST_LEAF_CHECK(m_state->callerServer.start());
    m_state->upkeepThread = std::jthread([own = m_state.get()](const std::stop_token &stop) {
        own->upkeep(stop);
    });
    LOG(INFO) << "[proxy] callers at " << toText(callerAddress()) << ", peers at " << toText(peerAddress());
    return {};
}

void proxy::drain(duration timeout)
{
    const time_point until = steadyNow() + timeout;
    m_state->shared.isDraining = true;
    m_state->shared.slots.drain();
    m_state->callerServer.closeConnectionsAfterResponse();
    m_state->peerServer.closeConnectionsAfterResponse();
    const bool isEmpty = m_state->shared.inFlight.waitForNone(until);
    LOG(INFO) << "[proxy] drained" << (isEmpty ? "" : ", requests are still in flight");
}

void proxy::stop()
{
    m_state->upkeepThread = {};
    m_state->callerServer.stop();
    m_state->peerServer.stop();
}

void proxy::mergeReports(std::span<const crash_report> reports)
{
    m_state->shared.crashes.merge(reports);
}

proxy_status proxy::status() const
{
    internal::core &shared = m_state->shared;
    const internal::slot_load load = shared.slots.load();
    proxy_status status;
    status.running = load.running;
    status.waiting = load.waiting;
    status.requests = shared.counts.requests;
    status.inboundRequests = shared.counts.inboundRequests;
    std::ranges::copy(shared.counts.responses, status.responses.begin());
    status.retries = shared.counts.retries;
    status.cancelled = shared.counts.cancelled;
    status.truncated = shared.counts.truncated;
    const std::lock_guard guard(shared.counts.mutex);
    status.refusals = shared.counts.refusals;
    return status;
}

endpoint proxy::callerAddress() const
{
    return m_state->callerServer.address();
}

endpoint proxy::peerAddress() const
{
    return m_state->peerServer.address();
}

} // namespace pistachioquay
