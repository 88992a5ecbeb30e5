// What the commands need from outside, as functions, so that tests put fakes in their place.
//
//   cli_access access = makeAccess(settings);
//   const auto batch = access.log.read("config", 1, 100, milliseconds(0));
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "process/settings/settings.h"

namespace pistachioquay {

inline constexpr std::string_view configStream = "config";
inline constexpr std::string_view snapshotStream = "snapshots";

// The platform log; the functions have the contracts of `connection/log_client/log_client.h`.
struct log_access
{
    std::function<result<std::uint64_t>(std::string_view stream, std::string_view data)> append;
    std::function<result<log_batch>(std::string_view stream, std::uint64_t from, std::uint32_t max, milliseconds wait)>
        read;
    std::function<result<log_batch>(std::string_view stream)> readLast;
};

// Everything outside that a command uses.
struct cli_access
{
    log_access log;
    std::function<result<std::string>(const endpoint &control)> fetchStatus; // body of GET /v1/status
    std::function<result<std::string>(const endpoint &control)> fetchReport; // body of GET /v1/report; thread safe
    std::vector<endpoint> nodes; // control addresses from the settings
    std::string author;
    std::function<time_point()> now;
    std::function<std::int64_t()> unixMs;
    std::function<void(milliseconds)> sleep;
    random_generator random;
};

// makeAccess returns the access to the log and the nodes that the settings name. Thread safe.
cli_access makeAccess(const cli_settings &settings);

} // namespace pistachioquay
