// Tells the outcome of a request from its response.
//
//   const request_outcome outcome = classify(received, {"load-1", 0, 200});
#pragma once

#include <cstddef>
#include <string>

#include "testing/load/generator.h"

namespace pistachioquay {

// A response that ended cleanly.
struct received_response
{
    long status = 0;
    std::string outcomeHeader; // `X-Pq-Outcome`
    std::string body;
};

struct expected_response
{
    std::string id;
    std::size_t requestBytes = 0;
    std::size_t responseBytes = 0;
};

// classify compares a response of the stand-in worker with its request. Thread safe.
request_outcome classify(const received_response &received, const expected_response &expected);

} // namespace pistachioquay
