#include "request/proxy/proxy.h"

#include <algorithm>
#include <condition_variable>
#include <set>
#include <thread>

#include <glog/logging.h>

#include "request/proxy/shared_state.h"

namespace pistachioquay {

namespace {

constexpr seconds maintenanceInterval{1};

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
        server_options options;
        options.address = address;
        options.maxConnections = shared.options.maxConnections;
        options.threads = tuning.usesEventLoop ? server_threads::EventLoop : server_threads::PerConnection;
        return options;
    }

    // Every `maintenanceInterval`, closes idle connections and those to nodes that are no longer in the worker view,
    // and updates the nodes of the service.
    void runMaintenance(const std::stop_token &stop)
    {
        std::mutex mutex;
        std::condition_variable_any changed;
        std::set<endpoint> known;
        std::unique_lock guard(mutex);
        while (!stop.stop_requested()) {
            std::set<endpoint> current = addressesIn(shared.sources.workers().get());
            for (const endpoint &address : known) {
                if (!current.contains(address)) {
                    shared.pool.dropTarget(address);
                }
            }
            known = std::move(current);
            shared.pool.closeIdle(steadyNow());
            updateServiceNodes();
            changed.wait_for(guard, stop, maintenanceInterval, [] {
                return false;
            });
        }
    }

    // Passes the nodes of this node's service in the data centre to the limits that they share.
    void updateServiceNodes()
    {
        const std::shared_ptr<const worker_view> view = shared.sources.workers();
        std::vector<std::string_view> nodeIds{shared.options.nodeId};
        if (view && view->services.contains(shared.options.service)) {
            for (const worker &known : view->services.at(shared.options.service).local) {
                nodeIds.push_back(known.nodeId);
            }
        }
        shared.slots.setServiceNodes(nodeIds);
    }

    internal::shared_state shared;
    http_server callerServer;
    http_server peerServer;
    std::jthread maintenanceThread;
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
    m_state->maintenanceThread = std::jthread([own = m_state.get()](const std::stop_token &stop) {
        own->runMaintenance(stop);
    });
    LOG(INFO) << "[proxy] listening for callers on " << toText(callerAddress()) << ", for nodes on "
              << toText(peerAddress());
    return {};
}

void proxy::drain(duration timeout)
{
    const time_point until = steadyNow() + timeout;
    m_state->shared.isDraining = true;
    m_state->shared.slots.drain();
    m_state->callerServer.closeConnectionsAfterResponse();
    m_state->peerServer.closeConnectionsAfterResponse();
    const bool isEmpty = m_state->shared.inFlight.waitUntilEmpty(until);
    LOG(INFO) << "[proxy] drained" << (isEmpty ? "" : " incompletely: requests are still in flight");
}

void proxy::stop()
{
    m_state->maintenanceThread = {};
    m_state->callerServer.stop();
    m_state->peerServer.stop();
}

void proxy::mergeReports(std::span<const crash_report> reports)
{
    m_state->shared.crashes.merge(reports);
}

proxy_status proxy::status() const
{
    internal::shared_state &shared = m_state->shared;
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
