#include "connection/wire/codec.h"

#include <algorithm>
#include <cstring>

#include "base/hash.h"

namespace pistachioquay {

namespace {

constexpr std::string_view magic = "PQ";
constexpr std::size_t formatBytes = 2;
constexpr std::size_t checksumBytes = 8;
constexpr std::size_t envelopeBytes = magic.size() + formatBytes + checksumBytes;
constexpr std::string_view garbageRemedy = "check that only nodes of this deployment send to this port";

void appendLittleEndian(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t index = 0; index < bytes; ++index) {
        out.push_back(static_cast<char>(value >> (8 * index)));
    }
}

std::uint64_t readLittleEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    }
    return value;
}

} // namespace

output_archive::output_archive(std::string &out)
    : OutputArchive(this)
    , m_out(out)
{
}

void output_archive::writeNumber(std::uint64_t value)
{
    while (value >= 0x80) {
        m_out.push_back(static_cast<char>(value | 0x80));
        value >>= 7U;
    }
    m_out.push_back(static_cast<char>(value));
}

void output_archive::writeBytes(std::string_view bytes)
{
    m_out.append(bytes);
}

input_archive::input_archive(std::string_view bytes)
    : InputArchive(this)
    , m_rest(bytes)
{
}

std::uint64_t input_archive::readNumber(std::uint64_t limit)
{
    constexpr unsigned lastShift = 63;
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= lastShift; shift += 7) {
        if (m_rest.empty()) {
            throw cereal::Exception("a number is cut off");
        }
        const auto byte = static_cast<unsigned char>(m_rest.front());
        m_rest.remove_prefix(1);
        if (shift == lastShift && byte > 1) {
            throw cereal::Exception("a number is larger than 64 bits");
        }
        value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
        if (byte < 0x80) {
            if (value > limit) {
                throw cereal::Exception("a number is out of range");
            }
            return value;
        }
    }
    throw cereal::Exception("a number has no end");
}

std::uint64_t input_archive::readSize()
{
    return readNumber(m_rest.size());
}

void input_archive::readBytes(char *to, std::size_t size)
{
    if (size > m_rest.size()) {
        throw cereal::Exception("text is cut off");
    }
    std::copy_n(m_rest.data(), size, to);
    m_rest.remove_prefix(size);
}

std::size_t input_archive::remaining() const
{
    return m_rest.size();
}

namespace internal {

std::string withEnvelope(std::string_view content, std::uint16_t format)
{
    std::string bytes;
    bytes.reserve(envelopeBytes + content.size());
    bytes.append(magic);
    appendLittleEndian(bytes, format, formatBytes);
    appendLittleEndian(bytes, hash64(content, format), checksumBytes);
    bytes.append(content);
    return bytes;
}

result<std::string_view> contentOf(std::string_view bytes, std::uint16_t format, decode_counters &counters)
{
    if (bytes.size() < envelopeBytes) {
        ++counters.truncated;
        return fail(error_kind::Corrupt, "a message is shorter than its envelope", garbageRemedy);
    }
    if (!bytes.starts_with(magic)) {
        ++counters.badMagic;
        return fail(error_kind::Corrupt, "a message has a wrong magic number", garbageRemedy);
    }
    const std::uint64_t found = readLittleEndian(bytes.substr(magic.size(), formatBytes));
    if (found != format) {
        ++counters.badFormat;
        return fail(error_kind::UnreadableSchema,
                    "a message has format " + std::to_string(found) + " instead of " + std::to_string(format),
                    "run nodes of compatible releases");
    }
    const std::string_view content = bytes.substr(envelopeBytes);
    if (readLittleEndian(bytes.substr(magic.size() + formatBytes, checksumBytes)) != hash64(content, format)) {
        ++counters.badChecksum;
        return fail(error_kind::Corrupt, "a message has a wrong checksum", garbageRemedy);
    }
    return content;
}

boost::leaf::error_id badContent(std::string_view reason, decode_counters &counters)
{
    ++counters.badContent;
    return fail(error_kind::Corrupt,
                "a message does not decode: " + std::string(reason),
                "run nodes of compatible releases");
}

} // namespace internal

} // namespace pistachioquay
