// Slots of the stand-in worker and the load that it reports.
//
//   slot_pool slots(6, true);
//   if (slots.acquire(isClientGone) == slot_answer::Acquired) { run(); slots.release(); }
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include "base/clock.h"

namespace pistachioquay {

enum class slot_answer
{
    Acquired,
    Refused,
    ClientGone,
};

// Load at one time.
struct load_sample
{
    time_point at;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

// All functions are thread safe. Waiting requests are served in the order of arrival.
class slot_pool
{
public:
    slot_pool(std::uint32_t slots, bool isWaitAllowed);

    // acquire takes a slot, waits for one, or refuses. While it waits, it asks `isClientGone` every few milliseconds.
    slot_answer acquire(const std::function<bool()> &isClientGone);

    // release gives a slot back.
    void release();

    // load returns the present load.
    load_sample load() const;

    // loadAt returns the load at an earlier time of the last minute.
    load_sample loadAt(time_point when) const;

    // slots returns the number of slots.
    std::uint32_t slots() const;

private:
    void noteLoad();
    bool isNext(std::uint64_t ticket) const;

    const std::uint32_t m_slots;
    const bool m_isWaitAllowed;
    mutable std::mutex m_mutex;
    std::condition_variable m_released;
    std::uint64_t m_lastTicket = 0;
    std::uint32_t m_running = 0;
    std::deque<std::uint64_t> m_queue;
    std::deque<load_sample> m_samples;
};

} // namespace pistachioquay
