#include "process/mesh/context.h"

#include <algorithm>

namespace pistachioquay {

std::string_view replyName(reply_kind kind)
{
    switch (kind) {
    case reply_kind::Response:
        return "response";
    case reply_kind::NotRun:
        return "not-run";
    case reply_kind::RejectedByWorker:
        return "rejected-by-worker";
    case reply_kind::Unknown:
        return "unknown";
    }
    return "unknown";
}

namespace internal {

void latency_histogram::note(double milliseconds)
{
    const auto bucket = std::ranges::lower_bound(boundsMs, milliseconds);
    ++counts.at(static_cast<std::size_t>(bucket - boundsMs.begin()));
    sumMs += milliseconds;
}

double msBetween(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

void refreshWorkers(mesh_context &context, const std::string &service, time_point now)
{
    std::vector<worker_entry> workers = readyWorkers(context.fleet, service, now);
    if (service == context.options.service && mayTakeWork(context.worker)) {
        workers.push_back({context.options.nodeId,
                           context.process,
                           context.options.dataCentre,
                           context.worker.slots,
                           context.worker.coldUntil});
    }
    setWorkers(context.placement, service, std::move(workers));
}

} // namespace internal

} // namespace pistachioquay
