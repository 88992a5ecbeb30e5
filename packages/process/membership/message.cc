#include "process/membership/message.h"

#include "base/hash.h"
#include "connection/wire/socket.h"

namespace pistachioquay {

namespace {

constexpr std::uint16_t datagramFormat = 1;
constexpr std::size_t shortUpdateBytes = 40;
constexpr std::size_t fixedEntryBytes = 110; // the numbers and the four ports of an entry
constexpr std::size_t fixedSummaryBytes = 40;
constexpr std::size_t fixedNodeBytes = 20;

bool dropLast(message &datagram)
{
    if (!datagram.summaries.empty()) {
        datagram.summaries.pop_back();
    } else if (!datagram.links.empty()) {
        datagram.links.pop_back();
    } else if (!datagram.updates.empty()) {
        datagram.updates.pop_back();
    } else {
        return false;
    }
    return true;
}

bool isKnownKind(message_kind kind)
{
    return kind <= message_kind::Summaries;
}

} // namespace

std::uint32_t dataCentreTag(std::string_view dataCentre)
{
    return static_cast<std::uint32_t>(hash64(dataCentre));
}

std::string encodeBounded(message datagram)
{
    std::string bytes = encodeMessage(datagram, datagramFormat);
    while (bytes.size() > maxDatagramBytes && dropLast(datagram)) {
        bytes = encodeMessage(datagram, datagramFormat);
    }
    return bytes;
}

result<message> decodeDatagram(std::string_view bytes, decode_counters &counters)
{
    if (bytes.size() > maxDatagramBytes) {
        return internal::badContent("it is over the size bound", counters);
    }
    BOOST_LEAF_AUTO(datagram, decodeMessage<message>(bytes, datagramFormat, counters));
    bool isValid = isKnownKind(datagram.kind) && datagram.from.state <= member_state::Left;
    isValid = isValid && (!datagram.entry || memberKey(datagram.entry->nodeId) == datagram.from.key);
    for (const member_update &update : datagram.updates) {
        isValid = isValid && isWellFormed(update);
    }
    if (!isValid) {
        return internal::badContent("a value is out of range", counters);
    }
    return datagram;
}

bool isWellFormed(const member_update &update)
{
    return update.mark <= member_mark::Dead && update.state <= member_state::Left
        && (!update.full || (update.full->state <= member_state::Left && memberKey(update.full->nodeId) == update.key));
}

std::size_t maxEncodedBytes(const member_update &update)
{
    if (!update.full) {
        return shortUpdateBytes;
    }
    const member &full = *update.full;
    const std::size_t names = full.nodeId.size() + full.dataCentre.size() + full.service.size();
    const std::size_t addresses =
        full.gossip.ip.size() + full.sync.ip.size() + full.peer.ip.size() + full.control.ip.size();
    return shortUpdateBytes + fixedEntryBytes + names + addresses;
}

std::size_t maxEncodedBytes(const service_summary &summary)
{
    std::size_t bytes = fixedSummaryBytes + summary.dataCentre.size() + summary.service.size();
    for (const summary_node &node : summary.nodes) {
        bytes += fixedNodeBytes + node.nodeId.size() + node.peer.ip.size();
    }
    return bytes;
}

} // namespace pistachioquay
