#include "testing/platform/platform_mesh.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "testing/harness/cluster.h"

namespace pistachioquay::testing {

namespace {

enum address_index : std::size_t
{
    Inbound,
    Outbound,
    Ready,
    Control,
    Worker,
};

const std::string host = "shop.example";

boost::json::value ruleJson(const route_plan &route)
{
    return {
        {"name", "r" + route.prefix},
        {"kind", route.kind},
        {"targetLatencyMs", 1000},
        {"priority", 1},
        {"allowAnonymous", route.allowsAnonymous},
        {"match", {{"pathPrefix", route.prefix}}},
        {"action", {{"service", route.service}, {"timeoutMs", route.timeoutMs}, {"maxAttempts", route.maxAttempts}}}};
}

} // namespace

platform_mesh::platform_mesh(const std::vector<node_plan> &nodes, wiring links, std::string bounds)
    : m_bounds(std::move(bounds))
{
    for (const node_plan &plan : nodes) {
        node_state &node = m_nodes[plan.name];
        node.plan = plan;
        if (links == wiring::Relayed) {
            node.storeRelay = std::make_unique<fault_relay>(m_store.address());
            node.workerRelay = std::make_unique<fault_relay>(node.addresses[Worker]);
        }
    }
    for (const node_plan &plan : nodes) {
        startNode(plan.name);
        startWorker(plan.name, "w-" + plan.name);
    }
}

std::vector<std::string> platform_mesh::names() const
{
    std::vector<std::string> names;
    std::ranges::transform(m_nodes, std::back_inserter(names), [](const auto &item) {
        return item.first;
    });
    return names;
}

endpoint platform_mesh::callerAddress(const std::string &node) const
{
    return m_nodes.at(node).addresses[Outbound];
}

endpoint platform_mesh::workerAddress(const std::string &node) const
{
    return m_nodes.at(node).addresses[Worker];
}

std::vector<endpoint> platform_mesh::tcpAddresses(const std::string &node) const
{
    const address_lease &addresses = m_nodes.at(node).addresses;
    return {addresses[Inbound], addresses[Outbound], addresses[Ready], addresses[Control]};
}

endpoint platform_mesh::datagramAddress(const std::string &node) const
{
    return m_nodes.at(node).internal[0];
}

std::string platform_mesh::settingsText(const node_state &node) const
{
    const auto text = [&](address_index index) {
        return "\"" + toText(node.addresses[index]) + "\"\n";
    };
    const std::string worker = node.workerRelay ? "\"" + toText(node.workerRelay->address()) + "\"\n" : text(Worker);
    const endpoint store = node.storeRelay ? node.storeRelay->address() : m_store.address();
    const std::string firstPort = std::to_string(node.internal[0].port);
    const std::string lastPort = std::to_string(node.internal[internalPortCount - 1].port);
    return "[self]\nnodeName = \"" + node.plan.name + "\"\nipAddress = \"127.0.0.1\"\nzone = \"" + node.plan.dataCentre
        + "\"\nservice = \"" + node.plan.service + "\"\napplicationAddress = " + worker
        + "[self.limits]\nmemoryMb = 260\nfileDescriptors = 1000\nlinkBandwidthMbps = "
        + std::to_string(node.plan.linkMbps) + "\n[network]\ninternalPortRange = [" + firstPort + "," + lastPort
        + "]\n[network.listenAddresses]\ninbound = " + text(Inbound) + "outbound = " + text(Outbound)
        + "ready = " + text(Ready) + "control = " + text(Control)
        + "[platform]\nheartbeatIntervalMs = 300\n[platform.platform]\naddress = \"" + toText(store) + "\"\n"
        + "[terms.bounds]\ndrainTimeoutMs = 2000\ngracePeriodS = 6\nconfigApplyMs = 2000\nretryBudgetRatio = 0.2\n"
        + "budgetWindowS = 10\nbudgetExtraRetries = 64\n" + (node.plan.version.empty() ? "" : "exposureShare = 0.1\n")
        + m_bounds;
}

void platform_mesh::startNode(const std::string &node)
{
    node_state &state = m_nodes.at(node);
    const std::string path = m_folder.file(node + ".toml");
    std::ofstream(path) << settingsText(state);
    // The child process inherits the variable. Nodes are started one at a time, so each gets its own path.
    ::setenv("PISTACHIOQUAY_NODE_FILE", path.c_str(), 1);
    state.process = requireValue([&] {
        return startProcess(
            {programPath("packages/pistachioquayd/pistachioquayd"), {"--platform"}, m_folder.file(node + ".log")});
    });
}

void platform_mesh::startWorker(const std::string &node, const std::string &workerId, bool followsReplyAddress)
{
    node_state &state = m_nodes.at(node);
    state.worker.reset();
    worker_options options;
    options.id = workerId;
    options.service = state.plan.service;
    options.dataCentre = state.plan.dataCentre;
    options.address = state.addresses[Worker];
    options.control = state.addresses[Control];
    options.version = state.plan.version.empty() ? options.version : state.plan.version;
    options.failEvery = state.plan.failEvery;
    options.followsReplyAddress = followsReplyAddress;
    options.announcedAddress = state.workerRelay ? state.workerRelay->address() : endpoint{};
    state.worker = std::make_unique<worker_stand_in>(options);
}

void platform_mesh::stopWorker(const std::string &node)
{
    m_nodes.at(node).worker.reset();
}

void platform_mesh::publish(unsigned version,
                            const std::vector<route_plan> &routes,
                            const std::optional<std::vector<account_plan>> &accounts)
{
    boost::json::array rules;
    std::set<std::string> services;
    for (const route_plan &route : routes) {
        rules.push_back(ruleJson(route));
        services.insert(route.service);
    }
    boost::json::array clusters;
    for (const std::string &service : services) {
        clusters.push_back({{"name", service}, {"healthCheckPath", "/health"}, {"connectionLimit", 100}});
    }
    const boost::json::value limits = {{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", 33554432},
                                       {"headerTimeoutMs", 3000},
                                       {"idleTimeoutMs", 15000}};
    boost::json::array listeners;
    listeners.push_back({{"host", host}, {"rules", rules}});
    boost::json::object document = {{"version", version},
                                    {"limits", limits},
                                    {"listeners", listeners},
                                    {"clusters", clusters}};
    if (accounts) {
        boost::json::array &tenants = document["tenants"].emplace_array();
        for (const account_plan &account : *accounts) {
            tenants.push_back({{"name", account.name},
                               {"apiKeys", boost::json::array(account.keys.begin(), account.keys.end())},
                               {"priority", account.priority},
                               {"ratePerS", account.ratePerS},
                               {"burst", account.burst}});
        }
    }
    m_store.put("keyed.op", "config", boost::json::serialize(document));
}

bool platform_mesh::isReady(const std::string &node)
{
    whole_request request;
    request.method = "GET";
    request.target = "/readiness";
    request.headers = {{"Host", host}};
    cancellation_token control;
    async_http_client client(m_loop.executor(), {.target = m_nodes.at(node).addresses[Ready]});
    const exchange_result got = m_loop.await(client.send(request, {.deadline = steadyNow() + seconds(1)}, control));
    m_loop.run([&] {
        client.closeAll();
        return 0;
    });
    return got.end == exchange_end::Complete && got.response.status == 200;
}

bool platform_mesh::waitReady(milliseconds atMost)
{
    return waitUntil(
        [this] {
            return std::ranges::all_of(names(), [this](const std::string &name) {
                return !process(name).isRunning() || isReady(name);
            });
        },
        atMost);
}

caller_result platform_mesh::send(const std::string &node, const caller_request &request)
{
    whole_request sent;
    sent.method = request.method;
    sent.target = request.target;
    sent.body = request.body;
    sent.headers = {{"Host", host},
                    {"Request-Attempt-Id", request.id},
                    {"Deadline-Milliseconds", std::to_string(request.timeLeft.count())}};
    sent.headers.insert(sent.headers.end(), request.headers.begin(), request.headers.end());
    cancellation_token control;
    async_http_client client(m_loop.executor(), {.target = m_nodes.at(node).addresses[Outbound]});
    exchange_result got =
        m_loop.await(client.send(sent, {.deadline = steadyNow() + request.timeLeft + seconds(1)}, control));
    m_loop.run([&] {
        client.closeAll();
        return 0;
    });
    return {got.end, std::move(got.response)};
}

} // namespace pistachioquay::testing
