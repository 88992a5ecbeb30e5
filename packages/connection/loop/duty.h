// Keeps the duties of a process alive when one of them fails unexpectedly.
//
//   spawnDuty(executor, "gossip", [this] { return gossipLoop(); }, reportFailure);
//   runLoop(loop, reportFailure);
//
// A malformed message or a fault of the program must not end the process, nor silently end one of its duties: other
// nodes would send it the same message again after the restart. An exception therefore ends only the step in which it
// was thrown, and is reported.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "connection/loop/async_event.h"

namespace pistachioquay {

inline constexpr milliseconds dutyRestartDelay{100}; // pause before a failed duty starts again

// Called with the name of what has failed and the text of the error.
using failure_reporter = std::function<void(std::string_view name, std::string_view error)>;

// runDuty runs a duty until it returns. A duty that throws is reported and started again after `dutyRestartDelay`.
template<class Duty>
awaitable<void> runDuty(net::any_io_executor executor, std::string name, Duty duty, failure_reporter report)
{
    for (;;) {
        std::string error;
        try {
            co_await duty();
            co_return;
        } catch (const std::exception &failure) {
            error = failure.what();
        }
        report(name, error);
        net::steady_timer pause(executor, dutyRestartDelay);
        co_await pause.async_wait(awaitResult);
    }
}

// spawnDuty starts `runDuty` on the loop of the executor. `duty` returns an awaitable each time that it is called.
template<class Duty>
void spawnDuty(const net::any_io_executor &executor, std::string name, Duty duty, failure_reporter report)
{
    net::co_spawn(executor, runDuty(executor, std::move(name), std::move(duty), std::move(report)), net::detached);
}

// runLoop runs the loop until it is stopped or has no work left. A handler that throws is reported; the loop goes on.
inline void runLoop(net::io_context &loop, const failure_reporter &report)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception &failure) {
            report("loop", failure.what());
        }
    }
}

} // namespace pistachioquay
