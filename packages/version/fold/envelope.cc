#include "version/fold/envelope.h"

#include "base/hash.h"
#include "version/fold/archive.h"

namespace pistachioquay {

namespace {

constexpr std::size_t headerSize = 25; // byte order, magic, schema, hash
constexpr char littleEndianMark = 1;

hash128 contentHash(std::uint32_t magic, std::uint32_t schema, std::string_view body)
{
    return hashBytes(std::to_string(magic) + "/" + std::to_string(schema) + "/" + toHex(hashBytes(body)));
}

} // namespace

std::string sealEnvelope(std::uint32_t magic, std::uint32_t schema, std::string_view body)
{
    std::string bytes = internal::writeBody([&](internal::archive_writer &archive) {
        archive(magic, schema, contentHash(magic, schema, body));
    });
    bytes += body;
    return bytes;
}

envelope openEnvelope(std::uint32_t magic, std::uint32_t newestSchema, std::string_view bytes)
{
    envelope opened;
    if (bytes.size() < headerSize || bytes.front() != littleEndianMark) {
        return opened;
    }
    std::uint32_t foundMagic = 0;
    hash128 foundHash;
    const bool isRead = internal::readBody(bytes.substr(0, headerSize), [&](internal::archive_reader &archive) {
        archive(foundMagic, opened.schema, foundHash);
    });
    opened.body = bytes.substr(headerSize);
    if (!isRead || foundMagic != magic || foundHash != contentHash(magic, opened.schema, opened.body)) {
        return opened;
    }
    opened.status = opened.schema > newestSchema ? envelope_status::UnreadableSchema : envelope_status::Good;
    return opened;
}

} // namespace pistachioquay
