// Starts the programs of process tests: the platform log, workers and nodes.
//
//   const temp_folder folder;
//   auto log = requireValue([&] { return startPlatformLog(folder, "log"); });
//   auto worker = requireValue([&] { return startUpstream(folder, "orders-1", {"--slots=6"}); });
//   node_settings settings = makeNodeSettings("be-1", "orders", 6, worker.address, log.address);
//   auto node = requireValue([&] { return startNode(folder, "node-1", settings); });
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "process/settings/settings.h"
#include "testing/harness/process.h"

namespace pistachioquay {

// A started stand-in that listens on `address`.
struct stand_in
{
    child_process process;
    endpoint address;
    std::string recordFile; // runs of a worker; see testing/upstream/run_record.h
};

// A started `pistachioquayd`.
struct node_process
{
    child_process process;
    node_settings settings;
};

// A node and its worker.
struct worker_node
{
    stand_in upstream;
    node_process node;
};

// startPlatformLog starts the stand-in of the log on a free port and waits until it responds. Files are named after
// `name`. Thread safe. Fails with Io.
result<stand_in>
startPlatformLog(const temp_folder &folder, std::string_view name, const std::vector<std::string> &arguments = {});

// startPlatformLogAt does the same on a given address, for a restart. Thread safe. Fails with Io.
result<stand_in> startPlatformLogAt(const temp_folder &folder,
                                    std::string_view name,
                                    const endpoint &address,
                                    const std::vector<std::string> &arguments = {});

// startUpstream starts a stand-in worker on a free port and waits until it responds. Thread safe. Fails with Io.
result<stand_in>
startUpstream(const temp_folder &folder, std::string_view name, const std::vector<std::string> &arguments = {});

// startUpstreamAt does the same on a given address, for a restart; runs are appended to the record of `name`. Thread
// safe. Fails with Io.
result<stand_in> startUpstreamAt(const temp_folder &folder,
                                 std::string_view name,
                                 const endpoint &address,
                                 const std::vector<std::string> &arguments = {});

// makeNodeSettings returns settings with free addresses for all ports of a node. Thread safe.
node_settings makeNodeSettings(std::string_view dataCentre,
                               std::string_view service,
                               std::uint32_t slots,
                               const endpoint &upstream,
                               const endpoint &platformLog);

// toToml writes settings in the form that `readNodeSettings` reads. Thread safe.
std::string toToml(const node_settings &settings);

// startNode writes the settings file, starts `pistachioquayd` and returns without waiting: a node without a
// configuration opens its ports but is not ready. Settings of a node that was killed start it again. Thread safe.
// Fails with Io.
result<node_process> startNode(const temp_folder &folder, std::string_view name, const node_settings &settings);

// startWorkerNode starts a worker and its node in a data centre. `seeds` are gossip addresses of nodes to join by.
// Thread safe. Fails with Io.
struct worker_node_options
{
    std::string name;
    std::string dataCentre;
    std::string service;
    std::uint32_t slots = 6;
    endpoint platformLog;
    std::vector<endpoint> seeds;
    std::vector<std::string> upstreamArguments;
};
result<worker_node> startWorkerNode(const temp_folder &folder, const worker_node_options &options);

// programPath returns the path of a program of this workspace in the build folder, by its path below it. Thread safe.
std::string programPath(std::string_view program);

} // namespace pistachioquay
