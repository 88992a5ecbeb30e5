#include "request/proxy/shared_state.h"

namespace pistachioquay::internal {

void flight_count::begin()
{
    const std::lock_guard guard(m_mutex);
    ++m_count;
}

void flight_count::end()
{
    const std::lock_guard guard(m_mutex);
    if (--m_count == 0) {
        m_changed.notify_all();
    }
}

bool flight_count::waitForNone(time_point until)
{
    std::unique_lock guard(m_mutex);
    return m_changed.wait_until(guard, until, [&] {
        return m_count == 0;
    });
}

core::core(proxy_options given, proxy_sources from, proxy_tuning tuning)
    : options(std::move(given))
    , sources(std::move(from))
    , pool(client_options{.maxPerTarget = options.maxConnections, .keepsConnections = tuning.keepsConnections})
    , slots(options.slots, options.nodeId)
    , crashes({sources.isWorkerPortClosed, sources.broadcastReports})
{
}

http_response core::refuse(
    unsigned status, node_outcome outcome, const std::string &kind, std::string_view message, std::string_view remedy)
{
    {
        const std::lock_guard guard(counts.mutex);
        ++counts.refusals[kind];
    }
    return nodeError(status, outcome, kind, message, remedy);
}

} // namespace pistachioquay::internal
