#include "process/mesh/paced_sender.h"

#include <vector>

#include "connection/pacing/part_assembly.h"

namespace pistachioquay::internal {

namespace {

constexpr std::size_t heldMemoryDivisor = 8; // share of the memory for frames that wait to be sent

std::string_view className(transfer_class kind)
{
    return kind == transfer_class::Configuration ? "configuration" : "body";
}

} // namespace

paced_sender::paced_sender(mesh_context &context)
    : m_context(context)
    , m_timer(context.executor)
{
}

std::uint64_t
paced_sender::send(const std::shared_ptr<frame_link> &link, frame_kind kind, std::string payload, transfer_terms terms)
{
    const time_point now = steadyNow();
    const auto end = [&terms](transfer_end how) {
        if (terms.onEnd) {
            terms.onEnd(how);
        }
        return std::uint64_t{0};
    };
    if (!link->isOpen()) {
        return end(transfer_end::Closed);
    }
    if (payload.size() <= largeFrameBytes || !isPaced(m_context.pacer)) {
        const std::string_view name = payload.size() <= largeFrameBytes ? "small" : className(terms.kind);
        m_context.linkMeter.recordBytes(0, payload.size(), now);
        m_context.metrics.counters["link_sent_bytes_total{class=\"" + std::string(name) + "\"}"] += payload.size();
        recordUnpaced(m_context.pacer, payload.size(), now);
        link->send(static_cast<std::uint8_t>(kind), payload);
        return end(transfer_end::Sent);
    }
    if (m_heldBytes + payload.size() > m_context.options.memoryBytes / heldMemoryDivisor) {
        m_context.metrics.count("link_dropped_total{reason=\"memory\"}");
        return end(transfer_end::Undeliverable);
    }
    const std::uint64_t ticket = ++m_lastTicket;
    addTransfer(m_context.pacer, {ticket, terms.kind, payload.size(), terms.targetAt, terms.deadline}, now);
    m_context.metrics.counters["link_sent_bytes_total{class=\"" + std::string(className(terms.kind)) + "\"}"] +=
        payload.size();
    m_heldBytes += payload.size();
    m_transfers[ticket] = {link, kind, std::move(payload), 0, std::move(terms.onEnd)};
    if (!m_isTimerSet) {
        sendDue();
    }
    return m_transfers.contains(ticket) ? ticket : 0;
}

void paced_sender::cancel(std::uint64_t ticket)
{
    const auto found = m_transfers.find(ticket);
    if (found != m_transfers.end()) {
        found->second.onEnd = nullptr;
        abort(ticket, transfer_end::Undeliverable);
    }
}

// Removes a transfer before its end. The receiver frees what it has of it.
void paced_sender::abort(std::uint64_t ticket, transfer_end end)
{
    const auto found = m_transfers.find(ticket);
    if (found == m_transfers.end()) {
        return;
    }
    removeTransfer(m_context.pacer, ticket);
    const open_transfer transfer = std::move(found->second);
    m_transfers.erase(found);
    m_heldBytes -= transfer.payload.size();
    if (transfer.sentBytes > 0) {
        const frame_part part{ticket, static_cast<std::uint8_t>(transfer.kind), transfer.payload.size(), true, {}};
        transfer.link->send(static_cast<std::uint8_t>(frame_kind::Part), encodeMessage(part, meshFormatVersion));
    }
    if (transfer.onEnd) {
        transfer.onEnd(end);
    }
}

void paced_sender::sendPart(std::uint64_t ticket, std::size_t bytes)
{
    open_transfer &transfer = m_transfers.at(ticket);
    const frame_part part{ticket,
                          static_cast<std::uint8_t>(transfer.kind),
                          transfer.payload.size(),
                          false,
                          transfer.payload.substr(transfer.sentBytes, bytes)};
    m_context.linkMeter.recordBytes(0, bytes, steadyNow());
    transfer.sentBytes += bytes;
    transfer.link->send(static_cast<std::uint8_t>(frame_kind::Part), encodeMessage(part, meshFormatVersion));
}

void paced_sender::sendDue()
{
    std::vector<std::uint64_t> closed;
    for (const auto &[ticket, transfer] : m_transfers) {
        if (!transfer.link->isOpen()) {
            closed.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : closed) {
        abort(ticket, transfer_end::Closed);
    }
    const time_point now = steadyNow();
    for (const std::uint64_t ticket : removeUndeliverable(m_context.pacer, now)) {
        m_context.metrics.count("link_dropped_total{reason=\"deadline\"}");
        abort(ticket, transfer_end::Undeliverable);
    }
    // A link that has not taken its last part yet gets no further one: small frames would wait behind them there.
    const auto canAccept = [this](std::uint64_t ticket) {
        const auto found = m_transfers.find(ticket);
        return found != m_transfers.end() && found->second.link->isOpen() && found->second.link->queuedBytes() == 0;
    };
    while (const auto chunk = takeChunk(m_context.pacer, now, canAccept)) {
        sendPart(chunk->ticket, chunk->bytes);
        if (chunk->isLast) {
            const auto found = m_transfers.find(chunk->ticket);
            const open_transfer sent = std::move(found->second);
            m_transfers.erase(found);
            m_heldBytes -= sent.payload.size();
            if (sent.onEnd) {
                sent.onEnd(transfer_end::Sent);
            }
        }
    }
    scheduleNext();
}

void paced_sender::scheduleNext()
{
    const auto pause = untilNextChunk(m_context.pacer, steadyNow());
    m_isTimerSet = pause.has_value();
    if (!pause) {
        return;
    }
    m_timer.expires_after(*pause);
    m_timer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            sendDue();
        }
    });
}

} // namespace pistachioquay::internal
