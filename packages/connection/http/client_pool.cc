#include "connection/http/client.h"

#include <algorithm>
#include <iterator>

#include "connection/http/connection.h"

namespace pistachioquay {

client_pool::client_pool(client_options options)
    : m_options(options)
{
}

client_pool::~client_pool() = default;

std::unique_ptr<internal::connection> client_pool::take(const endpoint &target)
{
    std::vector<std::unique_ptr<internal::connection>> dead; // closed after the lock is released
    std::unique_ptr<internal::connection> taken;
    const std::lock_guard guard(m_mutex);
    target_state &state = m_targets[target];
    while (!state.idle.empty() && !taken) {
        std::unique_ptr<internal::connection> candidate = std::move(state.idle.back());
        state.idle.pop_back();
        (candidate->hasPeerClosed() ? dead.emplace_back() : taken) = std::move(candidate);
    }
    if (!taken && state.inUse >= m_options.maxPerTarget) {
        return nullptr;
    }
    ++state.inUse;
    ++(taken ? m_counts.reused : m_counts.opened);
    if (!taken) {
        taken = std::make_unique<internal::connection>();
    }
    taken->generation = state.generation;
    return taken;
}

void client_pool::giveBack(const endpoint &target, std::unique_ptr<internal::connection> used, bool isReusable)
{
    const time_point now = steadyNow();
    const std::lock_guard guard(m_mutex);
    target_state &state = m_targets[target];
    --state.inUse;
    const bool isCurrent = used->generation == state.generation;
    if (isReusable && isCurrent && m_options.keepsConnections && used->isOpen()) {
        used->idleSince = now;
        state.idle.push_back(std::move(used));
    }
}

void client_pool::dropTarget(const endpoint &target)
{
    std::vector<std::unique_ptr<internal::connection>> closing;
    const std::lock_guard guard(m_mutex);
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        ++found->second.generation;
        closing.swap(found->second.idle);
    }
}

void client_pool::closeIdle(time_point now)
{
    std::vector<std::unique_ptr<internal::connection>> closing;
    const std::lock_guard guard(m_mutex);
    for (auto &[target, state] : m_targets) {
        const auto firstFresh = std::ranges::find_if(state.idle, [&](const auto &kept) {
            return kept->idleSince + m_options.idleTimeout > now;
        });
        std::move(state.idle.begin(), firstFresh, std::back_inserter(closing));
        state.idle.erase(state.idle.begin(), firstFresh);
    }
    std::erase_if(m_targets, [](const auto &item) {
        return item.second.idle.empty() && item.second.inUse == 0;
    });
}

client_status client_pool::status() const
{
    const std::lock_guard guard(m_mutex);
    client_status status = m_counts;
    for (const auto &[target, state] : m_targets) {
        status.idle += state.idle.size();
        status.inUse += state.inUse;
    }
    return status;
}

} // namespace pistachioquay
