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

run_decision crash_guard::begin(const std::string &requestId, const fingerprint &print)
{
    const std::lock_guard guard(m_mutex);
    const run_decision verdict = mayRun(m_state, runningPrints(), print, unixNowMs());
    if (verdict == run_decision::Run) {
        m_running[requestId] = {print, false};
    }
    return verdict;
}

void crash_guard::completed(const std::string &requestId)
{
    std::vector<crash_report> changed;
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_running.find(requestId);
        if (found == m_running.end()) {
            return;
        }
        changed = recordCompleted(m_state, found->second.print, unixNowMs());
        m_running.erase(found);
    }
    if (!changed.empty() && m_sources.spread) {
        m_sources.spread(changed);
    }
}

void crash_guard::abandoned(const std::string &requestId)
{
    const std::lock_guard guard(m_mutex);
    m_running.erase(requestId);
}

bool crash_guard::lostResponse(const std::string &requestId)
{
    if (!m_sources.isWorkerPortClosed || !m_sources.spread) {
        return false;
    }
    const bool isGone = m_sources.isWorkerPortClosed();
    std::unique_lock guard(m_mutex);
    const auto found = m_running.find(requestId);
    if (found == m_running.end()) {
        return false;
    }
    if (found->second.isReported) {
        m_changed.wait_for(guard, maxHoldBack, [&] {
            return m_spreading == 0;
        });
        return true;
    }
    if (!isGone) {
        return false;
    }
    const std::vector<crash_report> reports = reportOnce(requestId);
    ++m_spreading;
    guard.unlock();
    m_sources.spread(reports);
    guard.lock();
    --m_spreading;
    m_changed.notify_all();
    return true;
}

void crash_guard::merge(std::span<const crash_report> reports)
{
    const std::lock_guard guard(m_mutex);
    mergeReports(m_state, reports, unixNowMs());
}

std::vector<fingerprint> crash_guard::runningPrints() const
{
    std::vector<fingerprint> prints;
    for (const auto &[id, each] : m_running) {
        if (!each.isReported) {
            prints.push_back(each.print);
        }
    }
    return prints;
}

// Reports all requests in flight as one crash; each request is part of one report only.
std::vector<crash_report> crash_guard::reportOnce(const std::string &requestId)
{
    const std::vector<fingerprint> prints = runningPrints();
    std::ranges::for_each(m_running, [](auto &each) {
        each.second.isReported = true;
    });
    LOG(WARNING) << "[proxy] The worker died while " << prints.size() << " requests ran, among them " << requestId
                 << ".";
    return {reportCrash(m_state, randomId(m_generator), prints, unixNowMs())};
}

} // namespace pistachioquay::internal
