// Latency and service-level figures of one node. Each finished request is recorded once; reports read an immutable
// copy, and copies of many nodes can be merged without a store.
//
//   metrics figures;
//   figures.record({.service = "orders", .workClass = work_class::Interactive, .status = 200, .latency = took},
//                  objectivesOf(config, "orders"), steadyNow());
//   const metrics_snapshot copy = figures.snapshot(steadyNow());
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

// One finished request as the node that took it from its caller saw it.
struct request_sample
{
    std::string_view service;
    work_class workClass = work_class::Interactive;
    int status = 0;
    duration latency{0};
};

// Latency of one service and class since the node started, in milliseconds.
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

// Everything that a node reports about the requests of one service.
struct service_metrics
{
    std::map<std::string, latency_summary> latencyByClass;
    std::map<std::string, burn_counts> burnByObjective;

    friend bool operator==(const service_metrics &, const service_metrics &) = default;
};

struct metrics_snapshot
{
    std::map<std::string, service_metrics, std::less<>> services;

    friend bool operator==(const metrics_snapshot &, const metrics_snapshot &) = default;
};

// A named service-level objective as the tree sets it.
struct named_objective
{
    std::string_view name;
    double targetPercent = 0;
    milliseconds latency{0}; // 0: any latency is good
};

// All functions are thread safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // record adds a finished request. A request is good for an objective if its status is below 500 and its latency is
    // within the objective's.
    void record(const request_sample &sample, std::span<const named_objective> objectives, time_point now);

    // snapshot copies all figures; burn windows end at `now`.
    metrics_snapshot snapshot(time_point now) const;

private:
    struct service_entry;
    service_entry &entryFor(std::string_view service);

    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<service_entry>, std::less<>> m_services;
};

} // namespace pistachioquay
