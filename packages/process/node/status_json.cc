#include "process/node/status_json.h"

#include <cstdlib>
#include <memory>

#include <jansson.h>

#include "version/fold/edit_record.h"

namespace pistachioquay {

namespace {

json_int_t toJsonInteger(std::uint64_t value)
{
    return static_cast<json_int_t>(value);
}

std::string_view stateName(member_state state)
{
    switch (state) {
    case member_state::Starting:
        return "starting";
    case member_state::Ready:
        return "ready";
    case member_state::Draining:
        return "draining";
    case member_state::Left:
        return "left";
    }
    return "unknown";
}

std::string dumpAndFree(json_t *value)
{
    const std::unique_ptr<char, decltype(&std::free)> text(json_dumps(value, JSON_COMPACT), &std::free);
    json_decref(value);
    return text ? std::string(text.get()) : std::string("{}");
}

json_t *memberJson(const member &each)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}",
                     "node",
                     each.nodeId.c_str(),
                     "data_centre",
                     each.dataCentre.c_str(),
                     "service",
                     each.service.c_str(),
                     "control",
                     toText(each.control).c_str(),
                     "state",
                     std::string(stateName(each.state)).c_str(),
                     "version",
                     toJsonInteger(each.version),
                     "position",
                     toJsonInteger(each.position),
                     "schema",
                     toJsonInteger(each.schema));
}

json_t *membersJson(const gossip_status &gossip)
{
    json_t *list = json_array();
    for (const member &each : gossip.live) {
        json_array_append_new(list, memberJson(each));
    }
    return list;
}

json_t *stringsJson(const std::vector<std::string> &strings)
{
    json_t *list = json_array();
    for (const std::string &each : strings) {
        json_array_append_new(list, json_string(each.c_str()));
    }
    return list;
}

json_t *gossipJson(const gossip_status &gossip)
{
    json_t *links = json_object();
    for (const auto &[name, age] : gossip.linkAgeMs) {
        json_object_set_new(links, name.c_str(), json_integer(age));
    }
    const std::uint64_t garbled = gossip.garbled.truncated + gossip.garbled.badMagic + gossip.garbled.badFormat
        + gossip.garbled.badChecksum + gossip.garbled.badContent;
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:o}",
                     "sent_bytes",
                     toJsonInteger(gossip.sentBytes),
                     "received_bytes",
                     toJsonInteger(gossip.receivedBytes),
                     "garbled",
                     toJsonInteger(garbled),
                     "suspicions",
                     toJsonInteger(gossip.counters.suspicions),
                     "deaths",
                     toJsonInteger(gossip.counters.deaths),
                     "pauses",
                     toJsonInteger(gossip.counters.pauses),
                     "link_age_ms",
                     links);
}

json_t *requestsJson(const proxy_status &proxy)
{
    json_t *refusals = json_object();
    for (const auto &[kind, count] : proxy.refusals) {
        json_object_set_new(refusals, kind.c_str(), json_integer(toJsonInteger(count)));
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}",
                     "running",
                     toJsonInteger(proxy.running),
                     "waiting",
                     toJsonInteger(proxy.waiting),
                     "from_callers",
                     toJsonInteger(proxy.requests),
                     "from_nodes",
                     toJsonInteger(proxy.inboundRequests),
                     "retries",
                     toJsonInteger(proxy.retries),
                     "cancelled",
                     toJsonInteger(proxy.cancelled),
                     "truncated",
                     toJsonInteger(proxy.truncated),
                     "refusals",
                     refusals);
}

json_t *latencyJson(const latency_summary &summary)
{
    return json_pack("{s:I, s:f, s:f, s:f, s:f, s:f}",
                     "count",
                     toJsonInteger(summary.count),
                     "mean_ms",
                     summary.mean,
                     "p50_ms",
                     summary.p50,
                     "p99_ms",
                     summary.p99,
                     "p999_ms",
                     summary.p999,
                     "max_ms",
                     summary.max);
}

json_t *burnJson(const burn_counts &counts)
{
    return json_pack("{s:f, s:I, s:I, s:I, s:I}",
                     "target_percent",
                     counts.targetPercent,
                     "short_total",
                     toJsonInteger(counts.shortTotal),
                     "short_bad",
                     toJsonInteger(counts.shortBad),
                     "long_total",
                     toJsonInteger(counts.longTotal),
                     "long_bad",
                     toJsonInteger(counts.longBad));
}

json_t *serviceJson(const service_metrics &service)
{
    json_t *latencies = json_object();
    for (const auto &[name, summary] : service.latencyByClass) {
        json_object_set_new(latencies, name.c_str(), latencyJson(summary));
    }
    json_t *objectives = json_object();
    for (const auto &[name, counts] : service.burnByObjective) {
        json_object_set_new(objectives, name.c_str(), burnJson(counts));
    }
    return json_pack("{s:o, s:o}", "latency", latencies, "objectives", objectives);
}

} // namespace

std::string statusJson(const status_inputs &inputs)
{
    json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:b, s:I, s:I, s:I}",
                             "node",
                             inputs.nodeId.c_str(),
                             "data_centre",
                             inputs.dataCentre.c_str(),
                             "service",
                             inputs.service.c_str(),
                             "state",
                             inputs.state.c_str(),
                             "version",
                             toJsonInteger(inputs.store.versionInForce),
                             "folded_version",
                             toJsonInteger(inputs.store.progress.version),
                             "position",
                             toJsonInteger(inputs.store.progress.position),
                             "schema",
                             toJsonInteger(recordSchema),
                             "routing",
                             inputs.store.isRouting ? 1 : 0,
                             "schema_blocked",
                             inputs.store.isSchemaBlocked ? 1 : 0,
                             "rejected_records",
                             toJsonInteger(inputs.store.rejectedRecords),
                             "snapshot_position",
                             toJsonInteger(inputs.store.snapshotPosition),
                             "log_next",
                             toJsonInteger(inputs.store.logNext));
    json_object_set_new(body, "in_force_since_ms", json_integer(inputs.store.inForceSinceMs));
    json_object_set_new(body, "sync_bytes", json_integer(toJsonInteger(inputs.syncBytes)));
    json_object_set_new(body, "readers", stringsJson(inputs.gossip.readers));
    json_object_set_new(body, "requests", requestsJson(inputs.proxy));
    json_object_set_new(body, "gossip", gossipJson(inputs.gossip));
    json_object_set_new(body, "members", membersJson(inputs.gossip));
    return dumpAndFree(body);
}

std::string reportJson(const std::string &nodeId, const std::string &dataCentre, const metrics_snapshot &snapshot)
{
    json_t *services = json_object();
    for (const auto &[name, each] : snapshot.services) {
        json_object_set_new(services, name.c_str(), serviceJson(each));
    }
    return dumpAndFree(
        json_pack("{s:s, s:s, s:o}", "node", nodeId.c_str(), "data_centre", dataCentre.c_str(), "services", services));
}

} // namespace pistachioquay
