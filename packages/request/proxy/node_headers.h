// Headers that nodes exchange, and the responses that a node makes itself. Private to the proxy.
//
//   const call_context context = readContext(head.headers);
//   return nodeError(503, node_outcome::NotRun, "draining", "this node leaves", "send the request to another node");
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/work_class.h"
#include "connection/http/message.h"

namespace pistachioquay::internal {

inline constexpr std::string_view requestIdHeader = "X-Pq-Request-Id";
inline constexpr std::string_view deadlineHeader = "X-Pq-Deadline-Ms";
inline constexpr std::string_view classHeader = "X-Pq-Class";
inline constexpr std::string_view idempotentHeader = "X-Pq-Idempotent";
inline constexpr std::string_view attemptCountHeader = "X-Pq-Attempt";
inline constexpr std::string_view depthHeader = "X-Pq-Depth";
inline constexpr std::string_view serviceHeader = "X-Pq-Service";
inline constexpr std::string_view versionHeader = "X-Pq-Version";
inline constexpr std::string_view runningHeader = "X-Pq-Running";
inline constexpr std::string_view waitingHeader = "X-Pq-Waiting";
inline constexpr std::string_view outcomeHeader = "X-Pq-Outcome";
// Set by a worker's node that knows from the claims of the log that no request with the key has run.
inline constexpr std::string_view keyOutcomeHeader = "X-Pq-Key-Outcome";
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view reasonHeader = "X-Pq-Reason"; // kind of the error, between nodes

// Values of X-Pq-Reason that concern the request and not the worker.
inline constexpr std::string_view quarantinedReason = "quarantined";
inline constexpr std::string_view besideSuspectReason = "suspect-beside";

inline constexpr std::size_t replayBytes = 64UL * 1024; // bodies up to this size are held for another try

// What the node knows about a request that it responds to itself.
enum class node_outcome
{
    NotRun,
    Unknown,
};

// outcomeName returns the value of `X-Pq-Outcome`. Thread safe.
std::string_view outcomeName(node_outcome outcome);

// What a request carries from hop to hop.
struct call_context
{
    std::string requestId;
    std::optional<milliseconds> timeLeft;
    std::optional<work_class> workClass;
    bool isIdempotent = false;
    std::uint32_t attempt = 0;
    std::uint32_t depth = 0;
    std::string service;
    std::string version;

    friend bool operator==(const call_context &, const call_context &) = default;
};

// readContext reads the headers of a request; what is absent or malformed keeps its default. A depth or an attempt that
// cannot be read counts as too high. Thread safe.
call_context readContext(const header_list &headers);

// writeContext adds the headers for the next hop. Not thread safe for one list.
void writeContext(const call_context &context, header_list &headers);

// forwardedHeaders returns the end-to-end headers without those that start with `X-Pq-`. Thread safe.
header_list forwardedHeaders(const header_list &headers);

// isWhollyHeld is true if a body is collected before the request is sent on, so that it can be sent again. Thread safe.
bool isWhollyHeld(const request_head &head);

// nodeError makes the JSON response of a node in place of the worker. Thread safe.
http_response nodeError(
    unsigned status, node_outcome outcome, std::string_view kind, std::string_view message, std::string_view remedy);

} // namespace pistachioquay::internal
