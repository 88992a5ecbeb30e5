#include "request/proxy/slot_queue.h"

#include <algorithm>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds callerCheckInterval{20};

} // namespace

slot_queue::slot_queue(std::uint32_t slots, std::string_view nodeId)
    : m_state(makeAdmission(slots, nodeId, steadyNow()))
{
}

slot_grant slot_queue::acquire(const admission_request &request, const caller_watch &watch)
{
    std::unique_lock guard(m_mutex);
    const admission_result result = admit(m_state, request, steadyNow());
    if (result.kind != admission_kind::Queued) {
        return {result.ticket, result.reason};
    }
    waiter &own = m_waiters[result.ticket];
    slot_grant grant{result.ticket, refusal_reason::None};
    admission_events events;
    while (!own.isDecided) {
        const time_point now = steadyNow();
        const time_point due = nextWakeup(m_state).value_or(time_point::max());
        if (watch.isGone()) {
            cancel(m_state, result.ticket, now, events);
            own.isDecided = true;
            grant.ticket = 0;
        } else if (due <= now) {
            advance(m_state, now, events);
        } else {
            own.changed.wait_until(guard, std::min(due, now + callerCheckInterval));
        }
        wake(events);
        events.clear();
    }
    grant.reason = own.reason;
    if (grant.reason != refusal_reason::None) {
        grant.ticket = 0;
    }
    m_waiters.erase(result.ticket);
    return grant;
}

void slot_queue::release(std::uint64_t ticket, bool hasResponse)
{
    const std::lock_guard guard(m_mutex);
    admission_events events;
    pistachioquay::release(m_state, ticket, hasResponse, steadyNow(), events);
    wake(events);
}

void slot_queue::drain()
{
    const std::lock_guard guard(m_mutex);
    admission_events events;
    setMode(m_state, serving_mode::Draining, steadyNow(), events);
    wake(events);
}

void slot_queue::observe(std::span<const std::string_view> nodeIds)
{
    const std::lock_guard guard(m_mutex);
    recordSeenWorkers(m_state.limits, nodeIds, steadyNow());
}

slot_load slot_queue::load() const
{
    const std::lock_guard guard(m_mutex);
    return {runningCount(m_state), waitingShortCount(m_state)};
}

void slot_queue::wake(const admission_events &events)
{
    for (const admission_event &event : events) {
        const auto found = m_waiters.find(event.ticket);
        if (found != m_waiters.end()) {
            found->second.isDecided = true;
            found->second.reason = event.reason;
            found->second.changed.notify_one();
        }
    }
}

} // namespace pistachioquay::internal
