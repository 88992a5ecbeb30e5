// Tells calls that workers make while they run a request from requests of callers, by the services on whose VMs they
// begin.
//
//   recordOrigin(origins, route, callerService, now);
//   if (originOf(origins, route, now) == request_origin::Worker) ...
//
// Load pattern: under overload a refused call fails the request that made it. That request has held a slot of another
// worker meanwhile, so the work of two workers is lost, while a refused request of a caller has cost nothing yet. Both
// arrive alike. But callers are on the VMs of all services, and a route that workers call gets its requests from the
// VMs of the services that call it: a route whose requests all begin on the VMs of one service, while other routes get
// requests from several services, is a route of calls.
//
// Not thread safe: the functions work on a state that belongs to one event loop.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr double minOriginSamples = 30; // requests of a route before its origin is known
// Share of a route's requests from one service above which they are calls. Requests of callers reach it by chance only
// if the VMs of one service have nearly all callers, which `maxCallerShare` excludes.
inline constexpr double calledShare = 0.98;
inline constexpr double maxCallerShare = 0.9;
inline constexpr milliseconds originHalfLife{10000}; // time after which a recorded request has half its weight
inline constexpr std::size_t maxOriginRoutes = 4096; // bounds the memory; further routes count as unknown
inline constexpr std::size_t maxOriginServices = 64; // the same for the services of one route

enum class request_origin : std::uint8_t
{
    Unknown,
    Caller,
    Worker, // a call that a worker makes while it runs a request
};

// Decaying counts of requests by the service on whose VMs they began.
struct origin_counts
{
    std::unordered_map<std::string, double> byService;
    double total = 0;
    time_point decayedAt;
};

struct call_origins
{
    std::unordered_map<std::string, origin_counts> byRoute;
    origin_counts all; // of all routes that are not known to be called by workers
};

// recordOrigin counts a request of a route that began on a VM of `callerService`.
void recordOrigin(call_origins &origins, const std::string &route, const std::string &callerService, time_point now);

// originOf returns the origin of the requests of a route. Unknown: too few were recorded, or the requests of callers do
// not come from several services.
request_origin originOf(const call_origins &origins, const std::string &route);

} // namespace pistachioquay
