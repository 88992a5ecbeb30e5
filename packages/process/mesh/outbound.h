// Requests of the callers of a VM and of its worker: route, choose a worker, send, and decide what follows a failure.
// Private to the mesh library.
//
//   whole_response response = co_await outbound.serve(request, caller);
#pragma once

#include <memory>

#include "process/mesh/context.h"
#include "process/mesh/inbound.h"
#include "process/mesh/peer_links.h"
#include "request/attempt_age/attempt_age.h"
#include "request/hedge/hedge.h"
#include "request/resend/resend.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class outbound_side
{
public:
    outbound_side(mesh_context &context, inbound_side &inbound, peer_links &links);

    // serve answers one request of a caller. Every request gets a final response.
    awaitable<whole_response> serve(const whole_request &request, caller_connection &caller);
    // openCount returns the number of requests without a response yet.
    std::size_t openCount() const
    {
        return m_open;
    }

private:
    // What is known of a request while it is served.
    struct job
    {
        const whole_request *request = nullptr;
        caller_connection *caller = nullptr;
        std::string id;
        std::shared_ptr<const route_table> table;
        const routed_path *route = nullptr;
        std::string service;
        time_point arrivedAt;
        time_point targetAt;
        time_point requestDeadline;
        std::shared_ptr<cancellation_token> control;
        placement_request placement;
        std::uint32_t workersTried = 0; // that the request may have reached
        std::uint32_t handBacks = 0; // by nodes where it would have waited long
        std::uint32_t refusals = 0; // by nodes, for lack of room
        std::int64_t retryAfterMs = 0; // shortest that a node named
        double expectedRunMs = 0;
        std::string trail; // nodes and outcomes, for the log
    };

    // One send of a request to a node. It may outlive the request, because cancelling takes effect at the node.
    struct sent_copy
    {
        std::string nodeId;
        call_message message;
        time_point sentAt;
        time_point requestDeadline;
        std::shared_ptr<cancellation_token> control = std::make_shared<cancellation_token>();
        std::optional<call_reply> reply; // once it has ended
    };
    using shared_copy = std::shared_ptr<sent_copy>;

    std::optional<whole_response> checkRequest(job &work);
    awaitable<whole_response> forward(job &work);
    placement_choice choose(job &work);
    shared_copy copyFor(job &work, const placement_choice &choice) const;
    // sendHedged sends the copy and, if that takes long, another one elsewhere; returns the one whose reply counts.
    awaitable<shared_copy> sendHedged(job &work, const shared_copy &first, const placement_choice &choice);
    awaitable<shared_copy>
    race(job &work, const shared_copy &first, const shared_copy &second, const std::shared_ptr<async_event> &changed);
    shared_copy hedge(job &work, const sent_copy &first);
    void launch(const shared_copy &copy, const std::shared_ptr<async_event> &changed);
    void dropSlower(job &work, const shared_copy &copy);
    void noteEnd(job &work, const sent_copy &copy);
    awaitable<call_reply> sendTo(const sent_copy &copy);
    awaitable<call_reply> sendRemote(const sent_copy &copy, const known_node &node);
    awaitable<call_reply> resume(const sent_copy &copy, const endpoint &target);
    call_message messageFor(const job &work, std::uint64_t process, time_point now) const;
    bool mayGoOn(job &work, const call_reply &reply);
    void learn(const job &work, const std::string &nodeId, const call_reply &reply);
    whole_response finalResponse(const job &work, const call_reply &reply);
    whole_response refusal(const job &work, std::string_view reason, std::int64_t retryAfterMs);
    whole_response failure(const job &work, unsigned status, std::string_view reason);
    void logEnd(const job &work, const whole_response &response, std::string_view outcome);
    retry_budget_limits limits() const;

    mesh_context &m_context;
    inbound_side &m_inbound;
    peer_links &m_links;
    split_state m_splits;
    service_retry_budgets m_budget;
    caller_timeouts m_ages;
    std::size_t m_open = 0;
};

} // namespace pistachioquay::internal
