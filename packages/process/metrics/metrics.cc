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

constexpr double probabilityP50 = 0.5;
constexpr double probabilityP99 = 0.99;
constexpr double probabilityP999 = 0.999;

// The estimator interpolates between its markers, so further probabilities surround the reported ones.
const std::vector<double> &trackedProbabilities()
{
    static const std::vector<double> probabilities =
        {0.25, probabilityP50, 0.9, probabilityP99, probabilityP999, 0.9995};
    return probabilities;
}

using latency_statistics = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square_quantile>>;

latency_statistics makeStatistics()
{
    return latency_statistics(acc::extended_p_square_probabilities = trackedProbabilities());
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
    const auto quantile = [&](double probability) {
        return std::min(acc::quantile(statistics, acc::quantile_probability = probability), summary.max);
    };
    summary.p50 = quantile(probabilityP50);
    summary.p99 = quantile(probabilityP99);
    summary.p999 = quantile(probabilityP999);
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
    for (const named_objective &objective : objectives) {
        auto found = entry.objectives.find(objective.name);
        if (found == entry.objectives.end()) {
            found = entry.objectives.emplace(std::string(objective.name), objective_entry{}).first;
        }
        const bool isInTime = objective.latency.count() == 0 || sample.latency <= objective.latency;
        found->second.targetPercent = objective.targetPercent;
        addBurnSample(found->second.window, sample.status < firstServerError && isInTime, now);
    }
}

metrics_snapshot metrics::snapshot(time_point now) const
{
    metrics_snapshot snapshot;
    const std::lock_guard guard(m_mutex);
    for (const auto &[name, entry] : m_services) {
        service_metrics &serviceMetrics = snapshot.services[name];
        for (std::size_t index = 0; index < workClassNames.size(); ++index) {
            const latency_summary summary = summarize(entry->latencies.at(index));
            if (summary.count > 0) {
                serviceMetrics.latencyByClass.emplace(workClassNames.at(index), summary);
            }
        }
        for (const auto &[objective, objectiveEntry] : entry->objectives) {
            serviceMetrics.burnByObjective.emplace(objective,
                                                   countsAt(objectiveEntry.window, now, objectiveEntry.targetPercent));
        }
    }
    return snapshot;
}

} // namespace pistachioquay
