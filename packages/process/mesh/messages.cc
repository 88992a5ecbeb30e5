#include "process/mesh/messages.h"

#include <algorithm>

namespace pistachioquay {

std::string_view replyName(reply_kind kind)
{
    switch (kind) {
    case reply_kind::Response:
        return "response";
    case reply_kind::NotRun:
        return "not-run";
    case reply_kind::RejectedByWorker:
        return "rejected-by-worker";
    case reply_kind::Unknown:
        return "unknown";
    }
    return "unknown";
}

call_message bounded(call_message message)
{
    constexpr std::int64_t maxLeftMs = 24LL * 3600 * 1000;
    message.targetLeftMs = std::clamp(message.targetLeftMs, -maxLeftMs, maxLeftMs);
    message.timeLeftMs = std::clamp<std::int64_t>(message.timeLeftMs, 1, maxLeftMs);
    message.typicalRunMs = std::clamp<std::int64_t>(message.typicalRunMs, 0, maxLeftMs);
    message.longestWaitMs = std::clamp<std::int64_t>(message.longestWaitMs, 0, maxLeftMs);
    message.repeatShare = message.repeatShare > 0 ? std::min(message.repeatShare, 1.0) : 0.0; // also if not a number
    return message;
}

call_reply makeNotRunReply(const std::string &id, std::string_view reason)
{
    call_reply reply;
    reply.id = id;
    reply.kind = reply_kind::NotRun;
    reply.reason = std::string(reason);
    return reply;
}

bool isFinal(const call_reply &reply)
{
    return reply.kind == reply_kind::Response && reply.response.status < 500;
}

} // namespace pistachioquay
