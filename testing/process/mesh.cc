#include "testing/process/mesh.h"

#include <algorithm>
#include <stdexcept>

#include <jansson.h>

#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "version/tree/tree_text.h"

namespace pistachioquay {

namespace {

using json_value = std::unique_ptr<json_t, decltype(&json_decref)>;

json_value parseJson(const std::string &text)
{
    return {json_loads(text.c_str(), 0, nullptr), &json_decref};
}

std::size_t countMembers(const node_process &node)
{
    const json_value status = parseJson(statusOf(node));
    return status ? json_array_size(json_object_get(status.get(), "members")) : 0;
}

std::string stateOf(const node_process &node)
{
    const json_value status = parseJson(statusOf(node));
    const char *text = status ? json_string_value(json_object_get(status.get(), "state")) : nullptr;
    return text == nullptr ? std::string() : text;
}

bool isJoined(const mesh &running, const worker_node &each)
{
    const auto peers = std::ranges::count_if(running.nodes, [&](const worker_node &other) {
        return other.node.settings.dataCentre == each.node.settings.dataCentre;
    });
    return countMembers(each.node) == static_cast<std::size_t>(peers) && stateOf(each.node) == "ready";
}

} // namespace

mesh startMesh(const std::vector<mesh_part> &parts, const std::vector<std::string> &logArguments)
{
    mesh running;
    running.folder = std::make_unique<temp_folder>();
    running.log = requireValue([&] {
        return startPlatformLog(*running.folder, "log", logArguments);
    });
    std::vector<endpoint> seeds;
    for (const mesh_part &part : parts) {
        for (std::size_t count = 0; count < part.workers; ++count) {
            worker_node_options options;
            options.name = part.dataCentre + "-" + part.service + "-" + std::to_string(count);
            options.dataCentre = part.dataCentre;
            options.service = part.service;
            options.slots = part.slots;
            options.platformLog = running.log.address;
            options.seeds = seeds;
            running.nodes.push_back(requireValue([&] {
                return startWorkerNode(*running.folder, options);
            }));
            seeds.push_back(running.nodes.back().node.settings.gossipAddress);
        }
    }
    const bool hasJoined = waitUntil(
        [&] {
            return std::ranges::all_of(running.nodes, [&](const auto &each) {
                return isJoined(running, each);
            });
        },
        startBound);
    if (!hasJoined) {
        throw std::runtime_error("the nodes do not find each other:\n" + running.nodes.back().node.process.log());
    }
    return running;
}

std::string statusOf(const node_process &node)
{
    test_call call;
    call.address = node.settings.controlAddress;
    call.path = "/v1/status";
    call.timeout = milliseconds(1000);
    const http_answer answer = httpCall(call);
    return answer.status == 200 ? answer.body : std::string();
}

std::int64_t statusNumber(const node_process &node, const char *key)
{
    const json_value status = parseJson(statusOf(node));
    return status ? json_integer_value(json_object_get(status.get(), key)) : -1;
}

std::uint64_t publishText(const mesh &running, std::string_view toml, std::string_view before, std::uint64_t base)
{
    random_generator generator = seededFromDevice();
    const config_tree next = requireValue([&] {
        return treeFromToml(toml);
    });
    const config_tree previous = requireValue([&] {
        return treeFromToml(before);
    });
    const edit_record record{randomId(generator), base, "test", diffTrees(previous, next)};
    const log_target target{running.log.address, milliseconds(5000)};
    return requireValue([&] {
        return appendRecord(target, "config", encodeRecord(record));
    });
}

bool waitForVersion(mesh &running, std::uint64_t version, milliseconds atMost)
{
    return waitUntil(
        [&] {
            return std::ranges::all_of(running.nodes, [&](worker_node &each) {
                return !each.node.process.isRunning()
                    || statusNumber(each.node, "version") >= static_cast<std::int64_t>(version);
            });
        },
        atMost);
}

} // namespace pistachioquay
