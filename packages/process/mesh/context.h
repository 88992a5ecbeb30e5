// What the parts of a node share. Private to the mesh library.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/log_line.h"
#include "base/milliseconds.h"
#include "base/random.h"
#include "process/fleet/fleet.h"
#include "process/mesh/mesh.h"
#include "process/mesh/messages.h"
#include "request/link_room/link_room.h"
#include "request/placement/placement.h"

namespace pistachioquay::internal {

// Counts of latencies in fixed buckets.
struct latency_histogram
{
    static constexpr std::array<double, 12> boundsMs = {1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};
    std::array<std::uint64_t, boundsMs.size() + 1> counts{};
    double sumMs = 0;

    void note(double milliseconds);
};

// Used share of the VM's link, in the busier direction, over the last half second.
class link_meter
{
public:
    void note(std::size_t bytesIn, std::size_t bytesOut, time_point now);
    double load(double bytesPerMs, time_point now) const;

private:
    double m_inPerMs = 0;
    double m_outPerMs = 0;
    time_point m_at;
};

// Counters and histograms, by their name in the metrics text.
struct mesh_metrics
{
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, latency_histogram> latencies;

    void count(const std::string &name)
    {
        ++counters[name];
    }
    void note(const std::string &name, double milliseconds)
    {
        latencies[name].note(milliseconds);
    }
};

// The configuration in force.
struct config_in_force
{
    std::shared_ptr<const route_table> table = std::make_shared<route_table>();
    time_point appliedAt;
};

struct mesh_context
{
    net::any_io_executor executor;
    mesh_options options;
    mesh_platform platform;
    std::uint64_t process = 0; // random identity of this process
    random_generator generator;
    fleet_state fleet;
    placement_state placement;
    std::unordered_map<std::string, time_point> refreshedAt; // by service
    config_in_force config;
    worker_liveness worker;
    link_meter link;
    link_reservations room; // on the own link
    mesh_metrics metrics;
    bool isStopping = false; // the node leaves
    time_point servesUntil; // when the node leaves: end of the requests that its worker still gets
    bool isWorkerClosed = false; // its worker gets nothing new
    bool isRefusing = false; // new requests of callers are refused as well
    bool isStopped = false; // the duties end

    void log(const log_line &line) const
    {
        platform.log(line);
    }
};

// refreshWorkers makes the placement of a service follow the fleet and the own worker.
void refreshWorkers(mesh_context &context, const std::string &service, time_point now);

// keepWorkersFresh does so if it was not done for a while: nodes fall silent without an event.
void keepWorkersFresh(mesh_context &context, const std::string &service, time_point now);

} // namespace pistachioquay::internal
