// Clock types. Functions that decide take the present time as an argument; only edges call `steadyNow`, `bootNow` and
// `unixNowMs`.
//
//   bool isExpired(const lease &held, time_point now) { return held.endsAt <= now; }
//   if (isExpired(held, steadyNow())) ...
#pragma once

#include <chrono>
#include <cstdint>

namespace pistachioquay {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

// steadyNow returns the monotonic time. Thread safe.
inline time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

// A monotonic clock that also counts the time for which the machine is suspended (CLOCK_BOOTTIME), for statements that
// must not outlive a bound. It is the steady clock if the system has no such clock.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required of a clock

    // now returns the present time. Thread safe.
    static time_point now() noexcept;
};
using boot_time = boot_clock::time_point;

// bootNow returns the monotonic time that counts suspension. Thread safe.
inline boot_time bootNow()
{
    return boot_clock::now();
}

// unixNowMs returns the wall-clock time in milliseconds since 1970. Thread safe.
inline std::int64_t unixNowMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

// millisBetween returns the whole milliseconds from `from` to `to`. Thread safe.
inline std::int64_t millisBetween(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

} // namespace pistachioquay
