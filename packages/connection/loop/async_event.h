// Coroutines of one event loop, and a point where one of them waits for an event or a time.
//
//   async_event answered(executor);
//   ...                                       // elsewhere on the loop: answered.notify();
//   const bool isAnswered = co_await answered.waitUntil(deadline);
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"

namespace pistachioquay {

namespace net = boost::asio;

// An operation that suspends the coroutine of the loop; it never blocks the loop's thread.
template<class T>
using awaitable = net::awaitable<T>;

// Completion of asynchronous operations whose error is a value and not an exception.
inline constexpr auto awaitResult = net::as_tuple(net::use_awaitable);

// One event that one coroutine waits for. Not thread safe: belongs to one loop.
class async_event
{
public:
    explicit async_event(const net::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    // notify wakes the waiting coroutine, or lets the next wait return at once.
    void notify()
    {
        m_isNotified = true;
        m_timer.cancel();
    }

    // reset forgets an earlier notification.
    void reset()
    {
        m_isNotified = false;
    }

    bool isNotified() const
    {
        return m_isNotified;
    }

    // waitUntil returns true as soon as the point is notified, and false when `until` has passed before.
    awaitable<bool> waitUntil(time_point until)
    {
        if (!m_isNotified) {
            m_timer.expires_at(until);
            co_await m_timer.async_wait(awaitResult);
        }
        co_return m_isNotified;
    }

private:
    net::steady_timer m_timer;
    bool m_isNotified = false;
};

} // namespace pistachioquay
