#include "request/proxy/slot_queue.h"

#include <algorithm>
#include <numeric>

namespace pistachioquay::internal {

namespace {

constexpr std::uint32_t queuePerSlot = 8;
constexpr milliseconds callerCheckInterval{20};

std::size_t indexOf(work_class workClass)
{
    return static_cast<std::size_t>(workClass);
}

std::uint32_t sum(const std::array<std::uint32_t, 4> &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0U);
}

} // namespace

slot_queue::slot_queue(std::uint32_t slots)
    : m_slots(std::max(1U, slots))
{
}

slot_decision slot_queue::acquire(work_class workClass, time_point deadline, const caller_watch &watch)
{
    const std::size_t index = indexOf(workClass);
    std::unique_lock guard(m_mutex);
    if (m_waiting.at(index) >= m_slots * queuePerSlot) {
        return slot_decision::QueueFull;
    }
    ++m_waiting.at(index);
    slot_decision decision = slot_decision::Granted;
    while (!canRun(workClass) && decision == slot_decision::Granted) {
        const time_point now = steadyNow();
        if (now >= deadline) {
            decision = slot_decision::DeadlinePassed;
        } else if (watch.isGone()) {
            decision = slot_decision::CallerGone;
        } else {
            m_changed.wait_until(guard, std::min(deadline, now + callerCheckInterval));
        }
    }
    --m_waiting.at(index);
    if (decision == slot_decision::Granted) {
        ++m_running.at(index);
    }
    m_changed.notify_all();
    return decision;
}

void slot_queue::release(work_class workClass)
{
    const std::lock_guard guard(m_mutex);
    --m_running.at(indexOf(workClass));
    m_changed.notify_all();
}

slot_load slot_queue::load() const
{
    const std::lock_guard guard(m_mutex);
    return {sum(m_running), sum(m_waiting)};
}

bool slot_queue::canRun(work_class workClass) const
{
    const std::uint32_t running = sum(m_running);
    const auto firstLower = m_waiting.begin() + static_cast<std::ptrdiff_t>(indexOf(workClass));
    const std::uint32_t waitingAbove = std::accumulate(m_waiting.begin(), firstLower, 0U);
    if (workClass == work_class::Lookup || workClass == work_class::Interactive) {
        return running + waitingAbove < m_slots;
    }
    const std::uint32_t heavy =
        m_running.at(indexOf(work_class::Upload)) + m_running.at(indexOf(work_class::Background));
    const std::uint32_t kept = m_slots > 1 ? 1 : 0;
    return heavy < std::max(1U, m_slots / 3) && running + waitingAbove + kept < m_slots;
}

} // namespace pistachioquay::internal
