#include "base/random.h"

#include <algorithm>

namespace pistachioquay {

random_generator seededFromDevice()
{
    std::random_device device;
    std::seed_seq seeds{device(), device(), device(), device()};
    return random_generator(seeds);
}

hash128 randomId(random_generator &generator)
{
    const std::uint64_t high = generator();
    return {high, generator()};
}

milliseconds fullJitter(milliseconds base, milliseconds cap, unsigned attempt, random_generator &generator)
{
    constexpr unsigned maxShift = 20; // keeps base * 2^attempt inside 64 bits
    const auto ceiling = std::min(cap.count(), base.count() << std::min(attempt, maxShift));
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, ceiling)(generator));
}

} // namespace pistachioquay
