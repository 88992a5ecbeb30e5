#include "process/mesh/link_admission.h"

namespace pistachioquay::internal {

std::optional<call_reply> refuseForLink(
    mesh_context &context, const call_message &message, const queued_request &request, double waitMs, time_point now)
{
    const link_state link = linkState(context, now);
    const booking_request wanted{message.id,
                                 message.route,
                                 waitMs,
                                 request.expectedRunMs,
                                 request.targetAt,
                                 request.requestDeadline};
    const booking_decision decision = book(context.linkBookings, wanted, link, now);
    if (decision.isBooked) {
        return std::nullopt;
    }
    call_reply reply = makeNotRunReply(message.id, linkBookedReason);
    reply.retryAfterMs = decision.retryAfterMs;
    context.metrics.count("inbound_refused_total{reason=\"" + reply.reason + "\"}");
    context.log(log_line("inbound", "refused")
                    .add("id", message.id)
                    .add("route", message.route)
                    .add("reason", reply.reason)
                    .add("transfer_ms", decision.transferMs)
                    .add("queued_bytes", link.queuedBytes)
                    .add("booked_bytes", context.linkBookings.bookedBytes)
                    .add("drain_bytes_per_ms", link.drainBytesPerMs)
                    .add("target_left_ms", message.targetLeftMs)
                    .add("retry_after_ms", reply.retryAfterMs));
    return reply;
}

} // namespace pistachioquay::internal
