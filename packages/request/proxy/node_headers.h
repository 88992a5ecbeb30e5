// `X-Pq-` headers between nodes, and the error responses that a node generates itself. Private to the proxy.
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
// Set by the worker's node to `not-run` if the claims in the platform log show that no request with the key has run.
inline constexpr std::string_view keyOutcomeHeader = "X-Pq-Key-Outcome";
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view reasonHeader = "X-Pq-Reason"; // error kind, for the calling node

// Values of X-Pq-Reason that say nothing about the health of the worker.
inline constexpr std::string_view quarantinedReason = "quarantined";
inline constexpr std::string_view besideSuspectReason = "suspect-beside";

inline constexpr std::size_t maxBufferedBodyBytes = 64UL * 1024; // bodies up to this size are buffered for a retry

// Whether a request ran, in a response that the node generates itself.
enum class node_outcome
{
    NotRun, // the worker has not run it
    Unknown, // it may have run
};

// outcomeName returns the value of `X-Pq-Outcome`. Thread safe.
std::string_view outcomeName(node_outcome outcome);

// Metadata that a request carries from hop to hop in `X-Pq-` headers.
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

// readContext reads the metadata of a request. Absent or malformed headers leave the default, except that a malformed
// depth or attempt count is read as the maximum, so that it exceeds every limit. Thread safe.
call_context readContext(const header_list &headers);

// writeContext appends the metadata headers for the next hop. Not thread safe for one list.
void writeContext(const call_context &context, header_list &headers);

// forwardedHeaders returns the end-to-end headers except those that start with `X-Pq-`. Thread safe.
header_list forwardedHeaders(const header_list &headers);

// isBodyBuffered returns whether the whole body is buffered before the request is forwarded, so that it can be retried.
// Longer and chunked bodies are streamed. Thread safe.
bool isBodyBuffered(const request_head &head);

// nodeError returns a JSON error response that the node sends in place of a response of the worker. Thread safe.
http_response nodeError(
    unsigned status, node_outcome outcome, std::string_view kind, std::string_view message, std::string_view remedy);

} // namespace pistachioquay::internal
