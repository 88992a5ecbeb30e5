#include "request/proxy/crash_guard.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <glog/logging.h>

namespace pistachioquay::internal {

crash_guard::crash_guard(crash_sources sources)
    : m_sources(std::move(sources))
{
}

run_decision crash_guard::tryBegin(const std::string &requestId, const fingerprint &requestFingerprint)
{
    const std::lock_guard guard(m_mutex);
    const run_decision decision = pistachioquay::tryBegin(m_tracker, requestId, requestFingerprint, unixNowMs());
    recordSent(m_tracker, requestId);
    return decision;
}

void crash_guard::complete(const std::string &requestId)
{
    std::vector<crash_report> changed;
    {
        const std::lock_guard guard(m_mutex);
        changed = pistachioquay::complete(m_tracker, requestId, unixNowMs());
    }
    if (!changed.empty() && m_sources.broadcast) {
        m_sources.broadcast(changed);
    }
}

void crash_guard::abandon(const std::string &requestId)
{
    const std::lock_guard guard(m_mutex);
    pistachioquay::abandon(m_tracker, requestId);
}

bool crash_guard::recordLostResponse(const std::string &requestId)
{
    if (!m_sources.isWorkerPortClosed || !m_sources.broadcast) {
        return false;
    }
    const bool isPortClosed = m_sources.isWorkerPortClosed();
    std::unique_lock guard(m_mutex);
    if (!m_tracker.running.contains(requestId)) {
        return false;
    }
    if (isReported(m_tracker, requestId)) {
        m_changed.wait_for(guard, maxHoldBack, [&] {
            return m_pendingBroadcasts == 0;
        });
        return true;
    }
    if (!isPortClosed) {
        return false;
    }
    const std::vector<crash_report> reports = reportRunning(requestId);
    ++m_pendingBroadcasts;
    guard.unlock();
    m_sources.broadcast(reports);
    guard.lock();
    --m_pendingBroadcasts;
    m_changed.notify_all();
    return true;
}

void crash_guard::merge(std::span<const crash_report> reports)
{
    const std::lock_guard guard(m_mutex);
    mergeCrashReports(m_tracker, reports, unixNowMs());
}

// Reports all requests in flight as one crash.
std::vector<crash_report> crash_guard::reportRunning(const std::string &requestId)
{
    const auto report = recordWorkerCrash(m_tracker, randomId(m_generator), unixNowMs());
    LOG(WARNING) << "[proxy] The worker died while " << (report ? report->suspects.size() : 0)
                 << " requests ran, among them " << requestId << ".";
    return report ? std::vector{*report} : std::vector<crash_report>();
}

} // namespace pistachioquay::internal
