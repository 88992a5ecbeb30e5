// Fractional milliseconds, the unit of estimates and scores.
//
//   const double waited = msBetween(arrivedAt, now);
//   const time_point endsAt = now + fromMs(expectedRunMs);
#pragma once

#include "base/clock.h"

namespace pistachioquay {

// msBetween returns the time between two points in milliseconds with their fraction. Thread safe.
inline double msBetween(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// fromMs returns the duration of that many milliseconds. Thread safe.
inline duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace pistachioquay
