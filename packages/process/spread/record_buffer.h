// The newest records of stream `config`, kept so that peers that are a little behind get records in place of a
// snapshot.
//
//   record_buffer buffer;
//   appendRecord(buffer, {offset, bytes});
//   const auto records = recordsFrom(buffer, position, maxBytes);   // empty optional: too old, send a snapshot
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace pistachioquay {

// A record as it stands in the log.
struct config_record
{
    std::uint64_t offset = 0;
    std::string data;

    friend auto operator<=>(const config_record &, const config_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, data);
    }
};

inline constexpr std::size_t bufferedRecords = 2000;
inline constexpr std::size_t bufferedBytes = 8 * 1024 * 1024;

// Records with contiguous offsets, oldest first. Not thread safe.
struct record_buffer
{
    std::deque<config_record> records;
    std::size_t bytes = 0;
};

// appendToBuffer adds a record and drops the oldest beyond the bounds. A gap before it empties the buffer first.
void appendToBuffer(record_buffer &buffer, config_record record);

// recordsFrom returns the records from offset `position` on, at most about `maxBytes` but at least one if there is any;
// empty optional if the buffer does not reach back to `position`. `next` is the position of the buffer's owner.
std::optional<std::vector<config_record>>
recordsFrom(const record_buffer &buffer, std::uint64_t position, std::uint64_t next, std::size_t maxBytes);

} // namespace pistachioquay
