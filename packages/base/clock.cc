#include "base/clock.h"

#include <ctime>

namespace pistachioquay {

boot_clock::time_point boot_clock::now() noexcept
{
    // Chosen once: times of two clocks must not be compared.
    static const clockid_t source = [] {
        std::timespec time{};
        return ::clock_gettime(CLOCK_BOOTTIME, &time) == 0 ? CLOCK_BOOTTIME : CLOCK_MONOTONIC;
    }();
    std::timespec time{};
    ::clock_gettime(source, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace pistachioquay
