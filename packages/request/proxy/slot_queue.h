// Slots of the own worker and the queue in front of them. Private to the proxy.
//
//   const slot_decision decision = slots.acquire(workClass, deadline, watch);
//   if (decision == slot_decision::Granted) { run(); slots.release(workClass); }
#pragma once

#include <array>
#include <condition_variable>
#include <mutex>

#include "base/clock.h"
#include "base/work_class.h"
#include "connection/http/caller_watch.h"

namespace pistachioquay::internal {

enum class slot_decision
{
    Granted,
    QueueFull,
    DeadlinePassed,
    CallerGone,
};

struct slot_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

// All functions are thread safe.
class slot_queue
{
public:
    explicit slot_queue(std::uint32_t slots);

    // acquire blocks until a slot is free for the class, the deadline passes, or the caller is gone.
    slot_decision acquire(work_class workClass, time_point deadline, const caller_watch &watch);
    // release frees a granted slot.
    void release(work_class workClass);
    // load returns what runs and waits now.
    slot_load load() const;

private:
    bool canRun(work_class workClass) const;

    std::uint32_t m_slots;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::array<std::uint32_t, 4> m_running{};
    std::array<std::uint32_t, 4> m_waiting{};
};

} // namespace pistachioquay::internal
