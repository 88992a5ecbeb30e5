// Client of the platform log: appends records to a stream and reads them by offset.
//
//   const log_target target{settings.platformLog, milliseconds(2000)};
//   const auto offset = attempt([&] { return appendRecord(target, "config", bytes); });
//   if (!offset && !isCertainlyNotAppended(offset.failure()))
//       ... the record may be in the log: look for it before appending again
//   const auto batch = attempt([&] { return readRecords(target, "config", position, 100, milliseconds(5000)); });
//   if (batch && batch->first > position)
//       ... records have expired: take a snapshot
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"

namespace pistachioquay {

// Largest record that the log accepts.
inline constexpr std::size_t maxRecordBytes = 1'048'576;

// One record of a stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    std::string data;

    friend bool operator==(const log_record &, const log_record &) = default;
};

// A contiguous range of records. `first` is the oldest offset that the stream still keeps and `next` the offset of the
// next append; both are equal when the stream keeps no record.
struct log_batch
{
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<log_record> records;

    friend bool operator==(const log_batch &, const log_batch &) = default;
};

// Where the log is, and how long a call may take besides the wait of a long poll.
struct log_target
{
    endpoint address;
    milliseconds timeout{5000};
};

// appendRecord appends one record and returns its offset. Thread safe; blocks for at most the timeout. Errors:
//   Unavailable      not appended: no connection, log down (503) or rate limit (429)
//   InvalidArgument  not appended: record too large, stream name malformed, or append rejected by the log (4xx)
//   Timeout          maybe appended: no response in time
//   Io               maybe appended: connection lost after it was made, response not whole, or another status
//   Corrupt          maybe appended: the response is not understood
result<std::uint64_t> appendRecord(const log_target &target, std::string_view stream, std::string_view data);

// isCertainlyNotAppended tells whether an error of `appendRecord` excludes that the record is in the log. Thread safe.
bool isCertainlyNotAppended(const error &failure);

// readRecords returns at most `max` records from offset `from` on (from 1 up) and waits up to `wait` while there are
// none. If records at `from` have expired, `first` is greater than `from` and the records begin at `first`. Thread
// safe; blocks for at most the timeout plus `wait`. Fails with Unavailable, Timeout, Io or InvalidArgument as above,
// and with Corrupt if the response is malformed, has a gap, or ends before `from`.
result<log_batch> readRecords(
    const log_target &target, std::string_view stream, std::uint64_t from, std::uint32_t max, milliseconds wait);

// readLastRecord returns the last record, or a batch without records if the stream keeps none. Thread safe; blocks for
// at most the timeout. Errors as for `readRecords`.
result<log_batch> readLastRecord(const log_target &target, std::string_view stream);

} // namespace pistachioquay
