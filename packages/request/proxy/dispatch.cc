#include "request/proxy/dispatch.h"

namespace pistachioquay::internal {

void call_dispatch::countRequest(const std::string &service, time_point now)
{
    const std::lock_guard guard(m_mutex);
    pistachioquay::countRequest(m_services[service].budget, now);
}

call_choice call_dispatch::begin(const std::shared_ptr<const worker_view> &view,
                                 const std::string &service,
                                 const call_request &request,
                                 time_point now)
{
    const std::lock_guard guard(m_mutex);
    service_state &state = m_services[service];
    if (view && view != state.view) {
        const auto found = view->services.find(service);
        updateWorkers(state.routing, found == view->services.end() ? service_workers{} : found->second, now);
        state.view = view;
    }
    return beginCall(state.routing, request, now, m_generator);
}

void call_dispatch::end(const std::string &service, const call_choice &choice, const call_result &seen, time_point now)
{
    const std::lock_guard guard(m_mutex);
    endCall(m_services[service].routing, choice, seen, now);
}

retry_decision
call_dispatch::decide(const std::string &service, retry_context context, attempt_history &history, time_point now)
{
    const std::lock_guard guard(m_mutex);
    service_state &state = m_services[service];
    context.isSaturated = isSaturated(state.routing, now);
    return decideRetry(context, history, state.budget, now, m_generator);
}

} // namespace pistachioquay::internal
