// Logic of the stand-in of the platform log: streams, retention, faults and counts, apart from HTTP.
//
//   log_store store(retention);
//   const std::uint64_t offset = store.append("config", bytes, unixNowMs());
//   const stored_range range = store.read("config", offset, 100, unixNowMs());
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace pistachioquay {

// One kept record.
struct stored_record
{
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    std::string data;

    friend bool operator==(const stored_record &, const stored_record &) = default;
};

// The kept range of a stream and the records that a read returns.
struct stored_range
{
    std::uint64_t first = 1;
    std::uint64_t next = 1;
    std::vector<stored_record> records;
};

// What was done with one stream. `bytes` counts appended data.
struct stream_stats
{
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const stream_stats &, const stream_stats &) = default;
};

// Not thread safe.
class log_store
{
public:
    // Records older than `retention` are dropped; 0 keeps all.
    explicit log_store(milliseconds retention);

    // append adds a record and returns its offset.
    std::uint64_t append(const std::string &stream, std::string data, std::int64_t nowMs);

    // read returns at most `max` records from `from` on, beginning at the oldest kept record if `from` has expired. An
    // absent `from` asks for the last record.
    stored_range
    read(const std::string &stream, std::optional<std::uint64_t> from, std::size_t max, std::int64_t nowMs);

    // next returns the offset of the next append.
    std::uint64_t next(const std::string &stream) const;

    // stats returns the counts by stream.
    const std::map<std::string, stream_stats> &stats() const;

private:
    struct stream_state
    {
        std::uint64_t next = 1;
        std::deque<stored_record> records;
    };

    void dropExpired(stream_state &stream, std::int64_t nowMs) const;

    milliseconds m_retention;
    std::map<std::string, stream_state> m_streams;
    std::map<std::string, stream_stats> m_stats;
};

} // namespace pistachioquay
