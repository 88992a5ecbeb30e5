// Runs a rapidcheck property with a fixed seed, so that a failure is found again by the next run.
//
//   CHECK(holds("slots are never exceeded", 2000, [](const std::vector<std::uint32_t> &words) { ... }));
//
// Properties over sequences take a vector of words and decode each word into one step; rapidcheck then shrinks a
// failing sequence by leaving out steps.
#pragma once

#include <iostream>
#include <string>

#include <rapidcheck.h>

namespace pistachioquay {

// holds checks `testable` with `count` generated values; on failure it prints the shrunk counterexample. Thread safe.
template<class Testable>
bool holds(const std::string &name, int count, Testable &&testable)
{
    constexpr int maxSize = 200; // longest generated sequence
    rc::detail::TestParams params;
    params.seed = 1;
    params.maxSuccess = count;
    params.maxSize = maxSize;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
    if (result.template is<rc::detail::SuccessResult>()) {
        return true;
    }
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return false;
}

} // namespace pistachioquay
