// What an open-loop load run sends and when: classes of requests, rate steps, and seeded arrivals.
//
//   load_plan plan;
//   plan.targets = {entry.settings.callerAddress};
//   plan.classes = {{.name = "interactive", .path = "/orders", .service = {10, service_shape::Exponential}}};
//   plan.steps = {{100, seconds(5)}, {300, seconds(10)}, {100, seconds(5)}};
//   const std::vector<arrival> arrivals = planArrivals(plan);
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "testing/harness/http.h"
#include "testing/upstream/behaviour.h"

namespace pistachioquay {

// One kind of request. `share` is its weight among all classes.
struct load_class
{
    std::string name;
    std::string method = "GET";
    std::string path = "/";
    double share = 1;
    bool isIdempotent = true;
    bool hasKey = false; // sends `Idempotency-Key`, equal to the request id
    std::size_t requestBytes = 0;
    std::size_t responseBytes = 0; // least size of the response body
    service_options service; // sent as `X-Test-Service-Ms`; a negative mean leaves the time to the worker
    milliseconds timeout{10'000};
    http_headers headers;
};

// A rate that holds for a time.
struct load_step
{
    double perSecond = 0;
    milliseconds time{0};
};

struct load_plan
{
    std::vector<endpoint> targets; // each request goes to one of them, drawn at random
    std::vector<load_class> classes;
    std::vector<load_step> steps;
    std::uint64_t seed = 1;
    bool isEvenlySpaced = false; // equal gaps in place of a Poisson process
    std::size_t connectionsPerTarget = 130;
    std::function<std::size_t()> chooseTarget; // if set, called at the time of each request in place of the random draw
    std::string runName = "load"; // begins each request id, so that ids of several runs differ
};

// One request that is due `at` after the start of the run.
struct arrival
{
    duration at{0};
    std::size_t step = 0;
    std::size_t classIndex = 0;
    std::size_t target = 0;
    duration service{0};

    friend bool operator==(const arrival &, const arrival &) = default;
};

// planArrivals draws all arrivals of a run, in order of time; equal plans give equal arrivals. Thread safe.
std::vector<arrival> planArrivals(const load_plan &plan);

// runTime returns the sum of the step times. Thread safe.
duration runTime(const load_plan &plan);

// requestId returns the id of the arrival at `index`. Thread safe.
std::string requestId(const load_plan &plan, std::size_t index);

// planFromJson reads {"seed", "run", "evenly_spaced", "connections", "steps": [{"per_s", "ms"}], "classes": [{"name",
// "method", "path", "share", "idempotent", "key", "request_bytes", "response_bytes", "service_ms", "service_shape",
// "timeout_ms", "headers": {}}]}. Thread safe. Fails with InvalidArgument.
result<load_plan> planFromJson(std::string_view json);

} // namespace pistachioquay
