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
    while (buffer.records.size() > bufferedRecords || (buffer.bytes > bufferedBytes && buffer.records.size() > 1)) {
        buffer.bytes -= buffer.records.front().data.size();
        buffer.records.pop_front();
    }
}

std::optional<std::vector<config_record>>
recordsFrom(const record_buffer &buffer, std::uint64_t position, std::uint64_t next, std::size_t maxBytes)
{
    std::vector<config_record> found;
    if (position >= next) {
        return found;
    }
    if (buffer.records.empty() || position < buffer.records.front().offset) {
        return std::nullopt;
    }
    const auto skipped = static_cast<std::ptrdiff_t>(position - buffer.records.front().offset);
    std::size_t bytes = 0;
    for (auto each = buffer.records.begin() + skipped; each != buffer.records.end(); ++each) {
        bytes += each->data.size();
        if (!found.empty() && bytes > maxBytes) {
            break;
        }
        found.push_back(*each);
    }
    return found;
}

} // namespace pistachioquay
