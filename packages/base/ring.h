// Bounded queue that joins two threads. It never grows: a full ring refuses, and the sender decides what to drop.
//
//   bounded_ring<log_batch> batches(64);
//   if (!batches.tryPush(std::move(batch))) ++dropped;
//   while (auto next = batches.pop(stopToken)) apply(*next);
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <stop_token>

#include <boost/circular_buffer.hpp>

#include "base/clock.h"

namespace pistachioquay {

// All functions are thread safe, for any number of senders and receivers.
template<class T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : m_items(capacity)
    {
    }

    // tryPush adds an item; false if the ring is full.
    bool tryPush(T item)
    {
        {
            const std::lock_guard guard(m_mutex);
            if (m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_changed.notify_one();
        return true;
    }

    // pop waits for an item; empty when stop is requested.
    std::optional<T> pop(const std::stop_token &stop)
    {
        std::unique_lock guard(m_mutex);
        m_changed.wait(guard, stop, [&] {
            return !m_items.empty();
        });
        return takeFront();
    }

    // popFor waits at most `timeout` for an item; empty on timeout or stop.
    std::optional<T> popFor(duration timeout, const std::stop_token &stop)
    {
        std::unique_lock guard(m_mutex);
        m_changed.wait_for(guard, stop, timeout, [&] {
            return !m_items.empty();
        });
        return takeFront();
    }

    // size returns the number of queued items.
    std::size_t size() const
    {
        const std::lock_guard guard(m_mutex);
        return m_items.size();
    }

private:
    std::optional<T> takeFront()
    {
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable_any m_changed;
    boost::circular_buffer<T> m_items;
};

} // namespace pistachioquay
