#include "connection/pacing/link_pacer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

constexpr double rateTimeConstantMs = 500.0; // time constant of the exponential decay of the rate of small frames
// Small frames lower the share of large ones, but never to less than this: otherwise they would stop.
constexpr double minPacedShare = 0.1;

double maxAllowance(const link_pacer &pacer)
{
    return pacer.bytesPerMs * static_cast<double>(maxLinkQueue.count());
}

double refillBytesPerMs(const link_pacer &pacer)
{
    return pacer.bytesPerMs * pacedShare;
}

double allowanceAt(const link_pacer &pacer, time_point now)
{
    const double refilled = pacer.allowance + msBetween(pacer.updatedAt, now) * refillBytesPerMs(pacer);
    return std::min(refilled, maxAllowance(pacer));
}

double unpacedRateAt(const link_pacer &pacer, time_point now)
{
    return pacer.unpacedBytesPerMs * std::exp(-msBetween(pacer.updatedAt, now) / rateTimeConstantMs);
}

void advance(link_pacer &pacer, time_point now)
{
    pacer.allowance = allowanceAt(pacer, now);
    pacer.unpacedBytesPerMs = unpacedRateAt(pacer, now);
    pacer.updatedAt = now;
}

// Sort key: the smallest is sent first.
auto sendOrder(const paced_transfer &transfer, time_point now)
{
    return std::tuple(transfer.kind, transfer.targetAt < now, transfer.targetAt, transfer.ticket);
}

double nextChunkBytes(const link_pacer &pacer)
{
    const auto smallest = std::ranges::min_element(pacer.transfers, {}, &paced_transfer::bytes);
    return std::min(static_cast<double>(smallest->bytes), static_cast<double>(chunkBytes(pacer)));
}

} // namespace

bool isPaced(const link_pacer &pacer)
{
    return pacer.bytesPerMs > 0 && maxAllowance(pacer) < usualBodyBytes;
}

std::size_t chunkBytes(const link_pacer &pacer)
{
    const auto bytes = static_cast<std::size_t>(pacer.bytesPerMs * static_cast<double>(chunkTime.count()));
    return std::clamp(bytes, minChunkBytes, maxChunkBytes);
}

void recordUnpaced(link_pacer &pacer, std::size_t bytes, time_point now)
{
    advance(pacer, now);
    pacer.unpacedBytesPerMs += static_cast<double>(bytes) / rateTimeConstantMs;
    // A long burst of small frames must not stop large ones for longer than the link needs to send a full queue.
    pacer.allowance = std::max(pacer.allowance - static_cast<double>(bytes), -maxAllowance(pacer));
}

void addTransfer(link_pacer &pacer, const paced_transfer &transfer, time_point now)
{
    advance(pacer, now);
    pacer.transfers.push_back(transfer);
}

void removeTransfer(link_pacer &pacer, std::uint64_t ticket)
{
    std::erase_if(pacer.transfers, [&](const paced_transfer &transfer) {
        return transfer.ticket == ticket;
    });
}

std::optional<paced_chunk>
takeChunk(link_pacer &pacer, time_point now, const std::function<bool(std::uint64_t ticket)> &canAccept)
{
    advance(pacer, now);
    auto best = pacer.transfers.end();
    for (auto each = pacer.transfers.begin(); each != pacer.transfers.end(); ++each) {
        const bool isEarlier = best == pacer.transfers.end() || sendOrder(*each, now) < sendOrder(*best, now);
        if (isEarlier && canAccept(each->ticket)) {
            best = each;
        }
    }
    if (best == pacer.transfers.end()) {
        return std::nullopt;
    }
    const std::uint64_t bytes = std::min<std::uint64_t>(best->bytes, chunkBytes(pacer));
    // A slow link may hold less than the smallest chunk within `maxLinkQueue`.
    if (pacer.allowance < std::min(static_cast<double>(bytes), maxAllowance(pacer))) {
        return std::nullopt;
    }
    pacer.allowance -= static_cast<double>(bytes);
    best->bytes -= bytes;
    const paced_chunk chunk{best->ticket, static_cast<std::size_t>(bytes), best->bytes == 0};
    if (chunk.isLast) {
        pacer.transfers.erase(best);
    }
    return chunk;
}

std::optional<duration> untilNextChunk(const link_pacer &pacer, time_point now)
{
    if (pacer.transfers.empty()) {
        return std::nullopt;
    }
    const double wanted = std::min(nextChunkBytes(pacer), maxAllowance(pacer));
    const double missing = std::max(0.0, wanted - allowanceAt(pacer, now));
    // The next chunk may be larger than the smallest one, or its connection may not accept it yet.
    return std::max<duration>(fromMs(missing / refillBytesPerMs(pacer)), chunkTime);
}

std::vector<std::uint64_t> removeUndeliverable(link_pacer &pacer, time_point now)
{
    std::ranges::sort(pacer.transfers, {}, [&](const paced_transfer &transfer) {
        return sendOrder(transfer, now);
    });
    std::vector<std::uint64_t> removed;
    double bytesBefore = 0;
    std::erase_if(pacer.transfers, [&](const paced_transfer &transfer) {
        const double bytesUntil = bytesBefore + static_cast<double>(transfer.bytes);
        const double room = std::max(0.0, allowanceAt(pacer, now));
        const time_point deliveredAt = now + fromMs(std::max(0.0, bytesUntil - room) / refillBytesPerMs(pacer));
        if (deliveredAt > transfer.deadline) {
            removed.push_back(transfer.ticket);
            return true;
        }
        bytesBefore = bytesUntil;
        return false;
    });
    return removed;
}

double drainBytesPerMs(const link_pacer &pacer, time_point now)
{
    return isPaced(pacer)
        ? std::max(refillBytesPerMs(pacer) - unpacedRateAt(pacer, now), pacer.bytesPerMs * minPacedShare)
        : 0.0;
}

std::uint64_t queuedBytes(const link_pacer &pacer)
{
    return std::accumulate(pacer.transfers.begin(),
                           pacer.transfers.end(),
                           std::uint64_t{0},
                           [](std::uint64_t sum, const paced_transfer &transfer) {
                               return sum + transfer.bytes;
                           });
}

} // namespace pistachioquay
