// What the node knows of each service that it calls: routing state and retry budget, guarded for the connection
// threads. Private to the proxy.
//
//   call_choice choice = dispatch.begin(view, "orders", {work_class::Interactive, tried}, now);
//   ...
//   dispatch.end("orders", choice, {call_outcome::Completed, latency, load}, now);
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "request/retry/retry.h"
#include "request/routing/routing.h"

namespace pistachioquay::internal {

// All functions are thread safe.
class call_dispatch
{
public:
    // countRequest counts a request of the service for its retry budget.
    void countRequest(const std::string &service, time_point now);
    // begin chooses a worker from the view (null: none) like `beginCall`.
    call_choice begin(const std::shared_ptr<const worker_view> &view,
                      const std::string &service,
                      const call_request &request,
                      time_point now);
    // end records what was seen of a call like `endCall`.
    void end(const std::string &service, const call_choice &choice, const call_result &seen, time_point now);
    // decide tells whether a failed try is repeated like `decideRetry`; it sets `isSaturated` of the facts itself.
    retry_decision decide(const std::string &service, retry_context facts, attempt_history &history, time_point now);

private:
    struct service_state
    {
        std::shared_ptr<const worker_view> view; // that `routing` has taken over
        routing_state routing;
        retry_budget budget;
    };

    std::mutex m_mutex;
    random_generator m_generator = seededFromDevice();
    std::map<std::string, service_state> m_services;
};

} // namespace pistachioquay::internal
