// Waits that end at once when a thread is asked to stop.
//
//   while (!stop.stop_requested()) { work(); pauseFor(milliseconds(250), stop); }
#pragma once

#include <stop_token>

#include "base/clock.h"

namespace pistachioquay {

// pauseFor returns after `length`, or as soon as stop is requested. Thread safe.
void pauseFor(duration length, const std::stop_token &stop);

} // namespace pistachioquay
