#include "process/mesh/worker_load.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <vector>

namespace pistachioquay::internal {

namespace {

constexpr double slowdownHalfLifeMs = 300.0; // a reported slowdown changes many times a second
constexpr std::uint32_t defaultSlots = 4; // assumed until the worker has reported its slots
constexpr milliseconds limitLogInterval{1000}; // at most one line about the limit in this time

// Returns the fields of the load header (running, waiting, slots and, if given, the slowdown in percent); empty if one
// is not a number.
std::vector<double> parseNumbers(std::string_view text)
{
    std::vector<double> numbers;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        double value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + comma, value);
        if (parsed.ec != std::errc{}) {
            return {};
        }
        numbers.push_back(value);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return numbers;
}

run_end runEndOf(const call_reply &reply, bool isCancelled)
{
    switch (reply.kind) {
    case reply_kind::Response:
        return reply.response.status >= 500 ? run_end::Failed
            : reply.response.status < 300   ? run_end::Succeeded
                                            : run_end::Ignored;
    case reply_kind::RejectedByWorker:
        return run_end::Failed;
    case reply_kind::NotRun:
        return run_end::Ignored;
    case reply_kind::Unknown:
        return isCancelled ? run_end::Ignored : run_end::Failed;
    }
    return run_end::Ignored;
}

} // namespace

worker_load::worker_load(mesh_context &context)
    : m_context(context)
{
    setReportedSlots(m_capacity, defaultSlots, steadyNow());
}

void worker_load::recordResponse(const whole_response &response, time_point now)
{
    const auto header = findHeader(response.headers, m_context.options.headers.load);
    if (!header) {
        return;
    }
    const std::vector<double> numbers = parseNumbers(*header);
    if (numbers.size() >= 4 && numbers[3] > 0) {
        m_slowdown = std::clamp(numbers[3] / 100.0, 1 / maxSlowdown, maxSlowdown);
        m_slowdownAt = now;
    }
}

run_start worker_load::beginRun(time_point now)
{
    return pistachioquay::beginRun(m_capacity, now);
}

void worker_load::endRun(
    const run_start &start, const std::string &route, const call_reply &reply, bool isCancelled, time_point now)
{
    pistachioquay::endRun(m_capacity, {start, route, runEndOf(reply, isCancelled), slowdown(now)}, now);
}

void worker_load::onWorkerChange(time_point now)
{
    const worker_liveness &worker = m_context.worker;
    setReportedSlots(m_capacity, worker.slots > 0 ? worker.slots : defaultSlots, now);
    if (worker.workerId != m_workerId || worker.startedMs != m_workerStartedMs) {
        m_workerId = worker.workerId;
        m_workerStartedMs = worker.startedMs;
        resetCapacity(m_capacity, worker.warmUpUntil, now);
    }
}

std::uint32_t worker_load::slots(std::size_t waiting, time_point now)
{
    if (!m_context.options.learnsCapacity) {
        return m_capacity.reportedSlots;
    }
    const auto change = advance(m_capacity, waiting, now);
    if (change) {
        m_context.metrics.count("worker_limit_changes_total");
    }
    if (change && now - m_loggedAt >= limitLogInterval) {
        m_loggedAt = now;
        m_context.log(log_line("inbound", "worker-limit")
                          .add("worker", m_context.worker.workerId)
                          .add("from", change->from)
                          .add("to", change->to)
                          .add("reported", m_capacity.reportedSlots)
                          .add("elasticity", change->elasticity)
                          .add("waiting", waiting));
    }
    return slotsInForce(m_capacity);
}

void worker_load::fillReport(worker_report &report, time_point now) const
{
    report.slowdown = slowdown(now);
    if (m_context.options.learnsCapacity) {
        report.usableSlots = m_capacity.limit;
    }
}

std::uint32_t worker_load::usableSlots() const
{
    return m_context.options.learnsCapacity ? m_capacity.limit : m_capacity.reportedSlots;
}

double worker_load::slowdown(time_point now) const
{
    return 1.0 + (m_slowdown - 1.0) * std::exp2(-msBetween(m_slowdownAt, now) / slowdownHalfLifeMs);
}

} // namespace pistachioquay::internal
