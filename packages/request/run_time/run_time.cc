#include "request/run_time/run_time.h"

#include <algorithm>

namespace pistachioquay {

void recordRunTime(run_time_estimates &times, const std::string &route, double milliseconds, time_point now)
{
    run_time_estimates::mean &known = times.routes[route];
    if (known.samples == 0) {
        known.milliseconds = milliseconds;
    } else {
        const double counted = std::min(milliseconds, known.milliseconds * outlierFactor);
        const double weight = std::max(runTimeWeight, 1.0 / (known.samples + 1.0));
        known.milliseconds += weight * (counted - known.milliseconds);
    }
    ++known.samples;
    known.lastAt = now;
}

double expectedRunMs(const run_time_estimates &times, const std::string &route, double fallbackMs)
{
    const auto found = times.routes.find(route);
    return found == times.routes.end() ? fallbackMs : found->second.milliseconds;
}

bool tryProbe(run_time_estimates &times, const std::string &route, time_point now)
{
    const auto found = times.routes.find(route);
    if (found == times.routes.end()) {
        return false;
    }
    run_time_estimates::mean &known = found->second;
    if (now - known.lastAt < estimateFreshFor || now - known.lastProbeAt < estimateFreshFor) {
        return false;
    }
    known.lastProbeAt = now;
    return true;
}

double unmeasuredRunMs(double typicalMs, double targetLeftMs)
{
    return typicalMs > 0 ? typicalMs : std::max(minUnmeasuredMs, targetLeftMs * unmeasuredShare);
}

} // namespace pistachioquay
