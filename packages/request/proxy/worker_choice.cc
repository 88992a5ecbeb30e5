#include "request/proxy/worker_choice.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace pistachioquay::internal {

std::optional<worker>
worker_choice::choose(const worker_view &view, const std::string &service, std::span<const std::string> tried)
{
    const auto found = view.services.find(service);
    if (found == view.services.end()) {
        return std::nullopt;
    }
    const auto isUntried = [&](const worker &candidate) {
        return std::ranges::find(tried, candidate.nodeId) == tried.end();
    };
    std::vector<worker> untried;
    std::ranges::copy_if(found->second.local, std::back_inserter(untried), isUntried);
    if (untried.empty()) {
        std::ranges::copy_if(found->second.remote, std::back_inserter(untried), isUntried);
    }
    if (untried.empty()) {
        return std::nullopt;
    }
    const std::lock_guard guard(m_mutex);
    std::vector<worker> candidates;
    std::ranges::sample(untried, std::back_inserter(candidates), 2, m_generator);
    std::ranges::shuffle(candidates, m_generator);
    return *std::ranges::min_element(candidates, {}, [&](const worker &candidate) {
        const auto count = m_outstanding.find(candidate.nodeId);
        return count == m_outstanding.end() ? 0U : count->second;
    });
}

void worker_choice::begin(const std::string &nodeId)
{
    const std::lock_guard guard(m_mutex);
    ++m_outstanding[nodeId];
}

void worker_choice::end(const std::string &nodeId)
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_outstanding.find(nodeId);
    if (found != m_outstanding.end() && --found->second == 0) {
        m_outstanding.erase(found);
    }
}

} // namespace pistachioquay::internal
