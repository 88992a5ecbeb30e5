#include "process/metrics/metrics.h"

#include <algorithm>
#include <ranges>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace pistachioquay {

namespace {

namespace acc = boost::accumulators;

constexpr double shareP50 = 0.5;
constexpr double shareP99 = 0.99;
constexpr double shareP999 = 0.999;

// The outer probabilities bracket the wanted ones, as the estimator interpolates between its markers.
const std::vector<double> &trackedShares()
{
    static const std::vector<double> shares = {0.25, shareP50, 0.9, shareP99, shareP999, 0.9995};
    return shares;
}

using latency_statistics = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square_quantile>>;

latency_statistics makeStatistics()
{
    return latency_statistics(acc::extended_p_square_probabilities = trackedShares());
}

latency_summary summarize(const latency_statistics &statistics)
{
    latency_summary summary;
    summary.count = acc::count(statistics);
    if (summary.count == 0) {
        return summary;
    }
    summary.mean = acc::mean(statistics);
    summary.max = acc::max(statistics);
    const auto quantile = [&](double share) {
        return std::min(acc::quantile(statistics, acc::quantile_probability = share), summary.max);
    };
    summary.p50 = quantile(shareP50);
    summary.p99 = quantile(shareP99);
    summary.p999 = quantile(shareP999);
    return summary;
}

struct objective_entry
{
    double targetPercent = 0;
    burn_window window;
};

} // namespace

struct metrics::service_entry
{
    std::array<latency_statistics, workClassNames.size()> latencies = {
        makeStatistics(), makeStatistics(), makeStatistics(), makeStatistics()};
    std::map<std::string, objective_entry, std::less<>> objectives;
};

metrics::metrics() = default;
metrics::~metrics() = default;

metrics::service_entry &metrics::entryFor(std::string_view service)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        found = m_services.emplace(std::string(service), std::make_unique<service_entry>()).first;
    }
    return *found->second;
}

void metrics::record(const request_sample &sample, std::span<const named_objective> objectives, time_point now)
{
    const double latencyMs = std::chrono::duration<double, std::milli>(sample.latency).count();
    constexpr int firstServerError = 500;
    const std::lock_guard guard(m_mutex);
    service_entry &entry = entryFor(sample.service);
    entry.latencies.at(static_cast<std::size_t>(sample.workClass))(latencyMs);
    for (const named_objective &wanted : objectives) {
        auto found = entry.objectives.find(wanted.name);
        if (found == entry.objectives.end()) {
            found = entry.objectives.emplace(std::string(wanted.name), objective_entry{}).first;
        }
        const bool isInTime = wanted.latency.count() == 0 || sample.latency <= wanted.latency;
        found->second.targetPercent = wanted.targetPercent;
        addRequest(found->second.window, sample.status < firstServerError && isInTime, now);
    }
}

metrics_snapshot metrics::snapshot(time_point now) const
{
    metrics_snapshot copy;
    const std::lock_guard guard(m_mutex);
    for (const auto &[name, entry] : m_services) {
        service_metrics &figures = copy.services[name];
        for (std::size_t index = 0; index < workClassNames.size(); ++index) {
            const latency_summary summary = summarize(entry->latencies.at(index));
            if (summary.count > 0) {
                figures.latencyByClass.emplace(workClassNames.at(index), summary);
            }
        }
        for (const auto &[objective, kept] : entry->objectives) {
            figures.burnByObjective.emplace(objective, countsAt(kept.window, now, kept.targetPercent));
        }
    }
    return copy;
}

} // namespace pistachioquay
