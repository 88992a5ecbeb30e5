// Pooled streaming HTTP/1.1 client over libcurl. A pool belongs to the process and keeps connections for each target. A
// call runs on the caller's thread, passes bodies through in pieces, and tells exactly how far it came.
//
//   client_pool pool({.maxPerTarget = 130});
//   http_call call(pool, {.target = address, .head = head, .deadline = steadyNow() + seconds(1)}, watch);
//   call.provideLast(body);
//   if (const response_head *head = call.awaitHead())
//       while (call.read(buffer).state == read_state::Data) ...
//   if (call.progress() == call_progress::NoConnection) ... // the target has seen nothing of the request
#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "base/clock.h"
#include "connection/http/caller_watch.h"
#include "connection/http/message.h"

namespace pistachioquay {

// How far a call came.
enum class call_progress
{
    NoConnection, // not one byte of the request was sent: it did not run
    SentNoResponse, // sent at least in part; nothing of a final response arrived: it may have run
    PartialResponse, // a response began and was not completed
    Complete, // the whole response arrived, checked by its length, its last chunk or, if accepted, a close without
              // reset
};

// Why a call ended without a whole response.
enum class call_failure
{
    None,
    Connection, // refused, reset, or closed before a response
    Truncated, // the response ended before its announced end
    Undelimited, // the response announces neither a length nor chunks, so its end cannot be checked
    Malformed, // HTTP/1.1 does not allow the head of the response, or its body has a transfer coding beside chunks
    DeadlinePassed,
    Stalled, // the target took no bytes of the body for the stall time
    Cancelled, // the caller is gone or the server stops
    TargetBusy, // the bound of connections to the target is reached
};

// failureName returns a short lower-case name for logs and messages. Thread safe.
std::string_view failureName(call_failure failure);

// A request to send.
struct client_request
{
    endpoint target;
    request_head head; // `bodyLength` as for the server: 0 for none, empty for chunked; `expectsContinue` asks first
    time_point deadline;
    milliseconds connectTimeout{1000};
    seconds stallTimeout{5};
    // Whether a response may announce neither a length nor chunks and end with its connection. Only for requests
    // without a body: the write of one can hide a reset from the read.
    bool acceptsUndelimited = false;
};

// Bounds of a pool.
struct client_options
{
    std::uint32_t maxPerTarget = 130; // connections in use and kept together
    seconds idleTimeout{15}; // shorter than servers keep a connection, so that this side closes first
    bool keepsConnections = true;
};

// Counters of a pool.
struct client_status
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::size_t idle = 0;
    std::size_t inUse = 0;

    friend bool operator==(const client_status &, const client_status &) = default;
};

namespace internal {
class connection; // one libcurl handle with at most one socket
} // namespace internal

// All functions are thread safe. A pool outlives its calls.
class client_pool
{
public:
    explicit client_pool(client_options options);
    client_pool(const client_pool &) = delete;
    client_pool &operator=(const client_pool &) = delete;
    ~client_pool();

    // dropTarget closes the kept connections to a target; those in use are closed after their call.
    void dropTarget(const endpoint &target);
    // closeIdle closes connections that were kept for longer than the idle timeout.
    void closeIdle(time_point now);
    // status returns the counters.
    client_status status() const;

private:
    friend class http_call;
    struct target_state
    {
        std::vector<std::unique_ptr<internal::connection>> idle; // most recently used last
        std::uint32_t inUse = 0;
        std::uint64_t generation = 0; // raised by `dropTarget`
    };
    std::unique_ptr<internal::connection> take(const endpoint &target);
    void giveBack(const endpoint &target, std::unique_ptr<internal::connection> used, bool isReusable);

    client_options m_options;
    mutable std::mutex m_mutex;
    std::map<endpoint, target_state> m_targets;
    client_status m_counts;
};

// One call. Not thread safe. Destruction before the end closes the connection, which cancels the call at the target.
class http_call
{
public:
    // Starts the call without blocking. `watch` lives as long as the call.
    http_call(client_pool &pool, client_request request, const caller_watch &watch);
    http_call(const http_call &) = delete;
    http_call &operator=(const http_call &) = delete;
    ~http_call();

    // awaitBodyWanted waits until the target accepts body bytes (after "100 Continue" if asked for); false if the call
    // ended or a final response came first.
    bool awaitBodyWanted();
    // send passes on a piece of the body and waits until it was taken; false if the call ended or a response came
    // first.
    bool send(std::string_view piece);
    // provideLast sets the last piece of the body (which may be the only one, and empty) without waiting. The bytes
    // live until `awaitHead` returns.
    void provideLast(std::string_view piece);
    // awaitHead waits for the final response head; null if the call failed before. A call can have failed behind its
    // head: `failure` tells, and `read` ends with Cut.
    const response_head *awaitHead();
    // awaitSmallBody waits until the whole body has arrived, if its announced length fits the buffer of the call; true
    // if it has.
    bool awaitSmallBody();
    // takeWhole returns the rest of the body if all of it has arrived; empty otherwise. Does not wait.
    std::optional<std::string> takeWhole();
    // read returns the next bytes of the response body, End after a complete one, Cut after a failure.
    read_result read(std::span<char> buffer);

    // progress tells how far the call came. Valid at any time.
    call_progress progress() const;
    // failure tells why the call ended early; None while it runs and after a whole response.
    call_failure failure() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// readBody returns the rest of the response body of a call whose head has arrived; empty if the call fails before the
// end of the body, or if more than `maxBytes` arrive. Blocks until the deadline of the call at most. Not thread safe
// for one call.
std::optional<std::string> readBody(http_call &call, std::size_t maxBytes);

} // namespace pistachioquay
