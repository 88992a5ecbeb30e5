// Parts of the process tests for configuration versions: small trees, a publisher, and a watch over reported versions.
//
//   version_publisher publisher{running};
//   const version_watch watch(running);
//   const std::uint64_t version = publisher.publish("/stock");
//   CHECK(waitForVersion(running, version, convergenceBound));
//   CHECK(watch.regressions().empty());
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/process/mesh.h"

namespace pistachioquay {

// treeWithPrefix returns a tree for data centres be-1, be-2 and be-3 whose only route leads `prefix` to `orders`.
std::string treeWithPrefix(std::string_view prefix);

// Publishes one tree after another to the log of a mesh, directly. Not thread safe.
struct version_publisher
{
    const mesh &running;
    std::string text;
    std::uint64_t version = 0;

    // publish appends the change to `treeWithPrefix(prefix)` and returns its version.
    std::uint64_t publish(std::string_view prefix);
};

// Polls the status of nodes on a thread and notes each version that is smaller than an earlier one of the same node id.
// Version 0 of a node that does not route is no configuration, not an older one.
class version_watch
{
public:
    explicit version_watch(const mesh &running);

    // regressions returns one line per version that went back. Thread safe.
    std::vector<std::string> regressions() const;

    // highest returns the highest version that a node reported. Thread safe.
    std::int64_t highest(const std::string &nodeId) const;

private:
    void poll(const node_settings &settings);

    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_highest;
    std::vector<std::string> m_regressions;
    std::vector<std::jthread> m_threads;
};

// addNode starts one more worker and node; `change` may alter its settings. Seeds are the running nodes.
worker_node &addNode(mesh &running,
                     const mesh_part &part,
                     std::string_view name,
                     const std::function<void(node_settings &)> &change = {});

// restartNode starts a killed node again with its settings.
void restartNode(const mesh &running, worker_node &each);

// setLogFaults switches faults of the log on or off; see testing/platform_log/faults.h.
bool setLogFaults(const mesh &running, std::string_view json);

// isReader tells whether the node names itself among the readers of its data centre.
bool isReader(const node_process &node);

// servedVersion returns the version with which a node serves a call to `path`; 0 if it does not serve it.
std::uint64_t servedVersion(const node_process &node, std::string_view path);

} // namespace pistachioquay
