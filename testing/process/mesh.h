// A small mesh of real processes for tests: the log, and nodes with their workers in several data centres.
//
//   mesh running = startMesh({{"be-1", "orders", 2}, {"be-2", "orders", 1}});
//   const std::uint64_t version = publishText(running, treeText, 0);
//   REQUIRE(waitForVersion(running, version, milliseconds(6000)));
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "testing/harness/cluster.h"
#include "testing/harness/http.h"
#include "version/fold/edit_record.h"

namespace pistachioquay {

// Nodes of one service in one data centre.
struct mesh_part
{
    std::string dataCentre;
    std::string service;
    std::size_t workers = 1;
    std::uint32_t slots = 6;
};

struct mesh
{
    std::unique_ptr<temp_folder> folder;
    stand_in log;
    std::vector<worker_node> nodes;
};

// The bound for a version to be in force everywhere.
inline constexpr milliseconds convergenceBound{6000};
// Time for processes of a loaded test machine to start and find each other.
inline constexpr milliseconds startBound{20'000};

// startMesh starts the log and all nodes, and waits until each node knows all others of its data centre and its worker
// is ready. `logArguments` go to the log. Throws std::runtime_error on failure, which fails the test.
mesh startMesh(const std::vector<mesh_part> &parts, const std::vector<std::string> &logArguments = {});

// statusOf returns the status of a node as JSON text; empty if it does not respond.
std::string statusOf(const node_process &node);

// statusNumber reads a number of a node's status; -1 if the node does not respond.
std::int64_t statusNumber(const node_process &node, const char *key);

// publishText appends the edits that make `toml` out of the empty tree or, with `before`, out of that text; returns the
// offset. Throws on failure.
std::uint64_t publishText(const mesh &running, std::string_view toml, std::string_view before, std::uint64_t base);

// waitForVersion waits until every running node has at least `version` in force.
bool waitForVersion(mesh &running, std::uint64_t version, milliseconds atMost);

} // namespace pistachioquay
