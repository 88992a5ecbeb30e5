// The part of `outbound_handler` that sends one attempt to a node.
#include "process/mesh/outbound.h"

#include <algorithm>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds replySlack{150}; // wait after the deadline for the reply of the worker's node
constexpr std::int64_t linkFullRetryMs = 150; // Retry-After while the receiver's link is reserved by other uploads
constexpr milliseconds retransmitInterval{100}; // pause between attempts to reach the node again
constexpr milliseconds retransmitWindow{1500}; // then the outcome of the request is reported as unknown

} // namespace

awaitable<call_reply> outbound_handler::sendAttempt(const request_attempt &attempt)
{
    if (attempt.nodeId == m_context.options.nodeId) {
        co_return co_await m_inbound.handleCall(attempt.message, attempt.cancellation);
    }
    const auto found = m_context.fleet.nodes.find(attempt.nodeId);
    if (found == m_context.fleet.nodes.end()) {
        call_reply gone;
        gone.kind = reply_kind::NotRun;
        gone.reason = "unreachable";
        co_return gone;
    }
    const known_node node = found->second;
    co_return co_await sendRemote(attempt, node);
}

awaitable<call_reply> outbound_handler::sendRemote(const request_attempt &attempt, const known_node &node)
{
    const call_message &message = attempt.message;
    const endpoint target = node.record.peer;
    if (peer_links::isLarge(message.request.body.size())) {
        const peer_end reservation =
            co_await m_links.reserve(target, message.id, message.request.body.size(), *attempt.cancellation);
        if (reservation != peer_end::Replied) {
            call_reply refused;
            refused.id = message.id;
            refused.kind = reply_kind::NotRun;
            refused.reason =
                reservation == peer_end::LinkLost || reservation == peer_end::TimedOut ? "unreachable" : "link-full";
            refused.retryAfterMs = linkFullRetryMs;
            co_return refused;
        }
    }
    peer_result result =
        co_await m_links.call(target, message, attempt.requestDeadline + replySlack, *attempt.cancellation);
    call_reply reply;
    reply.id = message.id;
    switch (result.end) {
    case peer_end::Replied:
        co_return std::move(result.reply);
    case peer_end::NotSent:
        reply.kind = reply_kind::NotRun;
        reply.reason = "unreachable";
        co_return reply;
    case peer_end::LinkLost:
        if (message.repeat == retry_policy::AtMostOnce) {
            co_return co_await retransmit(attempt, target);
        }
        reply.reason = "link-lost";
        co_return reply;
    case peer_end::Undelivered:
        reply.kind = reply_kind::NotRun;
        reply.reason = "link-full";
        reply.retryAfterMs = linkFullRetryMs;
        co_return reply;
    case peer_end::TimedOut:
        reply.reason = "timed-out";
        co_return reply;
    case peer_end::Cancelled:
        reply.reason = "cancelled";
        co_return reply;
    }
    co_return reply;
}

// Resends a request that must run at most once to the same process of the same node, which detects whether it has
// already received it.
awaitable<call_reply> outbound_handler::retransmit(const request_attempt &attempt, const endpoint &target)
{
    call_message message = attempt.message;
    message.isRetransmission = true;
    call_reply reply;
    reply.id = message.id;
    reply.reason = "link-lost";
    const time_point until = std::min(attempt.requestDeadline, steadyNow() + retransmitWindow);
    while (steadyNow() < until && !attempt.cancellation->isCancelled()) {
        message.timeLeftMs = std::max<std::int64_t>(1, millisBetween(steadyNow(), attempt.requestDeadline));
        peer_result result =
            co_await m_links.call(target, message, attempt.requestDeadline + replySlack, *attempt.cancellation);
        if (result.end == peer_end::Replied) {
            co_return std::move(result.reply);
        }
        if (result.end == peer_end::TimedOut || result.end == peer_end::Cancelled) {
            break;
        }
        net::steady_timer pause(m_context.executor, retransmitInterval);
        co_await pause.async_wait(awaitResult);
    }
    co_return reply;
}

} // namespace pistachioquay::internal
