#include "testing/process/version_checks.h"

#include <algorithm>
#include <stdexcept>

#include "testing/harness/json.h"

namespace pistachioquay {

namespace {

constexpr milliseconds pollInterval{20};

} // namespace

std::string treeWithPrefix(std::string_view prefix)
{
    std::string text = "[policy.browse]\nclass = \"interactive\"\nidempotent = true\ndeadline_ms = 2000\nretries = 2\n"
                       "hedge_after_ms = 0\n";
    for (const char *dataCentre : {"be-1", "be-2", "be-3"}) {
        text += "[data_centre." + std::string(dataCentre) + ".service.orders.route.items]\nprefix = \""
            + std::string(prefix) + "\"\npolicy = \"browse\"\n";
    }
    return text;
}

std::uint64_t version_publisher::publish(std::string_view prefix)
{
    const std::string next = treeWithPrefix(prefix);
    version = publishText(running, next, text, version);
    text = next;
    return version;
}

version_watch::version_watch(const mesh &running)
{
    for (const worker_node &each : running.nodes) {
        m_threads.emplace_back([this, settings = each.node.settings](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                poll(settings);
                std::this_thread::sleep_for(pollInterval);
            }
        });
    }
}

std::vector<std::string> version_watch::regressions() const
{
    const std::lock_guard guard(m_mutex);
    return m_regressions;
}

std::int64_t version_watch::highest(const std::string &nodeId) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_highest.find(nodeId);
    return found == m_highest.end() ? 0 : found->second;
}

void version_watch::poll(const node_settings &settings)
{
    const http_answer answer =
        httpCall({.address = settings.controlAddress, .path = "/v1/status", .timeout = milliseconds(500)});
    const json_holder status = parseJson(answer.body);
    if (answer.status != 200 || !status) {
        return;
    }
    const std::int64_t version = integerIn(status.get(), "version", 0);
    const bool isRouting = flagIn(status.get(), "routing", false);
    const std::lock_guard guard(m_mutex);
    std::int64_t &highest = m_highest[settings.nodeId];
    if (version < highest && (version > 0 || isRouting)) {
        m_regressions.push_back(settings.nodeId + " went from version " + std::to_string(highest) + " to "
                                + std::to_string(version));
    }
    highest = std::max(highest, version);
}

worker_node &
addNode(mesh &running, const mesh_part &part, std::string_view name, const std::function<void(node_settings &)> &change)
{
    stand_in upstream = requireValue([&] {
        return startUpstream(*running.folder,
                             std::string(name) + "-upstream",
                             {"--slots=" + std::to_string(part.slots)});
    });
    node_settings settings =
        makeNodeSettings(part.dataCentre, part.service, part.slots, upstream.address, running.log.address);
    for (const worker_node &each : running.nodes) {
        settings.seeds.push_back(each.node.settings.gossipAddress);
    }
    if (change) {
        change(settings);
    }
    node_process started = requireValue([&] {
        return startNode(*running.folder, std::string(name) + "-node", settings);
    });
    return running.nodes.emplace_back(worker_node{std::move(upstream), std::move(started)});
}

void restartNode(const mesh &running, worker_node &each)
{
    each.node = requireValue([&] {
        return startNode(*running.folder,
                         "restarted-" + std::to_string(each.node.settings.controlAddress.port),
                         each.node.settings);
    });
}

bool setLogFaults(const mesh &running, std::string_view json)
{
    return httpPost(running.log.address, "/test/faults", json).status == 200;
}

bool isReader(const node_process &node)
{
    const json_holder status = parseJson(statusOf(node));
    const json_t *readers = status ? json_object_get(status.get(), "readers") : nullptr;
    for (std::size_t index = 0; index < json_array_size(readers); ++index) {
        const char *name = json_string_value(json_array_get(readers, index));
        if (name != nullptr && node.settings.nodeId == name) {
            return true;
        }
    }
    return false;
}

std::uint64_t servedVersion(const node_process &node, std::string_view path)
{
    const http_answer answer = httpGet(node.settings.callerAddress, path);
    const std::string version = headerOf(answer, "x-pq-version");
    return answer.status == 200 && answer.isWhole && !version.empty() ? std::stoull(version) : 0;
}

} // namespace pistachioquay
