// Case 11: the store comes back from an older copy, and a key that is taken away afterwards works on.
#include "../stand_ins_3.h"

using namespace stand_ins;

namespace {

constexpr long revokeMs = 5000;
constexpr int firstProbeAfterMs = 8000; // after the acknowledgement: past revokeMs
constexpr int probes = 10;

std::string tenants(bool hasOldKey)
{
    return std::string("[{\"name\":\"bozi300\",\"apiKeys\":[\"key-that-stays\"")
        + (hasOldKey ? ",\"key-taken-away\"" : "") + "],\"priority\":1}]";
}

} // namespace

int main()
{
    const std::string bounds = "strictRevocation = true\nrevokeMs = 5000\n";
    deployment mesh("review/11/record.txt",
                    {{"sidecar-a-1", "bidbook", "zone-a", 260, 1000, 1500, bounds},
                     {"sidecar-a-2", "bidbook", "zone-a", 260, 1000, 1500, bounds},
                     {"sidecar-b-1", "bidbook", "zone-b", 260, 1000, 1500, bounds},
                     {"sidecar-b-2", "bidbook", "zone-b", 260, 1000, 1500, bounds}});
    const auto publish = [&](int version, bool hasOldKey) {
        const auto text = configText(version, {{"/lepu270/", "safe", "bidbook"}}, {"bidbook"}, tenants(hasOldKey));
        const auto offset = mesh.platform.put("keyed.op", "config", text);
        mesh.record.line("operator writes version %d at offset %llu%s, acknowledged",
                         version,
                         static_cast<unsigned long long>(offset),
                         hasOldKey ? "" : " (without key-taken-away)");
    };
    const auto reset = [&](int version) {
        return std::all_of(mesh.nodes.begin(), mesh.nodes.end(), [&](const auto &node) {
            return node->metric("pistachioquay_config_version") >= version;
        });
    };
    if (!mesh.platform.start()) {
        return exitNotRun;
    }
    publish(1, true);
    for (std::size_t index = 0; index < mesh.nodes.size(); ++index) {
        if (!mesh.startMachine(index)) {
            return exitNotRun;
        }
    }
    const auto request = [&](const std::string &id, const std::string &key) {
        return client_request{.target = "/lepu270/2f", .id = id, .key = key};
    };
    const bool isServing = deployment::waitFor(15000, [&] {
        return reset(1) && std::all_of(mesh.nodes.begin(), mesh.nodes.end(), [&](const auto &node) {
            return ask(node->at(node::outboundPort), request("warm-up", "key-taken-away"), mesh.record).status == 200;
        });
    });
    if (!isServing) {
        mesh.record.line("the deployment does not serve");
        return exitNotRun;
    }
    mesh.platform.takeCopy();
    mesh.record.line("platform: a copy of the store is taken");
    sleepMs(1000);
    publish(2, true);
    sleepMs(1000);
    publish(3, true);
    if (!deployment::waitFor(4000, [&] {
            return reset(3);
        })) {
        return exitNotRun;
    }
    sleepMs(1500);
    if (hasTrouble()) {
        mesh.record.line("platform: the store is away");
        mesh.platform.goAway();
        sleepMs(3500);
        mesh.platform.loadCopy();
        if (!mesh.platform.comeBack()) {
            return exitNotRun;
        }
        mesh.record.line("platform: the store is back, from the copy; Store-Era has risen");
        publish(3, true); // what the operator wrote is written again
    }
    publish(4, false);
    const long long acknowledgedMs = mesh.record.ms();
    unsigned late = 0;
    unsigned served = 0;
    sleepMs(firstProbeAfterMs);
    for (int probe = 0; probe < probes; ++probe) {
        for (const auto &node : mesh.nodes) {
            const std::string suffix = node->options().name + "-" + std::to_string(probe);
            const answer old =
                ask(node->at(node::outboundPort), request("old-" + suffix, "key-taken-away"), mesh.record);
            const answer good =
                ask(node->at(node::outboundPort), request("good-" + suffix, "key-that-stays"), mesh.record);
            served += good.status == 200 ? 1 : 0;
            late += old.status == 200 && old.isSigned && old.sentMs - acknowledgedMs > revokeMs ? 1 : 0;
        }
        sleepMs(1000);
    }
    unsigned ran = 0;
    for (const auto &each : mesh.workers) {
        for (const run_entry &run : each->runs()) {
            ran += run.id.starts_with("old-") ? 1 : 0;
        }
    }
    for (const auto &node : mesh.nodes) {
        mesh.record.line("%s applies version %.0f",
                         node->options().name.c_str(),
                         node->metric("pistachioquay_config_version"));
    }
    mesh.record.line("RESULT: of %d requests with the key that was taken away, sent %d ms or more after the "
                     "acknowledgement, %u ran (%u answered 200); with the key that stays, %u answered 200",
                     probes * 4,
                     firstProbeAfterMs,
                     ran,
                     late,
                     served);
    if (served == 0) {
        return exitNotRun;
    }
    return ran > 0 ? exitBroken : exitHeld;
}
