#include "testing/upstream/behaviour.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include "testing/harness/json.h"

namespace pistachioquay {

namespace {
constexpr std::array<std::string_view, 11> behaviourKeys = {"slowness",
                                                            "stall_ms",
                                                            "truncate",
                                                            "chunked",
                                                            "swap_ids",
                                                            "refuse",
                                                            "drain",
                                                            "status",
                                                            "health_status",
                                                            "load",
                                                            "load_lag_ms"};

bool namesOnlyKnownKeys(json_t *object)
{
    const char *key = nullptr;
    json_t *value = nullptr;
    json_object_foreach(object, key, value)
    {
        if (std::ranges::find(behaviourKeys, std::string_view(key)) == behaviourKeys.end()) {
            return false;
        }
    }
    return true;
}
} // namespace

std::optional<load_report> loadReportFromName(std::string_view name)
{
    if (name == "true") {
        return load_report::True;
    }
    if (name == "idle") {
        return load_report::Idle;
    }
    return name == "late" ? std::optional(load_report::Late) : std::nullopt;
}

std::optional<worker_behaviour> applyBehaviour(const worker_behaviour &current, std::string_view json)
{
    const json_holder root = parseJson(json);
    const json_t *object = root.get();
    if (!json_is_object(object) || !namesOnlyKnownKeys(root.get())) {
        return std::nullopt;
    }
    worker_behaviour wanted = current;
    wanted.slowness = numberIn(object, "slowness", current.slowness);
    wanted.stallMs = integerIn(object, "stall_ms", current.stallMs);
    wanted.truncates = flagIn(object, "truncate", current.truncates);
    wanted.isChunked = flagIn(object, "chunked", current.isChunked);
    wanted.swapsIds = flagIn(object, "swap_ids", current.swapsIds);
    wanted.refuses = flagIn(object, "refuse", current.refuses);
    wanted.isDraining = flagIn(object, "drain", current.isDraining);
    wanted.status = static_cast<std::uint32_t>(integerIn(object, "status", current.status));
    wanted.healthStatus = static_cast<std::uint32_t>(integerIn(object, "health_status", current.healthStatus));
    wanted.loadLagMs = integerIn(object, "load_lag_ms", current.loadLagMs);
    if (json_object_get(object, "load") != nullptr) {
        const auto report = loadReportFromName(textIn(object, "load", ""));
        if (!report) {
            return std::nullopt;
        }
        wanted.report = *report;
    }
    return wanted;
}

service_times::service_times(const service_options &options, std::uint64_t seed)
    : m_options(options)
    , m_generator(seed)
{
}

duration service_times::draw()
{
    constexpr double spread = 1.0; // sigma; the 99.9th percentile is 13 times the mean
    const std::lock_guard guard(m_mutex);
    const double mean = m_options.meanMs;
    if (mean <= 0 || m_options.shape == service_shape::Fixed) {
        return fromMillis(std::max(mean, 0.0));
    }
    if (m_options.shape == service_shape::Exponential) {
        return fromMillis(std::exponential_distribution<double>(1 / mean)(m_generator));
    }
    const double location = std::log(mean) - spread * spread / 2;
    return fromMillis(std::lognormal_distribution<double>(location, spread)(m_generator));
}

duration fromMillis(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace pistachioquay
