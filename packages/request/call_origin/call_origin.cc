#include "request/call_origin/call_origin.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

void record(origin_counts &counts, const std::string &service, time_point now)
{
    const double decay = counts.total > 0
        ? std::exp2(-msBetween(counts.decayedAt, now) / static_cast<double>(originHalfLife.count()))
        : 0;
    counts.total *= decay;
    for (auto &[name, count] : counts.byService) {
        count *= decay;
    }
    counts.decayedAt = now;
    if (counts.byService.size() < maxOriginServices || counts.byService.contains(service)) {
        counts.byService[service] += 1;
        counts.total += 1;
    }
}

double largestShare(const origin_counts &counts)
{
    if (counts.byService.empty() || counts.total <= 0) {
        return 1;
    }
    const auto largest = std::ranges::max_element(counts.byService, {}, [](const auto &item) {
        return item.second;
    });
    return largest->second / counts.total;
}

} // namespace

void recordOrigin(call_origins &origins, const std::string &route, const std::string &callerService, time_point now)
{
    if (origins.byRoute.size() >= maxOriginRoutes && !origins.byRoute.contains(route)) {
        return;
    }
    origin_counts &counts = origins.byRoute[route];
    record(counts, callerService, now);
    if (counts.total < minOriginSamples || largestShare(counts) < calledShare) {
        record(origins.all, callerService, now);
    }
}

request_origin originOf(const call_origins &origins, const std::string &route)
{
    const auto found = origins.byRoute.find(route);
    if (found == origins.byRoute.end() || found->second.total < minOriginSamples) {
        return request_origin::Unknown;
    }
    if (largestShare(found->second) < calledShare) {
        return request_origin::Caller;
    }
    const bool areCallersSpread = origins.all.total >= minOriginSamples && largestShare(origins.all) < maxCallerShare;
    return areCallersSpread ? request_origin::Worker : request_origin::Unknown;
}

} // namespace pistachioquay
