// Sends the requests of a plan at their times, whether or not earlier ones were answered (open loop). Requests beyond
// the connections of a target wait in order of their times, and the wait counts as latency.
//
//   const std::vector<request_result> results = requireValue([&] { return runLoad(plan); });
#pragma once

#include <cstdint>
#include <stop_token>
#include <string>
#include <vector>

#include "testing/load/plan.h"

namespace pistachioquay {

// What the caller of a request can tell about it.
enum class request_outcome
{
    Whole, // 2xx, own id, whole body
    NotRun, // `X-Pq-Outcome: not-run`
    NoConnection, // nothing was sent: refused, or no connection was free within the timeout
    Unknown, // `X-Pq-Outcome: unknown`
    Error, // any other status
    Failed, // timeout, or the connection closed without a clean end
    Truncated, // a clean end, but bytes of the request or of the response are missing
    Crossed, // the response of another request
};

struct request_result
{
    std::string id;
    arrival planned;
    request_outcome outcome = request_outcome::Failed;
    long status = 0;
    duration latency{0}; // from the planned time to the end of the response
    duration sendDelay{0}; // from the planned time to the start of the call; large if the generator itself is late
};

// runLoad sends all requests and waits for their ends; a stop request skips what is not sent yet. Uses one thread. A
// request is never sent twice: libcurl's own repetition on a kept connection is switched off. Thread safe. Fails with
// Io if libcurl or the kernel has no resources.
result<std::vector<request_result>> runLoad(const load_plan &plan, const std::stop_token &stop = {});

} // namespace pistachioquay
