// Random numbers and jittered delays. Deciding functions take the generator as an argument, so tests fix the seed.
//
//   random_generator generator(seed);
//   const milliseconds delay = fullJitter(milliseconds(100), milliseconds(5000), attempt, generator);
#pragma once

#include <random>

#include "base/clock.h"
#include "base/hash.h"

namespace pistachioquay {

using random_generator = std::mt19937_64;

// seededFromDevice returns a generator seeded by the operating system. Thread safe.
random_generator seededFromDevice();

// randomId draws a 128-bit id. Not thread safe for one generator.
hash128 randomId(random_generator &generator);

// fullJitter draws a delay between 0 and min(cap, base * 2^attempt). Not thread safe for one generator.
milliseconds fullJitter(milliseconds base, milliseconds cap, unsigned attempt, random_generator &generator);

} // namespace pistachioquay
