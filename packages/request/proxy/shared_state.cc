#include "request/proxy/shared_state.h"

namespace pistachioquay::internal {

void in_flight_counter::begin()
{
    const std::lock_guard guard(m_mutex);
    ++m_count;
}

void in_flight_counter::end()
{
    const std::lock_guard guard(m_mutex);
    if (--m_count == 0) {
        m_changed.notify_all();
    }
}

bool in_flight_counter::waitUntilEmpty(time_point until)
{
    std::unique_lock guard(m_mutex);
    return m_changed.wait_until(guard, until, [&] {
        return m_count == 0;
    });
}

shared_state::shared_state(proxy_options givenOptions, proxy_sources givenSources, proxy_tuning tuning)
    : options(std::move(givenOptions))
    , sources(std::move(givenSources))
    , pool(client_options{.maxPerTarget = options.maxConnections, .keepsConnections = tuning.keepsConnections})
    , slots(options.slots, options.nodeId)
    , crashes({sources.isWorkerPortClosed, sources.broadcastReports})
{
}

http_response shared_state::refuse(
    unsigned status, node_outcome outcome, const std::string &kind, std::string_view message, std::string_view remedy)
{
    {
        const std::lock_guard guard(counts.mutex);
        ++counts.refusals[kind];
    }
    return nodeError(status, outcome, kind, message, remedy);
}

} // namespace pistachioquay::internal
