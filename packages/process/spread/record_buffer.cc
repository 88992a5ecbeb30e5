#include "process/spread/record_buffer.h"

#include <algorithm>
#include <utility>

namespace pistachioquay {

void appendToBuffer(record_buffer &buffer, config_record record)
{
    if (!buffer.records.empty() && buffer.records.back().offset + 1 != record.offset) {
        buffer = record_buffer{};
    }
    buffer.bytes += record.data.size();
    buffer.records.push_back(std::move(record));
    while (buffer.records.size() > maxBufferedRecords
           || (buffer.bytes > maxBufferedRecordBytes && buffer.records.size() > 1)) {
        buffer.bytes -= buffer.records.front().data.size();
        buffer.records.pop_front();
    }
}

std::optional<std::vector<config_record>>
recordsFrom(const record_buffer &buffer, std::uint64_t position, std::uint64_t next, std::size_t maxBytes)
{
    std::vector<config_record> selected;
    if (position >= next) {
        return selected;
    }
    if (buffer.records.empty() || position < buffer.records.front().offset) {
        return std::nullopt;
    }
    const auto firstIndex = static_cast<std::ptrdiff_t>(position - buffer.records.front().offset);
    std::size_t bytes = 0;
    for (auto entry = buffer.records.begin() + firstIndex; entry != buffer.records.end(); ++entry) {
        bytes += entry->data.size();
        if (!selected.empty() && bytes > maxBytes) {
            break;
        }
        selected.push_back(*entry);
    }
    return selected;
}

} // namespace pistachioquay
