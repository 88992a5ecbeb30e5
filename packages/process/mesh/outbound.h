// Serves the requests of the callers on the VM and of its worker: finds the route, selects a worker, sends the request,
// and hedges or retries it. Private to the mesh library.
//
//   whole_response response = co_await outbound.serve(request, caller);
#pragma once

#include <memory>

#include "process/mesh/allowances.h"
#include "process/mesh/context.h"
#include "process/mesh/inbound.h"
#include "process/mesh/peer_links.h"
#include "request/attempt_age/attempt_age.h"
#include "request/hedge/hedge.h"
#include "request/resend/resend.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class outbound_handler
{
public:
    outbound_handler(mesh_context &context, inbound_handler &inbound, peer_links &links, allowance_keeper &allowances);

    // serve returns the response to one request of a caller. Every request gets a response, also after a failure.
    awaitable<whole_response> serve(const whole_request &received, caller_connection &caller);
    // mayOverlap returns whether a request may run while earlier ones of its connection have no response yet: its
    // caller sends it again if the connection is closed before, so it must be retryable.
    bool mayOverlap(const whole_request &received) const;
    // openCount returns the number of requests without a response yet.
    std::size_t openCount() const
    {
        return m_openRequests;
    }

private:
    // State of a request while it is served.
    struct request_context
    {
        const whole_request *received = nullptr; // as the caller sent it
        caller_connection *caller = nullptr;
        std::string id;
        std::shared_ptr<const route_table> table; // by which the request was admitted
        std::shared_ptr<const route_table> keyTable; // by which its key was last checked
        const route_config *route = nullptr;
        const client_account *clientAccount = nullptr; // the same in `keyTable`; null: none
        std::string service;
        time_point arrivedAt;
        time_point targetAt; // latency target of the route, counted from the caller's first attempt
        time_point requestDeadline;
        std::shared_ptr<cancellation_token> cancellation; // cancels all attempts
        placement_request placement;
        std::uint32_t workersTried = 0; // workers that the request may have reached
        bool mayHaveRun = false; // in any attempt
        double causedShare = 0; // probability that the own worker makes the request in a run that is a repeat
        std::uint32_t handBacks = 0; // how often a node has handed the request back
        std::uint32_t overloadRefusals = 0; // how often a node has refused the request for lack of capacity
        std::int64_t retryAfterMs = 0; // shortest delay that a refusing node has returned
        double expectedRunMs = 0;
        std::string attemptHistory; // `node:outcome` of each attempt, comma-separated; logged as `nodes`
    };

    // One attempt to run a request at a node. It may outlive the request, because cancelling it takes effect at the
    // node.
    struct request_attempt
    {
        std::string nodeId;
        call_message message;
        time_point sentAt;
        time_point requestDeadline;
        std::shared_ptr<cancellation_token> cancellation = std::make_shared<cancellation_token>();
        std::optional<call_reply> reply; // set when the attempt has ended
    };
    using shared_attempt = std::shared_ptr<request_attempt>;

    std::optional<whole_response> admit(request_context &request);
    // applyKey sets the account and the priority of the request; returns the refusal if there is one.
    std::optional<whole_response>
    applyKey(request_context &request, const account_table &accounts, const route_config &route, bool isProven);
    // applyKeyChange does the same if the configuration has changed since the request was admitted.
    std::optional<whole_response> applyKeyChange(request_context &request);
    // forwardWithinAllowance forwards the request if its account may send one; otherwise returns the refusal.
    awaitable<whole_response> forwardWithinAllowance(request_context &request);
    awaitable<whole_response> forward(request_context &request);
    placement_choice choosePlacement(request_context &request);
    shared_attempt makeAttempt(request_context &request, const placement_choice &choice) const;
    // sendHedged sends the attempt and, if its reply is slow, a hedge to another node; returns the attempt whose reply
    // counts.
    awaitable<shared_attempt>
    sendHedged(request_context &request, const shared_attempt &first, const placement_choice &choice);
    awaitable<shared_attempt> waitForFirstFinalReply(request_context &request,
                                                     const shared_attempt &first,
                                                     const shared_attempt &second,
                                                     const std::shared_ptr<async_event> &changed);
    shared_attempt makeHedge(request_context &request, const request_attempt &first);
    void startAttempt(const shared_attempt &attempt, const std::shared_ptr<async_event> &changed);
    void cancelSlower(request_context &request, const shared_attempt &attempt);
    void recordAttemptEnd(request_context &request, const request_attempt &attempt);
    awaitable<call_reply> sendAttempt(const request_attempt &attempt);
    awaitable<call_reply> sendRemote(const request_attempt &attempt, const known_node &node);
    awaitable<call_reply> retransmit(const request_attempt &attempt, const endpoint &target);
    call_message makeCallMessage(const request_context &request, std::uint64_t expectedProcessId, time_point now) const;
    bool mayRetry(request_context &request, const call_reply &reply);
    // crashSuspicion returns whether the request is suspected of crashing workers.
    suspicion crashSuspicion(const request_context &request) const;
    void recordReply(const request_context &request, const std::string &nodeId, const call_reply &reply);
    whole_response finalResponse(const request_context &request, call_reply &reply);
    whole_response makeRefusal(const request_context &request, std::string_view reason, std::int64_t retryAfterMs);
    whole_response makeFailure(const request_context &request, unsigned status, std::string_view reason);
    void logRequestEnd(const request_context &request, const whole_response &response, std::string_view outcome);

    mesh_context &m_context;
    inbound_handler &m_inbound;
    peer_links &m_links;
    allowance_keeper &m_allowances;
    traffic_split_state m_splits;
    caller_timeouts m_callerTimeouts;
    std::unordered_map<std::string, request_origin> m_origins; // by route, as the nodes beside the workers see it
    std::size_t m_openRequests = 0;
};

} // namespace pistachioquay::internal
