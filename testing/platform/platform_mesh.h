// Runs nodes of the mesh as real processes, with stand-ins for the platform's store and workers.
//
//   platform_mesh mesh({{"a1", "orders", "dc-1"}, {"b1", "orders", "dc-2"}});
//   mesh.publish(1, routesTo("orders"));
//   REQUIRE(mesh.waitReady(milliseconds(5000)));
//   const caller_result got = mesh.send("a1", {.id = "r-1", .target = "/orders/7"});
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/harness/process.h"
#include "testing/platform/store_stand_in.h"
#include "testing/platform/worker_stand_in.h"
#include "testing/soak/fault_relay.h"

namespace pistachioquay::testing {

// A node to start: its name, the service of its worker, and its data centre. A node with a version has roll-outs.
struct node_plan
{
    std::string name;
    std::string service;
    std::string dataCentre;
    std::string version; // of its worker's software; empty: v1, in a deployment without roll-outs
    unsigned failEvery = 0; // each such run of its worker fails; 0: none
    double linkMbps = 1000; // of its VM, as the settings state it; the link itself is not slowed

    friend bool operator==(const node_plan &, const node_plan &) = default;
};

// One route of a test configuration, under host `shop.example`.
struct route_plan
{
    std::string prefix;
    std::string service;
    std::string kind = "safe"; // safe, unsafe or upload
    unsigned timeoutMs = 3000;
    unsigned maxAttempts = 3;
    bool allowsAnonymous = false;
};

// A client account of a test configuration.
struct account_plan
{
    std::string name;
    std::vector<std::string> keys;
    unsigned priority = 1;
    double ratePerS = 0; // 0: no limit
    double burst = 0;
};

// A request that a test sends to a node in the role of a caller.
struct caller_request
{
    std::string id;
    std::string target;
    std::string method = "GET";
    std::string body;
    milliseconds timeLeft{4000};
    header_list headers; // in addition to those that every request has
};

// How the exchange of a caller_request ended, and its response.
struct caller_result
{
    exchange_end end = exchange_end::Lost;
    whole_response response;
};

// How nodes connect to their workers and to the store.
enum class wiring : std::uint8_t
{
    Direct,
    Relayed, // through fault relays, which can disturb the connections
};

class platform_mesh
{
public:
    // `bounds` holds further lines of the settings below `terms.bounds`.
    explicit platform_mesh(const std::vector<node_plan> &nodes, wiring links = wiring::Direct, std::string bounds = {});

    store_stand_in &store()
    {
        return m_store;
    }
    worker_stand_in &worker(const std::string &node)
    {
        return *m_nodes.at(node).worker;
    }
    child_process &process(const std::string &node)
    {
        return m_nodes.at(node).process;
    }
    // names returns the names of all nodes.
    std::vector<std::string> names() const;
    // callerAddress returns the outbound address of a node, to which its callers send their requests.
    endpoint callerAddress(const std::string &node) const;
    // workerAddress returns the address at which a node expects its worker.
    endpoint workerAddress(const std::string &node) const;
    // tcpAddresses returns all addresses on which a node accepts connections, and datagramAddress the one on which it
    // receives datagrams.
    std::vector<endpoint> tcpAddresses(const std::string &node) const;
    endpoint datagramAddress(const std::string &node) const;
    // storeRelay and workerRelay return the fault relays of a node. They exist only with `wiring::Relayed`.
    fault_relay &storeRelay(const std::string &node)
    {
        return *m_nodes.at(node).storeRelay;
    }
    fault_relay &workerRelay(const std::string &node)
    {
        return *m_nodes.at(node).workerRelay;
    }

    // publish writes a configuration to the store, as the operator does. Without `accounts` it has no client accounts.
    void publish(unsigned version,
                 const std::vector<route_plan> &routes,
                 const std::optional<std::vector<account_plan>> &accounts = std::nullopt);
    // startNode starts the process of a node.
    void startNode(const std::string &node);
    // startWorker and stopWorker start and stop the worker stand-in beside a node; startWorker replaces a running one.
    void startWorker(const std::string &node, const std::string &workerId, bool followsReplyAddress = true);
    void stopWorker(const std::string &node);
    // isReady sends GET /readiness to a node and returns whether it answered 200.
    bool isReady(const std::string &node);
    // waitReady waits until all running nodes are ready; false after `atMost`.
    bool waitReady(milliseconds atMost);
    // send sends one request to the outbound address of a node, on a new connection.
    caller_result send(const std::string &node, const caller_request &request);
    // log returns the log output of a node so far.
    std::string log(const std::string &node) const
    {
        return readFile(m_folder.file(node + ".log"));
    }

private:
    static constexpr std::size_t addressCount = 5; // inbound, outbound, ready, control, worker
    static constexpr std::size_t internalPortCount = 8; // datagrams, and the reply addresses of the node's processes

    struct node_state
    {
        node_plan plan;
        address_lease addresses{addressCount};
        address_lease internal{adjacentFreeAddresses(internalPortCount)};
        child_process process;
        std::unique_ptr<fault_relay> storeRelay;
        std::unique_ptr<fault_relay> workerRelay;
        std::unique_ptr<worker_stand_in> worker;
    };

    std::string settingsText(const node_state &node) const;

    std::string m_bounds;
    temp_folder m_folder;
    store_stand_in m_store;
    loop_thread m_loop;
    std::map<std::string, node_state> m_nodes;
};

} // namespace pistachioquay::testing
