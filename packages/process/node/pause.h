// Sleeping that ends early when the thread is asked to stop.
//
//   while (!stop.stop_requested()) { work(); pauseFor(milliseconds(250), stop); }
#pragma once

#include <stop_token>

#include "base/clock.h"

namespace pistachioquay {

// pauseFor blocks for `length`, or until stop is requested. Thread safe.
void pauseFor(duration length, const std::stop_token &stop);

} // namespace pistachioquay
