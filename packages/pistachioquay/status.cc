#include "pistachioquay/status.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "pistachioquay/json.h"

namespace pistachioquay {

namespace {

node_status nodeFrom(const json_t *object)
{
    node_status status;
    status.node = textAt(object, "node");
    status.dataCentre = textAt(object, "data_centre");
    status.service = textAt(object, "service");
    status.control = textAt(object, "control");
    status.state = textAt(object, "state");
    status.version = numberAt(object, "version");
    status.position = numberAt(object, "position");
    status.schema = numberAt(object, "schema");
    return status;
}

bool isGone(const node_status &status)
{
    return status.state == "left" || status.state == "dead";
}

} // namespace

result<std::vector<node_status>> parseStatus(std::string_view body)
{
    const json_value root = readJson(body);
    std::vector<node_status> nodes;
    if (root == nullptr || !json_is_object(root.get()) || textAt(root.get(), "node").empty()) {
        return fail(error_kind::Corrupt,
                    "the response is no status of a node",
                    "check that `nodes.control` names control ports of pistachioquayd");
    }
    nodes.push_back(nodeFrom(root.get()));
    const json_t *members = json_object_get(root.get(), "members");
    for (std::size_t index = 0; index < json_array_size(members); ++index) {
        nodes.push_back(nodeFrom(json_array_get(members, index)));
    }
    return nodes;
}

fleet_status readFleet(const cli_access &access)
{
    fleet_status fleet;
    std::map<std::tuple<std::string, std::string, std::string>, node_status> known;
    for (const endpoint &control : access.nodes) {
        auto nodes = attempt([&]() -> result<std::vector<node_status>> {
            BOOST_LEAF_AUTO(body, access.fetchStatus(control));
            BOOST_LEAF_AUTO(parsed, parseStatus(body));
            parsed.front().control = toText(control);
            return parsed;
        });
        if (!nodes) {
            fleet.failures.push_back(toText(control) + ": " + describe(nodes.failure()));
            continue;
        }
        for (node_status &status : *nodes) {
            node_status &kept = known[{status.dataCentre, status.service, status.node}];
            if (kept.node.empty() || kept.position < status.position) {
                kept = std::move(status);
            }
        }
    }
    for (auto &[key, status] : known) {
        fleet.nodes.push_back(std::move(status));
    }
    return fleet;
}

std::vector<node_status> nodesBehind(const fleet_status &fleet, std::uint64_t version)
{
    std::vector<node_status> behind;
    std::ranges::copy_if(fleet.nodes, std::back_inserter(behind), [&](const node_status &status) {
        return status.version < version && !isGone(status);
    });
    return behind;
}

std::vector<std::string> schemaWarnings(const fleet_status &fleet, std::uint32_t schema)
{
    std::vector<std::string> warnings;
    for (const node_status &status : fleet.nodes) {
        if (status.schema != 0 && status.schema < schema && !isGone(status)) {
            warnings.push_back("node " + status.node + " reads schema " + std::to_string(status.schema)
                               + " and would stop at this record of schema " + std::to_string(schema)
                               + "; upgrade it first");
        }
    }
    return warnings;
}

} // namespace pistachioquay
