#include "testing/platform_log/store.h"

#include <algorithm>
#include <utility>

namespace pistachioquay {

log_store::log_store(milliseconds retention)
    : m_retention(retention)
{
}

std::uint64_t log_store::append(const std::string &stream, std::string data, std::int64_t nowMs)
{
    stream_state &state = m_streams[stream];
    stream_stats &counts = m_stats[stream];
    ++counts.appends;
    counts.bytes += data.size();
    state.records.push_back({state.next, nowMs, std::move(data)});
    return state.next++;
}

stored_range
log_store::read(const std::string &stream, std::optional<std::uint64_t> from, std::size_t max, std::int64_t nowMs)
{
    constexpr std::size_t maxResponseBytes = 4'194'304; // bounds the memory of one response
    stream_state &state = m_streams[stream];
    dropExpired(state, nowMs);
    ++m_stats[stream].reads;
    stored_range range{state.next - state.records.size(), state.next, {}};
    const std::uint64_t start = std::max(from.value_or(state.next - 1), range.first);
    std::size_t bytes = 0;
    for (std::uint64_t offset = start; offset < range.next && range.records.size() < max; ++offset) {
        const stored_record &record = state.records[offset - range.first];
        bytes += record.data.size();
        if (!range.records.empty() && bytes > maxResponseBytes) {
            break;
        }
        range.records.push_back(record);
    }
    return range;
}

std::uint64_t log_store::next(const std::string &stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 1 : found->second.next;
}

const std::map<std::string, stream_stats> &log_store::stats() const
{
    return m_stats;
}

void log_store::dropExpired(stream_state &stream, std::int64_t nowMs) const
{
    while (m_retention.count() > 0 && !stream.records.empty()
           && stream.records.front().timeMs + m_retention.count() <= nowMs) {
        stream.records.pop_front();
    }
}

} // namespace pistachioquay
