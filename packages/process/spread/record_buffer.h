// Bounded in-memory buffer of the newest records of stream `config`. A peer that is only a few records behind is sent
// these records instead of a snapshot.
//
//   record_buffer buffer;
//   appendToBuffer(buffer, {offset, bytes});
//   const auto records = recordsFrom(buffer, position, next, maxBytes);   // std::nullopt: send a snapshot
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace pistachioquay {

// A record of stream `config`: its offset in the log and its encoded bytes.
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

inline constexpr std::size_t maxBufferedRecords = 2000;
inline constexpr std::size_t maxBufferedRecordBytes = 8 * 1024 * 1024;

// Records with contiguous offsets, oldest first. Not thread safe.
struct record_buffer
{
    std::deque<config_record> records;
    std::size_t bytes = 0; // total size of `data` in `records`
};

// appendToBuffer appends a record and evicts the oldest ones while the buffer exceeds its limits. If the offset does
// not follow the last buffered one, all earlier records are dropped.
void appendToBuffer(record_buffer &buffer, config_record record);

// recordsFrom returns the records from offset `position` on, up to `maxBytes` in total, and at least one if there is
// any. `next` is the offset of the next record that the owner of the buffer will fold: from there on the result is
// empty. Returns std::nullopt if the record at `position` is no longer buffered.
std::optional<std::vector<config_record>>
recordsFrom(const record_buffer &buffer, std::uint64_t position, std::uint64_t next, std::size_t maxBytes);

} // namespace pistachioquay
