// Schedule of what a VM sends on its network link: small frames go at once, large ones in chunks at a bounded rate.
//
//   recordUnpaced(pacer, frame.size(), now);                                    // a small frame was sent
//   addTransfer(pacer, {ticket, transfer_class::Body, bytes, targetAt, deadline}, now);
//   while (const auto chunk = takeChunk(pacer, now, canAccept)) write(chunk->ticket, chunk->bytes);
//   if (const auto pause = untilNextChunk(pacer, now)) startTimer(*pause);
//   for (const std::uint64_t ticket : removeUndeliverable(pacer, now)) replaceByFailure(ticket);
//
// Load pattern: the workers of a service answer downloads that fill the links of their VMs, beside calls with short
// replies. All bytes wait in one queue at the link, so that a reply of 1 KB to a call, a configuration and gossip wait
// behind hundreds of kilobytes that their receivers need much later. The node therefore keeps this queue shorter than
// `maxLinkQueue`: large payloads wait at the node instead, where the order can be chosen, and use at most `pacedShare`
// of the rate less what small frames use (a token bucket; see RFC 2697 for the terms).
//
// Configurations precede bodies. Among bodies the one with the earliest target is sent first (earliest deadline first:
// Liu and Layland, 1973), which meets all targets whenever some order does; equal shares would finish all of them late
// together. A body that has missed its target follows all that have not.
//
// A link of unknown or high rate is not paced: its queue stays short without help.
//
// All functions operate on the state of one event loop and are not thread safe.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds maxLinkQueue{20}; // of paced bytes on the link; a small frame waits no longer than this
inline constexpr double pacedShare = 0.85; // of the rate for large payloads; the rest is for headers and datagrams
inline constexpr milliseconds chunkTime{8}; // transfer time of a chunk; shorter ones cost more wake-ups
inline constexpr std::size_t minChunkBytes = 4UL * 1024; // below this the headers of a chunk outweigh it
inline constexpr std::size_t maxChunkBytes = 256UL * 1024; // bounds the copy that a chunk takes
// Bodies are mostly smaller. A link that carries this much within `maxLinkQueue` needs no pacing.
inline constexpr double usualBodyBytes = 1024.0 * 1024.0;

enum class transfer_class : std::uint8_t
{
    Configuration,
    Body,
};

// A large payload that has not been sent completely.
struct paced_transfer
{
    std::uint64_t ticket = 0;
    transfer_class kind = transfer_class::Body;
    std::uint64_t bytes = 0; // left to send
    time_point targetAt; // a delivery by then has its full value
    time_point deadline; // a later delivery is of no use

    friend bool operator==(const paced_transfer &, const paced_transfer &) = default;
};

struct link_pacer
{
    double bytesPerMs = 0; // rate of the link; 0 if unknown
    double allowance = 0; // bytes that may be sent now; negative after small frames
    double unpacedBytesPerMs = 0; // recent rate of small frames
    time_point updatedAt;
    std::vector<paced_transfer> transfers;
};

// A piece of a transfer that is to be sent now.
struct paced_chunk
{
    std::uint64_t ticket = 0;
    std::size_t bytes = 0;
    bool isLast = false;

    friend auto operator<=>(const paced_chunk &, const paced_chunk &) = default;
};

// isPaced returns whether large payloads are sent in chunks on this link.
bool isPaced(const link_pacer &pacer);

// chunkBytes returns the largest chunk for the rate of the link.
std::size_t chunkBytes(const link_pacer &pacer);

// recordUnpaced counts the bytes of a frame that was sent at once.
void recordUnpaced(link_pacer &pacer, std::size_t bytes, time_point now);

// addTransfer adds a payload to be sent. The ticket must be unique and the size above 0.
void addTransfer(link_pacer &pacer, const paced_transfer &transfer, time_point now);

// removeTransfer removes a payload that nobody waits for any more.
void removeTransfer(link_pacer &pacer, std::uint64_t ticket);

// takeChunk returns the chunk to send now, and counts it as sent; empty if the rate allows none yet. Transfers for
// which `canAccept` returns false, because their connection has not taken the last chunk, are passed over.
std::optional<paced_chunk>
takeChunk(link_pacer &pacer, time_point now, const std::function<bool(std::uint64_t ticket)> &canAccept);

// untilNextChunk returns the time until `takeChunk` should be called again; empty if nothing waits.
std::optional<duration> untilNextChunk(const link_pacer &pacer, time_point now);

// removeUndeliverable removes the transfers that cannot be delivered before their deadline even if the link sends
// nothing but what precedes them, and returns their tickets. Their bytes would only delay others.
std::vector<std::uint64_t> removeUndeliverable(link_pacer &pacer, time_point now);

// drainBytesPerMs returns the rate that large payloads get beside the recent small frames; 0 if the link is not paced.
double drainBytesPerMs(const link_pacer &pacer, time_point now);

// queuedBytes returns the bytes of all transfers that are not sent yet.
std::uint64_t queuedBytes(const link_pacer &pacer);

} // namespace pistachioquay
