#include "process/mesh/peer_links.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachioquay::internal {

using tcp = net::ip::tcp;

namespace {

constexpr milliseconds connectTimeout{600};
constexpr milliseconds reserveTimeout{400}; // longest wait for the answer to a reservation request
constexpr milliseconds pingAfter{200}; // without received bytes while a reply is due
constexpr milliseconds suspectAfter{200}; // without an answer to a ping: the node gets no new calls
constexpr milliseconds silentAfter{1000}; // without received bytes while a reply is due: the link is closed
constexpr milliseconds configReplyTimeout{600}; // longest wait for the first bytes of a configuration
constexpr seconds maxLinkIdle{30}; // an unused link is closed after this time

std::uint8_t frameCode(frame_kind kind)
{
    return static_cast<std::uint8_t>(kind);
}

template<class Message>
std::string encode(const Message &message)
{
    return encodeMessage(message, meshFormatVersion);
}

} // namespace

std::string_view endName(peer_end end)
{
    switch (end) {
    case peer_end::Replied:
        return "replied";
    case peer_end::NotSent:
        return "not-sent";
    case peer_end::Undelivered:
        return "undelivered";
    case peer_end::LinkLost:
        return "link-lost";
    case peer_end::TimedOut:
        return "timed-out";
    case peer_end::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

peer_links::peer_links(mesh_context &context, peer_events events)
    : m_context(context)
    , m_events(std::move(events))
    , m_acceptor(context.executor)
    , m_sender(context)
{
}

peer_links::~peer_links() = default;

result<void> peer_links::listen()
{
    boost::system::error_code failure;
    const auto address = net::ip::make_address(m_context.options.peers.ip, failure);
    if (!failure) {
        m_acceptor.open(tcp::v4(), failure);
    }
    if (!failure) {
        m_acceptor.set_option(net::socket_base::reuse_address(true), failure);
    }
    if (!failure) {
        m_acceptor.bind(tcp::endpoint(address, m_context.options.peers.port), failure);
    }
    if (!failure) {
        m_acceptor.listen(net::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return fail(error_kind::Unavailable,
                    "cannot listen on " + toText(m_context.options.peers) + ": " + failure.message(),
                    "choose a free address of this VM for the links of other nodes");
    }
    spawnDuty(
        m_context.executor,
        "accept-links",
        [this] {
            return acceptLoop();
        },
        failureReporter(m_context));
    return {};
}

awaitable<void> peer_links::acceptLoop()
{
    for (;;) {
        auto [failure, socket] = co_await m_acceptor.async_accept(awaitResult);
        if (failure == net::error::operation_aborted) {
            co_return;
        }
        if (failure) {
            net::steady_timer pause(m_context.executor, milliseconds(50));
            co_await pause.async_wait(awaitResult);
            continue;
        }
        link_handlers handlers;
        handlers.onFrame = [this](frame_link &link, std::uint8_t kind, std::string_view payload) {
            m_context.linkMeter.recordBytes(payload.size(), 0, steadyNow());
            serveFrame(link, kind, payload);
        };
        handlers.onClosed = [this](frame_link &link, std::string_view) {
            const auto found = m_incoming.find(&link);
            if (found == m_incoming.end()) {
                return;
            }
            const incoming_link lost = std::move(found->second);
            m_incoming.erase(found);
            for (const auto &[id, call] : lost.calls) {
                if (call.isRetryable) {
                    call.cancellation->cancel();
                }
            }
        };
        const auto link = frame_link::make(std::move(socket), std::move(handlers));
        m_incoming[link.get()].link = link;
    }
}

void peer_links::serveFrame(frame_link &link, std::uint8_t kind, std::string_view payload)
{
    const auto found = m_incoming.find(&link);
    if (found == m_incoming.end()) {
        return;
    }
    if (kind == frameCode(frame_kind::Part)) {
        if (auto whole = addReceivedPart(found->second.parts, link, payload)) {
            serveFrame(link, whole->kind, whole->payload);
        }
        return;
    }
    if (kind == frameCode(frame_kind::Call)) {
        serveCall(link, payload);
    } else if (kind == frameCode(frame_kind::Reserve)) {
        const auto request = attempt([&] {
            return decodeMessage<reservation_message>(payload, meshFormatVersion, m_decodeCounters);
        });
        if (request) {
            const time_point now = steadyNow();
            const bool isGranted = reserveMemory(m_context.bodyMemory, request->id, request->bytes, now)
                && reserveBandwidth(m_context.linkReservations, request->id, request->bytes, now);
            if (!isGranted) {
                releaseMemory(m_context.bodyMemory, request->id);
                m_context.metrics.count("reservations_denied_total");
            }
            link.send(frameCode(frame_kind::Reserved),
                      encode(reservation_message{request->id, request->bytes, isGranted}));
        }
    } else if (kind == frameCode(frame_kind::Ping)) {
        link.send(frameCode(frame_kind::Pong), {});
    } else if (kind == frameCode(frame_kind::ConfigRequest)) {
        const auto request = attempt([&] {
            return decodeMessage<config_request>(payload, meshFormatVersion, m_decodeCounters);
        });
        if (request) {
            const time_point now = steadyNow();
            transfer_terms terms;
            terms.kind = transfer_class::Configuration;
            terms.targetAt = now + m_context.options.configApplyLimit;
            m_sender.send(link.shared_from_this(),
                          frame_kind::Config,
                          encode(m_events.onConfigRequest(*request)),
                          std::move(terms));
        }
    } else if (kind == frameCode(frame_kind::Cancel)) {
        const auto message = attempt([&] {
            return decodeMessage<cancel_message>(payload, meshFormatVersion, m_decodeCounters);
        });
        if (!message) {
            link.close("malformed frame");
            return;
        }
        const auto call = found->second.calls.find(message->id);
        if (call != found->second.calls.end()) {
            call->second.cancellation->cancel();
        }
        const auto reply = found->second.replies.find(message->id);
        if (reply != found->second.replies.end()) {
            m_sender.cancel(reply->second);
            found->second.replies.erase(reply);
        }
    }
}

void peer_links::serveCall(frame_link &link, std::string_view payload)
{
    auto message = attempt([&] {
        return decodeMessage<call_message>(payload, meshFormatVersion, m_decodeCounters);
    });
    if (!message) {
        m_context.log(log_line("peer", "garbled-call").add("error", message.failure().message));
        link.close("malformed frame");
        return;
    }
    releaseBandwidth(m_context.linkReservations, message->id);
    if (isLarge(message->request.body.size())) {
        holdMemory(m_context.bodyMemory, message->id, message->request.body.size());
    }
    *message = bounded(std::move(*message));
    message->hasCrossedLink = true;
    const auto cancellation = std::make_shared<cancellation_token>();
    m_incoming[&link].calls[message->id] = {cancellation, message->repeat == retry_policy::Retryable};
    net::co_spawn(
        m_context.executor,
        [this, cancellation, incoming = link.shared_from_this(), call = std::move(*message)]() mutable
        -> awaitable<void> {
            const std::string id = call.id;
            transfer_terms terms;
            terms.targetAt = steadyNow() + milliseconds(call.targetLeftMs);
            terms.deadline = steadyNow() + milliseconds(call.timeLeftMs);
            const call_reply reply = co_await m_events.onCall(std::move(call), cancellation);
            releaseMemory(m_context.bodyMemory, id);
            const auto found = m_incoming.find(incoming.get());
            if (found != m_incoming.end()) {
                found->second.calls.erase(id);
            }
            if (incoming->isOpen()) {
                sendReply(incoming, reply, std::move(terms));
            }
        },
        net::detached);
}

void peer_links::sendReply(const std::shared_ptr<frame_link> &link, const call_reply &reply, transfer_terms terms)
{
    terms.onEnd = [this, raw = link.get(), link = std::weak_ptr(link), id = reply.id](transfer_end end) {
        if (const auto found = m_incoming.find(raw); found != m_incoming.end()) {
            found->second.replies.erase(id);
        }
        const auto open = link.lock();
        if (end == transfer_end::Undeliverable && open) {
            // The request has run, but its response does not arrive in time: the caller learns this now.
            call_reply undelivered;
            undelivered.id = id;
            undelivered.reason = "response-undelivered";
            open->send(frameCode(frame_kind::Reply), encode(undelivered));
        }
    };
    const std::uint64_t ticket = m_sender.send(link, frame_kind::Reply, encode(reply), std::move(terms));
    const auto found = m_incoming.find(link.get());
    if (ticket != 0 && found != m_incoming.end()) {
        found->second.replies[reply.id] = ticket;
    }
}

std::optional<assembled_frame>
peer_links::addReceivedPart(part_assembly &parts, frame_link &link, std::string_view payload)
{
    const auto part = attempt([&] {
        return decodeMessage<frame_part>(payload, meshFormatVersion, m_decodeCounters);
    });
    assembled_frame frame{assembly_state::Invalid, 0, {}};
    if (part && part->kind != frameCode(frame_kind::Part)) {
        frame = addPart(parts, *part, maxFrameBytes);
    }
    if (frame.state == assembly_state::Invalid) {
        link.close("malformed frame");
    }
    return frame.state == assembly_state::Complete ? std::optional(std::move(frame)) : std::nullopt;
}

awaitable<std::shared_ptr<frame_link>> peer_links::linkTo(link_key key)
{
    {
        outgoing_link &state = m_outgoing[key];
        state.lastUsed = steadyNow();
        if (state.link && state.link->isOpen()) {
            co_return state.link;
        }
        if (state.isConnecting) {
            const auto waiter = std::make_shared<async_event>(m_context.executor);
            state.waiters.push_back(waiter);
            co_await waiter->waitUntil(steadyNow() + connectTimeout);
            const outgoing_link &after = m_outgoing[key];
            co_return after.link &&after.link->isOpen() ? after.link : nullptr;
        }
        state.isConnecting = true;
    }
    link_handlers handlers;
    handlers.onFrame = [this, key](frame_link &link, std::uint8_t kind, std::string_view payload) {
        m_context.linkMeter.recordBytes(payload.size(), 0, steadyNow());
        onFrame(key, link, kind, payload);
    };
    handlers.onClosed = [this, key](frame_link &, std::string_view reason) {
        onClosed(key, reason);
    };
    auto link = co_await connectLink(m_context.executor, key.first, connectTimeout, std::move(handlers));
    outgoing_link &state = m_outgoing[key];
    state.isConnecting = false;
    state.link = link;
    for (const auto &waiter : std::exchange(state.waiters, {})) {
        waiter->notify();
    }
    m_context.log(log_line("peer", link ? "link-opened" : "link-failed").add("peer", toText(key.first)));
    if (!link) {
        m_events.onSilent(key.first);
    }
    co_return link;
}

void peer_links::onFrame(const link_key &key, frame_link &link, std::uint8_t kind, std::string_view payload)
{
    if (kind == frameCode(frame_kind::Part)) {
        if (auto whole = addReceivedPart(m_outgoing[key].parts, link, payload)) {
            onFrame(key, link, whole->kind, whole->payload);
        }
        return;
    }
    if (kind == frameCode(frame_kind::Reply)) {
        auto reply = attempt([&] {
            return decodeMessage<call_reply>(payload, meshFormatVersion, m_decodeCounters);
        });
        if (!reply) {
            link.close("malformed frame");
            return;
        }
        outgoing_link &state = m_outgoing[key];
        const auto call = state.calls.find(reply->id);
        if (call != state.calls.end()) {
            call->second->reply = std::move(*reply);
            call->second->done.notify();
        }
    } else if (kind == frameCode(frame_kind::Reserved)) {
        const auto message = attempt([&] {
            return decodeMessage<reservation_message>(payload, meshFormatVersion, m_decodeCounters);
        });
        outgoing_link &state = m_outgoing[key];
        const auto call = message ? state.calls.find(message->id) : state.calls.end();
        if (call != state.calls.end()) {
            call->second->isGranted = message->isGranted;
            call->second->done.notify();
        }
    } else if (kind == frameCode(frame_kind::Config)) {
        const auto message = attempt([&] {
            return decodeMessage<config_message>(payload, meshFormatVersion, m_decodeCounters);
        });
        if (message) {
            m_events.onConfig(*message);
        }
    }
}

void peer_links::onClosed(const link_key &key, std::string_view reason)
{
    outgoing_link &state = m_outgoing[key];
    m_context.log(log_line("peer", "link-lost")
                      .add("peer", toText(key.first))
                      .add("reason", reason)
                      .add("open_calls", state.calls.size()));
    state.parts = {};
    failPendingCalls(state);
}

void peer_links::failPendingCalls(outgoing_link &state)
{
    for (const auto &[id, call] : state.calls) {
        call->isLost = true;
        call->done.notify();
    }
}

awaitable<peer_result>
peer_links::call(endpoint target, const call_message &message, time_point deadline, cancellation_token &cancellation)
{
    peer_result result;
    const link_key key{target, purposeOf(message)};
    const std::shared_ptr<frame_link> link = co_await linkTo(key);
    if (!link || cancellation.isCancelled()) {
        result.end = link ? peer_end::Cancelled : peer_end::NotSent;
        co_return result;
    }
    const auto pending = std::make_shared<pending_call>(m_context.executor);
    m_outgoing[key].calls[message.id] = pending;
    transfer_terms terms;
    terms.targetAt = steadyNow() + milliseconds(message.targetLeftMs);
    terms.deadline = deadline;
    terms.onEnd = [pending](transfer_end end) {
        pending->isUndelivered = end == transfer_end::Undeliverable;
        if (pending->isUndelivered) {
            pending->done.notify();
        }
    };
    const std::uint64_t ticket = m_sender.send(link, frame_kind::Call, encode(message), std::move(terms));
    cancellation.onCancel([pending] {
        pending->done.notify();
    });
    co_await pending->done.waitUntil(deadline);
    cancellation.onCancel(nullptr);
    m_outgoing[key].calls.erase(message.id);
    m_outgoing[key].lastUsed = steadyNow();
    if (pending->reply) {
        result.end = peer_end::Replied;
        result.reply = std::move(*pending->reply);
        co_return result;
    }
    if (pending->isLost) {
        result.end = peer_end::LinkLost;
        co_return result;
    }
    m_sender.cancel(ticket);
    if (pending->isUndelivered) {
        result.end = peer_end::Undelivered;
        co_return result;
    }
    link->send(frameCode(frame_kind::Cancel), encode(cancel_message{message.id}));
    result.end = cancellation.isCancelled() ? peer_end::Cancelled : peer_end::TimedOut;
    co_return result;
}

bool peer_links::isLarge(std::size_t bytes)
{
    return bytes > largeFrameBytes;
}

// Calls with large responses use the link of the bodies, because a reply returns on the link of its call.
peer_links::link_purpose peer_links::purposeOf(const call_message &message) const
{
    const auto mean = m_context.placement.responseBytes.find(message.route);
    const bool isLargeResponse = isPaced(m_context.pacer) && mean != m_context.placement.responseBytes.end()
        && mean->second > static_cast<double>(largeFrameBytes);
    const bool isLargeBody = isLarge(message.request.body.size());
    return isLargeBody || isLargeResponse ? link_purpose::Bodies : link_purpose::Requests;
}

awaitable<peer_end>
peer_links::reserve(endpoint target, const std::string &id, std::size_t bytes, cancellation_token &cancellation)
{
    const link_key key{target, link_purpose::Requests};
    const std::shared_ptr<frame_link> link = co_await linkTo(key);
    if (!link || cancellation.isCancelled()) {
        co_return link ? peer_end::Cancelled : peer_end::TimedOut;
    }
    const auto pending = std::make_shared<pending_call>(m_context.executor);
    m_outgoing[key].calls[id] = pending;
    link->send(frameCode(frame_kind::Reserve), encode(reservation_message{id, bytes, false}));
    cancellation.onCancel([pending] {
        pending->done.notify();
    });
    co_await pending->done.waitUntil(steadyNow() + reserveTimeout);
    cancellation.onCancel(nullptr);
    m_outgoing[key].calls.erase(id);
    if (cancellation.isCancelled()) {
        co_return peer_end::Cancelled;
    }
    if (!pending->isGranted) {
        co_return pending->isLost ? peer_end::LinkLost : peer_end::TimedOut;
    }
    co_return *pending->isGranted ? peer_end::Replied : peer_end::NotSent;
}

awaitable<void> peer_links::requestConfig(endpoint target, std::uint64_t haveVersion)
{
    if (const std::shared_ptr<frame_link> link = co_await linkTo({target, link_purpose::Configurations})) {
        const time_point sentAt = steadyNow();
        link->send(frameCode(frame_kind::ConfigRequest), encode(config_request{haveVersion}));
        net::steady_timer replyTimer(m_context.executor, configReplyTimeout);
        co_await replyTimer.async_wait(awaitResult);
        // The links of a node that lost power stay open without an error; the next request must not use this one.
        if (link->isOpen() && link->lastProgress() < sentAt) {
            m_events.onSilent(target);
            link->close("no answer to a configuration request");
        }
    }
}

void peer_links::checkLiveness(time_point now)
{
    std::vector<std::pair<endpoint, std::shared_ptr<frame_link>>> silent;
    std::vector<std::shared_ptr<frame_link>> idle;
    std::vector<endpoint> suspects;
    for (auto &[key, state] : m_outgoing) {
        if (!state.link || !state.link->isOpen()) {
            continue;
        }
        const duration silentFor = now - state.link->lastProgress();
        if (state.calls.empty()) {
            if (now - state.lastUsed > maxLinkIdle) {
                idle.push_back(state.link);
            }
            continue;
        }
        // A link counts as silent only after the node had time to answer a ping.
        const bool wasPinged = state.lastPing > state.link->lastProgress();
        if (wasPinged && now - state.lastPing > silentAfter - pingAfter && silentFor > silentAfter) {
            silent.emplace_back(key.first, state.link);
        } else if (wasPinged && now - state.lastPing > suspectAfter) {
            suspects.push_back(key.first);
        } else if (silentFor > pingAfter && !wasPinged) {
            state.lastPing = now;
            state.link->send(frameCode(frame_kind::Ping), {});
        }
    }
    std::ranges::for_each(suspects, m_events.onSuspect);
    for (const auto &[address, link] : silent) {
        m_events.onSilent(address);
        link->close("silent");
    }
    std::ranges::for_each(idle, [](const auto &link) {
        link->close("idle");
    });
}

void peer_links::stop()
{
    boost::system::error_code ignored; // the acceptor is closed even if this reports an error
    m_acceptor.close(ignored);
    std::vector<std::shared_ptr<frame_link>> links;
    for (const auto &[raw, state] : m_incoming) {
        links.push_back(state.link);
    }
    std::ranges::for_each(links, [](const auto &link) {
        link->closeAfterFlush();
    });
}

} // namespace pistachioquay::internal
