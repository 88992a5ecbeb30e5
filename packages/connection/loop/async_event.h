// Coroutine types of an event loop, and an event that one coroutine awaits with a deadline.
//
//   async_event responseArrived(executor);
//   ...                                       // elsewhere on the loop: responseArrived.notify();
//   const bool hasResponse = co_await responseArrived.waitUntil(deadline);
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"

namespace pistachioquay {

namespace net = boost::asio;

// Return type of a coroutine on the event loop. Awaiting it suspends the awaiting coroutine only and never blocks the
// loop's thread.
template<class T>
using awaitable = net::awaitable<T>;

// Completion token with which `co_await` returns the error code as a value instead of throwing it.
inline constexpr auto awaitResult = net::as_tuple(net::use_awaitable);

// Event that a single coroutine awaits. Not thread safe: belongs to one loop.
class async_event
{
public:
    explicit async_event(const net::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    // notify sets the event: it resumes the waiting coroutine, or makes the next wait return at once.
    void notify()
    {
        m_isNotified = true;
        m_timer.cancel();
    }

    // reset clears the event.
    void reset()
    {
        m_isNotified = false;
    }

    bool isNotified() const
    {
        return m_isNotified;
    }

    // waitUntil returns true once the event is set, or false if it is not set by `deadline`.
    awaitable<bool> waitUntil(time_point deadline)
    {
        if (!m_isNotified) {
            m_timer.expires_at(deadline);
            co_await m_timer.async_wait(awaitResult);
        }
        co_return m_isNotified;
    }

private:
    net::steady_timer m_timer;
    bool m_isNotified = false;
};

} // namespace pistachioquay
