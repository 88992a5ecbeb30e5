// Decodes and checks the JSON responses of the platform log.
//
//   BOOST_LEAF_AUTO(batch, decodeBatch(body, {.from = 7, .max = 100}));
#pragma once

#include <optional>

#include "connection/log_client/log_client.h"

namespace pistachioquay::internal {

// What was asked for; an absent `from` asks for the last record.
struct read_request
{
    std::optional<std::uint64_t> from;
    std::uint32_t max = 1;
};

// decodeOffset reads the response to an append. Thread safe. Fails with Corrupt.
result<std::uint64_t> decodeOffset(std::string_view body);

// decodeBatch reads the response to a read and checks that its offsets are contiguous, lie inside `first` and `next`,
// and answer `request`. Thread safe. Fails with Corrupt.
result<log_batch> decodeBatch(std::string_view body, const read_request &request);

} // namespace pistachioquay::internal
