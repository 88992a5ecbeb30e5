// Latency and service-level metrics of one node. Each finished request is recorded once. Reports are made from a
// snapshot; the burn counts in snapshots of several nodes can be summed without a shared store.
//
//   metrics nodeMetrics;
//   nodeMetrics.record({.service = "orders", .workClass = work_class::Interactive, .status = 200, .latency = latency},
//                      objectivesOf(config, "orders"), steadyNow());
//   const metrics_snapshot snapshot = nodeMetrics.snapshot(steadyNow());
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/work_class.h"
#include "process/metrics/burn.h"

namespace pistachioquay {

// A finished request, as measured by the node that received it from the caller.
struct request_sample
{
    std::string_view service;
    work_class workClass = work_class::Interactive;
    int status = 0; // HTTP status
    duration latency{0};
};

// Latency of the requests of one service and work class since the node started, in milliseconds.
struct latency_summary
{
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double max = 0;

    friend auto operator<=>(const latency_summary &, const latency_summary &) = default;
};

// Metrics of the requests of one service, by the names of work classes and of objectives.
struct service_metrics
{
    std::map<std::string, latency_summary> latencyByClass;
    std::map<std::string, burn_counts> burnByObjective;

    friend bool operator==(const service_metrics &, const service_metrics &) = default;
};

// Metrics of a node at one point in time.
struct metrics_snapshot
{
    std::map<std::string, service_metrics, std::less<>> services; // by service name

    friend bool operator==(const metrics_snapshot &, const metrics_snapshot &) = default;
};

// A service-level objective of the configuration tree.
struct named_objective
{
    std::string_view name;
    double targetPercent = 0;
    milliseconds latency{0}; // within which a request must end; 0: any latency is good
};

// Collects the metrics of one node. All functions are thread safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // record adds a finished request. It is good for an objective if its status is below 500 and its latency is not
    // above that of the objective.
    void record(const request_sample &sample, std::span<const named_objective> objectives, time_point now);

    // snapshot returns a copy of all metrics; the burn windows end at `now`.
    metrics_snapshot snapshot(time_point now) const;

private:
    struct service_entry;
    service_entry &entryFor(std::string_view service);

    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<service_entry>, std::less<>> m_services;
};

} // namespace pistachioquay
