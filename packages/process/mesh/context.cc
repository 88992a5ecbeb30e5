#include "process/mesh/context.h"

#include <algorithm>
#include <cmath>

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

namespace {

constexpr milliseconds refreshInterval{250};
constexpr double linkMemoryMs = 500.0; // time constant of the measured rate

} // namespace

void link_meter::note(std::size_t bytesIn, std::size_t bytesOut, time_point now)
{
    const double kept = std::exp(-msBetween(m_at, now) / linkMemoryMs);
    m_inPerMs = m_inPerMs * kept + static_cast<double>(bytesIn) / linkMemoryMs;
    m_outPerMs = m_outPerMs * kept + static_cast<double>(bytesOut) / linkMemoryMs;
    m_at = now;
}

double link_meter::load(double bytesPerMs, time_point now) const
{
    const double kept = std::exp(-msBetween(m_at, now) / linkMemoryMs);
    return bytesPerMs > 0 ? std::max(m_inPerMs, m_outPerMs) * kept / bytesPerMs : 0.0;
}

void latency_histogram::note(double milliseconds)
{
    const auto bucket = std::ranges::lower_bound(boundsMs, milliseconds);
    ++counts.at(static_cast<std::size_t>(bucket - boundsMs.begin()));
    sumMs += milliseconds;
}

void refreshWorkers(mesh_context &context, const std::string &service, time_point now)
{
    std::vector<worker_entry> workers = readyWorkers(context.fleet, service, now);
    if (service == context.options.service && isAcceptingRequests(context.worker)) {
        workers.push_back({context.options.nodeId,
                           context.process,
                           context.options.dataCentre,
                           context.worker.slots,
                           context.worker.warmUpUntil,
                           context.options.linkBytesPerMs});
    }
    setWorkers(context.placement, service, std::move(workers));
    context.refreshedAt[service] = now;
}

void keepWorkersFresh(mesh_context &context, const std::string &service, time_point now)
{
    const auto found = context.refreshedAt.find(service);
    if (found == context.refreshedAt.end() || now - found->second > refreshInterval) {
        refreshWorkers(context, service, now);
    }
}

} // namespace internal

} // namespace pistachioquay
