// Runs an event loop on its own thread. For test programs only.
//
//   loop_thread loop;
//   const exchange_result got = loop.await(client.send(request, options, cancellation));
#pragma once

#include <future>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include "connection/loop/async_event.h"

namespace pistachioquay::testing {

class loop_thread
{
public:
    loop_thread()
        : m_guard(m_loop.get_executor())
        , m_thread([this] {
            m_loop.run();
        })
    {
    }
    loop_thread(const loop_thread &) = delete;
    loop_thread &operator=(const loop_thread &) = delete;
    ~loop_thread()
    {
        stop();
    }

    // stop stops the loop and joins the thread. Coroutines that are still suspended never resume.
    void stop()
    {
        m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    net::any_io_executor executor()
    {
        return m_loop.get_executor();
    }

    // await runs a coroutine on the loop, blocks until it ends and returns its value.
    template<class T>
    T await(awaitable<T> operation)
    {
        return net::co_spawn(m_loop, std::move(operation), net::use_future).get();
    }

    // run calls a function on the loop, blocks until it ends and returns its value.
    template<class Function>
    auto run(Function function)
    {
        return net::post(m_loop, net::use_future(std::move(function))).get();
    }

private:
    net::io_context m_loop{1};
    net::executor_work_guard<net::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace pistachioquay::testing
