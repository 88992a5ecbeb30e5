// Routing state and retry budget of each service that the node calls, shared by all connection threads. Private to the
// proxy.
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
    // countRequest counts a request towards the retry budget of its service.
    void countRequest(const std::string &service, time_point now);
    // begin chooses a worker with `beginCall`, after a new view (null: unchanged) was applied to the routing state.
    call_choice begin(const std::shared_ptr<const worker_view> &view,
                      const std::string &service,
                      const call_request &request,
                      time_point now);
    // end records the outcome of a call with `endCall`.
    void end(const std::string &service, const call_choice &choice, const call_result &seen, time_point now);
    // decide returns whether to retry a failed attempt, with `decideRetry`. It sets `isSaturated` of `context` itself.
    retry_decision decide(const std::string &service, retry_context context, attempt_history &history, time_point now);

private:
    struct service_state
    {
        std::shared_ptr<const worker_view> view; // the latest view that was applied to `routing`
        routing_state routing;
        retry_budget budget;
    };

    std::mutex m_mutex;
    random_generator m_generator = seededFromDevice();
    std::map<std::string, service_state> m_services;
};

} // namespace pistachioquay::internal
