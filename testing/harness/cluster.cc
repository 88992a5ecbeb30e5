#include "testing/harness/cluster.h"

#include <fstream>
#include <sstream>

namespace pistachioquay {

namespace {

constexpr milliseconds startBound(10'000);

std::string quote(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

result<stand_in> startListening(const process_options &options, const endpoint &address, std::string recordFile)
{
    BOOST_LEAF_AUTO(process, startProcess(options));
    const bool isSettled = waitUntil(
        [&] {
            return !process.isRunning() || waitForPort(address, milliseconds(0));
        },
        startBound);
    if (!isSettled || !process.isRunning()) {
        return fail(error_kind::Io,
                    options.program + " did not open " + toText(address) + ": " + process.log(),
                    "check that the port is free");
    }
    return stand_in{std::move(process), address, std::move(recordFile)};
}

std::vector<std::string> withAddress(const endpoint &address, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{"--address=" + toText(address)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return all;
}

} // namespace

std::string programPath(std::string_view program)
{
    return std::string(PQ_BUILD_FOLDER) + "/" + std::string(program);
}

result<stand_in> startPlatformLogAt(const temp_folder &folder,
                                    std::string_view name,
                                    const endpoint &address,
                                    const std::vector<std::string> &arguments)
{
    const std::string logFile = folder.file(std::string(name) + ".log");
    const std::string program = programPath("testing/platform_log/platform_log");
    return startListening({program, withAddress(address, arguments), logFile}, address, "");
}

result<stand_in>
startPlatformLog(const temp_folder &folder, std::string_view name, const std::vector<std::string> &arguments)
{
    return startPlatformLogAt(folder, name, freeAddress(), arguments);
}

result<stand_in> startUpstreamAt(const temp_folder &folder,
                                 std::string_view name,
                                 const endpoint &address,
                                 const std::vector<std::string> &arguments)
{
    const std::string logFile = folder.file(std::string(name) + ".log");
    const std::string recordFile = folder.file(std::string(name) + ".record");
    std::vector<std::string> all = withAddress(address, arguments);
    all.push_back("--record=" + recordFile);
    return startListening({programPath("testing/upstream/upstream"), all, logFile}, address, recordFile);
}

result<stand_in>
startUpstream(const temp_folder &folder, std::string_view name, const std::vector<std::string> &arguments)
{
    return startUpstreamAt(folder, name, freeAddress(), arguments);
}

node_settings makeNodeSettings(std::string_view dataCentre,
                               std::string_view service,
                               std::uint32_t slots,
                               const endpoint &upstream,
                               const endpoint &platformLog)
{
    constexpr std::size_t ports = 5;
    const std::vector<endpoint> addresses = freeAddresses(ports);
    node_settings settings;
    settings.dataCentre = dataCentre;
    settings.service = service;
    settings.callerAddress = addresses.at(0);
    settings.peerAddress = addresses.at(1);
    settings.controlAddress = addresses.at(2);
    settings.gossipAddress = addresses.at(3);
    settings.syncAddress = addresses.at(4);
    settings.nodeId = settings.service + "@" + toText(settings.peerAddress);
    settings.upstream = upstream;
    settings.slots = slots;
    settings.platformLog = platformLog;
    return settings;
}

std::string toToml(const node_settings &settings)
{
    std::ostringstream text;
    text << "[node]\nid = " << quote(settings.nodeId) << "\ndata_centre = " << quote(settings.dataCentre)
         << "\nservice = " << quote(settings.service)
         << "\n[listen]\ncaller = " << quote(toText(settings.callerAddress))
         << "\npeer = " << quote(toText(settings.peerAddress))
         << "\ncontrol = " << quote(toText(settings.controlAddress))
         << "\ngossip = " << quote(toText(settings.gossipAddress)) << "\nsync = " << quote(toText(settings.syncAddress))
         << "\n[upstream]\naddress = " << quote(toText(settings.upstream)) << "\nslots = " << settings.slots
         << "\n[platform]\nlog = " << quote(toText(settings.platformLog))
         << "\nretention_ms = " << settings.logRetention.count() << "\n[seeds]\ngossip = [";
    for (const endpoint &seed : settings.seeds) {
        text << quote(toText(seed)) << ", ";
    }
    text << "]\n[limits]\ndrain_ms = " << settings.drainTimeout.count() << "\nconnections = " << settings.maxConnections
         << "\n";
    return text.str();
}

result<node_process> startNode(const temp_folder &folder, std::string_view name, const node_settings &settings)
{
    const std::string settingsFile = folder.file(std::string(name) + ".toml");
    std::ofstream(settingsFile) << toToml(settings);
    const std::string logFile = folder.file(std::string(name) + ".log");
    BOOST_LEAF_AUTO(
        process,
        startProcess({programPath("packages/pistachioquayd/pistachioquayd"), {"--settings", settingsFile}, logFile}));
    return node_process{std::move(process), settings};
}

result<worker_node> startWorkerNode(const temp_folder &folder, const worker_node_options &options)
{
    std::vector<std::string> arguments = options.upstreamArguments;
    arguments.push_back("--slots=" + std::to_string(options.slots));
    BOOST_LEAF_AUTO(upstream, startUpstream(folder, options.name + "-upstream", arguments));
    node_settings settings =
        makeNodeSettings(options.dataCentre, options.service, options.slots, upstream.address, options.platformLog);
    settings.seeds = options.seeds;
    BOOST_LEAF_AUTO(node, startNode(folder, options.name + "-node", settings));
    return worker_node{std::move(upstream), std::move(node)};
}

} // namespace pistachioquay
