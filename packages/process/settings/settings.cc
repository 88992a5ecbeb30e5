#include "process/settings/settings.h"

#include <algorithm>
#include <array>
#include <span>
#include <sstream>

#include <toml++/toml.h>

namespace pistachioquay {

namespace {

boost::leaf::error_id invalid(std::string_view message, std::string_view remedy)
{
    return fail(error_kind::InvalidSettings, message, remedy);
}

std::string inBackticks(std::string_view text)
{
    return "`" + std::string(text) + "`";
}

result<toml::table> parseToml(std::string_view text)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error &failure) {
        std::ostringstream where;
        where << failure.description() << " at " << failure.source().begin;
        return invalid(where.str(), "correct the TOML syntax there");
    }
}

// Fails on the first key of `table` or of a table inside it that is not in `known`. `prefix` is the dotted path of
// `table` with a trailing dot, or empty; `known` holds full dotted keys.
result<void> checkKnownKeys(const toml::table &table, std::string_view prefix, std::span<const std::string_view> known)
{
    for (const auto &[key, node] : table) {
        const std::string name = std::string(prefix) + std::string(key.str());
        if (const auto *inner = node.as_table()) {
            BOOST_LEAF_CHECK(checkKnownKeys(*inner, name + ".", known));
        } else if (std::ranges::find(known, name) == known.end()) {
            std::string names;
            for (const std::string_view each : known) {
                names += (names.empty() ? "" : ", ") + std::string(each);
            }
            return invalid("unknown key " + inBackticks(name), "remove it or use one of: " + names);
        }
    }
    return {};
}

result<std::string> readText(const toml::table &table, std::string_view key)
{
    const auto node = table.at_path(key);
    if (!node) {
        return invalid("missing key " + inBackticks(key), "add it to the settings file");
    }
    const auto text = node.value_exact<std::string>();
    if (!text || text->empty()) {
        return invalid(inBackticks(key) + " is not a text", "write a non-empty quoted string");
    }
    return *text;
}

result<endpoint> readEndpoint(const toml::table &table, std::string_view key)
{
    BOOST_LEAF_AUTO(text, readText(table, key));
    const auto address = attempt([&] {
        return parseEndpoint(text);
    });
    if (!address) {
        return invalid(inBackticks(key) + ": " + address.failure().message, address.failure().remedy);
    }
    return *address;
}

result<std::int64_t> readNumber(const toml::table &table,
                                std::string_view key,
                                std::int64_t minimum,
                                std::int64_t maximum,
                                std::int64_t defaultValue)
{
    const auto node = table.at_path(key);
    if (!node) {
        return defaultValue;
    }
    const auto number = node.value_exact<std::int64_t>();
    if (!number || *number < minimum || *number > maximum) {
        return invalid(inBackticks(key) + " is out of range or not a whole number",
                       "write a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *number;
}

result<std::vector<endpoint>> readEndpoints(const toml::table &table, std::string_view key)
{
    std::vector<endpoint> addresses;
    const auto node = table.at_path(key);
    if (!node) {
        return addresses;
    }
    const auto *list = node.as_array();
    if (list == nullptr) {
        return invalid(inBackticks(key) + " is not a list", "write [\"IP:PORT\", ...]");
    }
    for (const auto &item : *list) {
        const auto text = item.value_exact<std::string>();
        const auto address = attempt([&] {
            return parseEndpoint(text.value_or(""));
        });
        if (!address) {
            return invalid(inBackticks(key) + ": " + address.failure().message, address.failure().remedy);
        }
        addresses.push_back(*address);
    }
    return addresses;
}

// The gossip address is not checked: it is a UDP port, which may have the number of a TCP port.
result<void> checkDistinctAddresses(const node_settings &settings)
{
    const std::array<endpoint, 4> listeners = {settings.callerAddress,
                                               settings.peerAddress,
                                               settings.controlAddress,
                                               settings.syncAddress};
    for (auto each = listeners.begin(); each != listeners.end(); ++each) {
        if (std::find(std::next(each), listeners.end(), *each) != listeners.end()) {
            return invalid("two `listen` keys use the address " + toText(*each),
                           "set a different address for each of caller, peer, control and sync");
        }
    }
    return {};
}

result<void> readAddresses(const toml::table &table, node_settings &settings)
{
    BOOST_LEAF_ASSIGN(settings.callerAddress, readEndpoint(table, "listen.caller"));
    BOOST_LEAF_ASSIGN(settings.peerAddress, readEndpoint(table, "listen.peer"));
    BOOST_LEAF_ASSIGN(settings.controlAddress, readEndpoint(table, "listen.control"));
    BOOST_LEAF_ASSIGN(settings.gossipAddress, readEndpoint(table, "listen.gossip"));
    BOOST_LEAF_ASSIGN(settings.syncAddress, readEndpoint(table, "listen.sync"));
    BOOST_LEAF_ASSIGN(settings.upstream, readEndpoint(table, "upstream.address"));
    BOOST_LEAF_ASSIGN(settings.platformLog, readEndpoint(table, "platform.log"));
    BOOST_LEAF_ASSIGN(settings.seeds, readEndpoints(table, "seeds.gossip"));
    return checkDistinctAddresses(settings);
}

constexpr std::array<std::string_view, 15> nodeKeys = {
    "node.id",
    "node.data_centre",
    "node.service",
    "listen.caller",
    "listen.peer",
    "listen.control",
    "listen.gossip",
    "listen.sync",
    "upstream.address",
    "upstream.slots",
    "platform.log",
    "platform.retention_ms",
    "seeds.gossip",
    "limits.drain_ms",
    "limits.connections",
};

constexpr std::array<std::string_view, 3> cliKeys = {"platform.log", "nodes.control", "operator.name"};

} // namespace

result<node_settings> readNodeSettings(std::string_view toml)
{
    constexpr std::int64_t maxSlots = 10'000;
    constexpr std::int64_t minRetentionMs = 1'000;
    constexpr std::int64_t maxRetentionMs = 31'536'000'000; // a year
    constexpr std::int64_t maxDrainMs = 600'000;
    constexpr std::int64_t maxConnections = 10'000;
    node_settings settings;
    BOOST_LEAF_AUTO(table, parseToml(toml));
    BOOST_LEAF_CHECK(checkKnownKeys(table, "", nodeKeys));
    BOOST_LEAF_ASSIGN(settings.dataCentre, readText(table, "node.data_centre"));
    BOOST_LEAF_ASSIGN(settings.service, readText(table, "node.service"));
    BOOST_LEAF_CHECK(readAddresses(table, settings));
    settings.nodeId = settings.service + "@" + toText(settings.peerAddress);
    if (table.at_path("node.id")) {
        BOOST_LEAF_ASSIGN(settings.nodeId, readText(table, "node.id"));
    }
    BOOST_LEAF_AUTO(slots, readNumber(table, "upstream.slots", 1, maxSlots, 0));
    if (slots == 0) {
        return invalid("missing key `upstream.slots`",
                       "set it to the number of requests that the upstream runs concurrently");
    }
    settings.slots = static_cast<std::uint32_t>(slots);
    BOOST_LEAF_AUTO(
        retentionMs,
        readNumber(table, "platform.retention_ms", minRetentionMs, maxRetentionMs, settings.logRetention.count()));
    settings.logRetention = milliseconds(retentionMs);
    BOOST_LEAF_AUTO(drainMs, readNumber(table, "limits.drain_ms", 0, maxDrainMs, settings.drainTimeout.count()));
    settings.drainTimeout = milliseconds(drainMs);
    BOOST_LEAF_AUTO(connections, readNumber(table, "limits.connections", 1, maxConnections, settings.maxConnections));
    settings.maxConnections = static_cast<std::uint32_t>(connections);
    return settings;
}

result<cli_settings> readCliSettings(std::string_view toml)
{
    cli_settings settings;
    BOOST_LEAF_AUTO(table, parseToml(toml));
    BOOST_LEAF_CHECK(checkKnownKeys(table, "", cliKeys));
    BOOST_LEAF_ASSIGN(settings.platformLog, readEndpoint(table, "platform.log"));
    BOOST_LEAF_ASSIGN(settings.nodes, readEndpoints(table, "nodes.control"));
    BOOST_LEAF_ASSIGN(settings.author, readText(table, "operator.name"));
    return settings;
}

} // namespace pistachioquay
