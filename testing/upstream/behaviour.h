// Behaviour of the stand-in worker that a test switches at run time, and its service times.
//
//   const auto wanted = applyBehaviour(current, R"({"slowness": 10})");
//   const duration time = service_times({10, service_shape::Exponential}, seed).draw();
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"

namespace pistachioquay {

// What `GET /load` tells.
enum class load_report
{
    True,
    Idle, // always no load
    Late, // the load `loadLagMs` ago
};

// JSON keys of `POST /test/behaviour` are in the comments; keys that are left out keep their value.
struct worker_behaviour
{
    double slowness = 1; // `slowness`: factor on service times of requests that start from now on
    std::int64_t stallMs = 0; // `stall_ms`: pause in the middle of each response
    bool truncates = false; // `truncate`: the connection closes in the middle of each response
    bool isChunked = false; // `chunked`: responses without Content-Length
    bool swapsIds = false; // `swap_ids`: responses carry another request's id
    bool refuses = false; // `refuse`: new requests get 503 and do not run
    bool isDraining = false; // `drain`: as `refuse`, and `GET /health` says so
    std::uint32_t status = 200; // `status`: status of responses to requests that ran
    std::uint32_t healthStatus = 200; // `health_status`: status of `GET /health`
    load_report report = load_report::True; // `load`: "true", "idle" or "late"
    std::int64_t loadLagMs = 5000; // `load_lag_ms`

    friend bool operator==(const worker_behaviour &, const worker_behaviour &) = default;
};

// applyBehaviour returns `current` with the changes of a JSON object; empty if the text is malformed or names an
// unknown key. Thread safe.
std::optional<worker_behaviour> applyBehaviour(const worker_behaviour &current, std::string_view json);

// loadReportFromName reads "true", "idle" or "late". Thread safe.
std::optional<load_report> loadReportFromName(std::string_view name);

// Shape of the distribution of service times around the mean.
enum class service_shape
{
    Fixed,
    Exponential,
    LogNormal, // a few requests run many times longer than the rest
};

struct service_options
{
    double meanMs = 0;
    service_shape shape = service_shape::Fixed;
};

// Seeded service times. Thread safe.
class service_times
{
public:
    service_times(const service_options &options, std::uint64_t seed);

    // draw returns the service time of the next request.
    duration draw();

private:
    service_options m_options;
    std::mutex m_mutex;
    random_generator m_generator;
};

// fromMillis converts fractional milliseconds. Thread safe.
duration fromMillis(double value);

} // namespace pistachioquay
