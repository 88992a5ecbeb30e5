#include "testing/upstream/slots.h"

#include <algorithm>

namespace pistachioquay {

slot_pool::slot_pool(std::uint32_t slots, bool isWaitAllowed)
    : m_slots(slots)
    , m_isWaitAllowed(isWaitAllowed)
{
}

slot_answer slot_pool::acquire(const std::function<bool()> &isClientGone)
{
    constexpr milliseconds checkInterval(10);
    std::unique_lock guard(m_mutex);
    if (!m_isWaitAllowed && m_running >= m_slots) {
        return slot_answer::Refused;
    }
    const std::uint64_t ticket = ++m_lastTicket;
    m_queue.push_back(ticket);
    noteLoad();
    while (!m_released.wait_for(guard, checkInterval, [&] {
        return isNext(ticket);
    })) {
        if (isClientGone()) {
            std::erase(m_queue, ticket);
            noteLoad();
            m_released.notify_all();
            return slot_answer::ClientGone;
        }
    }
    m_queue.pop_front();
    ++m_running;
    noteLoad();
    m_released.notify_all();
    return slot_answer::Acquired;
}

void slot_pool::release()
{
    {
        const std::lock_guard guard(m_mutex);
        --m_running;
        noteLoad();
    }
    m_released.notify_all();
}

load_sample slot_pool::load() const
{
    return loadAt(steadyNow());
}

load_sample slot_pool::loadAt(time_point when) const
{
    const std::lock_guard guard(m_mutex);
    const auto isLater = [](time_point left, const load_sample &right) {
        return left < right.at;
    };
    const auto after = std::upper_bound(m_samples.begin(), m_samples.end(), when, isLater);
    return after == m_samples.begin() ? load_sample{when, 0, 0} : *std::prev(after);
}

std::uint32_t slot_pool::slots() const
{
    return m_slots;
}

bool slot_pool::isNext(std::uint64_t ticket) const
{
    return m_running < m_slots && m_queue.front() == ticket;
}

void slot_pool::noteLoad()
{
    constexpr seconds kept(60);
    const time_point now = steadyNow();
    while (m_samples.size() > 1 && m_samples.front().at + kept < now) {
        m_samples.pop_front();
    }
    m_samples.push_back({now, m_running, static_cast<std::uint32_t>(m_queue.size())});
}

} // namespace pistachioquay
