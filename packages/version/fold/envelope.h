// Outer form of everything that the log keeps: magic number, schema number, content hash, body. This form never
// changes, so that a newer schema is told apart from corruption.
//
//   const std::string bytes = sealEnvelope(recordMagic, recordSchema, body);
//   const envelope opened = openEnvelope(recordMagic, recordSchema, bytes);
//   if (opened.status == envelope_status::Good) decode(opened.body);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachioquay {

inline constexpr std::uint32_t recordMagic = 0x50514552; // "PQER"
inline constexpr std::uint32_t snapshotMagic = 0x50515353; // "PQSS"
inline constexpr std::uint32_t snapshotPartMagic = 0x50515350; // "PQSP"

enum class envelope_status : std::uint8_t
{
    Good,
    Malformed, // truncated, corrupt, or not ours
    UnreadableSchema, // whole, but newer than this program reads
};

struct envelope
{
    envelope_status status = envelope_status::Malformed;
    std::uint32_t schema = 0;
    std::string_view body; // part of the bytes given
};

// sealEnvelope wraps a body. Thread safe.
std::string sealEnvelope(std::uint32_t magic, std::uint32_t schema, std::string_view body);

// openEnvelope checks any bytes and returns their body. `newestSchema` is the newest that the caller reads. Thread
// safe.
envelope openEnvelope(std::uint32_t magic, std::uint32_t newestSchema, std::string_view bytes);

} // namespace pistachioquay
