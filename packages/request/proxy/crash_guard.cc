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
    const run_decision verdict = mayRun(m_state, runningFingerprints(), requestFingerprint, unixNowMs());
    if (verdict == run_decision::Run) {
        m_running[requestId] = {requestFingerprint, false};
    }
    return verdict;
}

void crash_guard::complete(const std::string &requestId)
{
    std::vector<crash_report> changed;
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_running.find(requestId);
        if (found == m_running.end()) {
            return;
        }
        changed = recordCompleted(m_state, found->second.requestFingerprint, unixNowMs());
        m_running.erase(found);
    }
    if (!changed.empty() && m_sources.broadcast) {
        m_sources.broadcast(changed);
    }
}

void crash_guard::abandon(const std::string &requestId)
{
    const std::lock_guard guard(m_mutex);
    m_running.erase(requestId);
}

bool crash_guard::recordLostResponse(const std::string &requestId)
{
    if (!m_sources.isWorkerPortClosed || !m_sources.broadcast) {
        return false;
    }
    const bool isPortClosed = m_sources.isWorkerPortClosed();
    std::unique_lock guard(m_mutex);
    const auto found = m_running.find(requestId);
    if (found == m_running.end()) {
        return false;
    }
    if (found->second.isReported) {
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
    mergeReports(m_state, reports, unixNowMs());
}

std::vector<fingerprint> crash_guard::runningFingerprints() const
{
    std::vector<fingerprint> fingerprints;
    for (const auto &[id, each] : m_running) {
        if (!each.isReported) {
            fingerprints.push_back(each.requestFingerprint);
        }
    }
    return fingerprints;
}

// Reports all requests in flight as one crash. A request becomes part of one report only.
std::vector<crash_report> crash_guard::reportRunning(const std::string &requestId)
{
    const std::vector<fingerprint> fingerprints = runningFingerprints();
    std::ranges::for_each(m_running, [](auto &each) {
        each.second.isReported = true;
    });
    LOG(WARNING) << "[proxy] The worker died while " << fingerprints.size() << " requests ran, among them " << requestId
                 << ".";
    return {reportCrash(m_state, randomId(m_generator), fingerprints, unixNowMs())};
}

} // namespace pistachioquay::internal
