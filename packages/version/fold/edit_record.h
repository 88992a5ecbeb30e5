// Edit records as they stand in stream `config`.
//
//   const std::string bytes = encodeRecord({randomId(generator), base, "awa", edits});
//   const decoded_record decoded = decodeRecord(bytes);
//   if (decoded.status == envelope_status::Good) use(decoded.record);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/hash.h"
#include "version/fold/envelope.h"
#include "version/tree/config_tree.h"

namespace pistachioquay {

// Newest schema of edit records that this program reads, and the one that it writes.
inline constexpr std::uint32_t recordSchema = 1;
// The log takes no larger record.
inline constexpr std::size_t maxRecordSize = std::size_t{1024} * 1024;
inline constexpr std::size_t maxAuthorSize = 128;

// Edits that one operator publishes as a whole.
struct edit_record
{
    hash128 publishId; // random; equal for repeats of one publish
    std::uint64_t base = 0; // version from which the operator started
    std::string author;
    std::vector<edit> edits;

    friend bool operator==(const edit_record &, const edit_record &) = default;
};

struct decoded_record
{
    envelope_status status = envelope_status::Malformed;
    std::uint32_t schema = 0;
    edit_record record;
};

// encodeRecord returns the bytes to append. Equal records give equal bytes. Thread safe.
std::string encodeRecord(const edit_record &record);

// decodeRecord reads any bytes; `status` says whether they are a record. Thread safe. Never throws on wrong bytes.
decoded_record decodeRecord(std::string_view bytes);

} // namespace pistachioquay
