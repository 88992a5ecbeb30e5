// Messages between nodes: a cereal archive with an envelope of magic, format number and checksum.
//
//   const std::string bytes = encodeMessage(ping, pingFormat);
//   const auto read = attempt([&] { return decodeMessage<ping_message>(bytes, pingFormat, counters); });
//
// Integers and sizes are written as little-endian base-128 numbers, because cereal's own portable archive spends 8
// bytes on each size. Garbled input is a typed error, and no length in it causes an allocation larger than the input
// allows.
#pragma once

#include <bit>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>

#include "base/error.h"

namespace pistachioquay {

// Counts of messages that were refused, by reason. Not thread safe: one per thread.
struct decode_counters
{
    std::uint64_t truncated = 0; // shorter than the envelope, or content that ends early
    std::uint64_t badMagic = 0;
    std::uint64_t badFormat = 0;
    std::uint64_t badChecksum = 0;
    std::uint64_t badContent = 0; // a correct envelope around content that does not decode

    friend auto operator<=>(const decode_counters &, const decode_counters &) = default;
};

// Writes values to a byte string. Not thread safe.
class output_archive : public cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit output_archive(std::string &out);

    // writeNumber appends a base-128 number.
    void writeNumber(std::uint64_t value);
    // writeBytes appends raw bytes.
    void writeBytes(std::string_view bytes);

private:
    std::string &m_out;
};

// Reads what output_archive wrote. Throws cereal::Exception on garbage; `decodeMessage` turns that into an error.
class input_archive : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>
{
public:
    explicit input_archive(std::string_view bytes);

    // readNumber reads a base-128 number that is at most `limit`.
    std::uint64_t readNumber(std::uint64_t limit);
    // readSize reads the size of a container; every element takes at least one byte of the rest.
    std::uint64_t readSize();
    // readBytes copies raw bytes.
    void readBytes(char *to, std::size_t size);
    // remaining returns the number of unread bytes.
    std::size_t remaining() const;

private:
    std::string_view m_rest;
};

namespace internal {

template<class T>
concept plain_number = std::is_arithmetic_v<T>;

// appendEnvelope puts magic, format and checksum in front of `content`.
std::string withEnvelope(std::string_view content, std::uint16_t format);

// contentOf checks the envelope and returns the content.
result<std::string_view> contentOf(std::string_view bytes, std::uint16_t format, decode_counters &counters);

// badContent counts and reports content that does not decode.
boost::leaf::error_id badContent(std::string_view reason, decode_counters &counters);

} // namespace internal

template<internal::plain_number T>
void save(output_archive &archive, const T &value)
{
    if constexpr (std::is_floating_point_v<T>) {
        static_assert(sizeof(T) == sizeof(std::uint64_t), "only double is written");
        archive.writeNumber(std::bit_cast<std::uint64_t>(value));
    } else if constexpr (std::is_signed_v<T>) {
        const auto wide = static_cast<std::int64_t>(value);
        archive.writeNumber((static_cast<std::uint64_t>(wide) << 1U) ^ static_cast<std::uint64_t>(wide >> 63U));
    } else {
        archive.writeNumber(value);
    }
}

template<internal::plain_number T>
void load(input_archive &archive, T &value)
{
    if constexpr (std::is_floating_point_v<T>) {
        value = std::bit_cast<T>(archive.readNumber(UINT64_MAX));
    } else if constexpr (std::is_signed_v<T>) {
        constexpr auto limit = static_cast<std::uint64_t>(std::make_unsigned_t<T>(-1));
        const std::uint64_t folded = archive.readNumber(limit);
        value = static_cast<T>(static_cast<std::int64_t>(folded >> 1U) ^ -static_cast<std::int64_t>(folded & 1U));
    } else if constexpr (std::is_same_v<T, bool>) {
        value = archive.readNumber(1) != 0;
    } else {
        value = static_cast<T>(archive.readNumber(static_cast<T>(-1)));
    }
}

template<class T>
void save(output_archive &archive, const cereal::SizeTag<T> &tag)
{
    archive.writeNumber(tag.size);
}

template<class T>
void load(input_archive &archive, cereal::SizeTag<T> &tag)
{
    tag.size = archive.readSize();
}

template<class T>
void save(output_archive &archive, const cereal::BinaryData<T> &data)
{
    static_assert(sizeof(std::remove_pointer_t<T>) == 1, "raw data is bytes only, for the byte order");
    archive.writeBytes({reinterpret_cast<const char *>(data.data), data.size});
}

template<class T>
void load(input_archive &archive, cereal::BinaryData<T> &data)
{
    static_assert(sizeof(std::remove_pointer_t<T>) == 1, "raw data is bytes only, for the byte order");
    archive.readBytes(reinterpret_cast<char *>(data.data), data.size);
}

template<class T>
void save(output_archive &archive, const cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void load(input_archive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T, class Allocator>
void save(output_archive &archive, const std::vector<T, Allocator> &items)
{
    archive.writeNumber(items.size());
    for (const T &item : items) {
        archive(item);
    }
}

// Grows with the elements that are really there, so that a false size does not allocate memory.
template<class T, class Allocator>
void load(input_archive &archive, std::vector<T, Allocator> &items)
{
    items.clear();
    for (std::uint64_t left = archive.readSize(); left > 0; --left) {
        archive(items.emplace_back());
    }
}

// encodeMessage returns the bytes of `message` in its envelope. Thread safe.
template<class T>
std::string encodeMessage(const T &message, std::uint16_t format)
{
    std::string content;
    output_archive archive(content);
    archive(message);
    return internal::withEnvelope(content, format);
}

// decodeMessage reads what `encodeMessage` wrote with the same format. Thread safe for separate counters. Fails with
// Corrupt for garbage and UnreadableSchema for another format, and counts the reason.
template<class T>
result<T> decodeMessage(std::string_view bytes, std::uint16_t format, decode_counters &counters)
{
    BOOST_LEAF_AUTO(content, internal::contentOf(bytes, format, counters));
    try {
        T message{};
        input_archive archive(content);
        archive(message);
        if (archive.remaining() == 0) {
            return message;
        }
    } catch (const std::exception &failure) {
        return internal::badContent(failure.what(), counters);
    }
    return internal::badContent("bytes are left over", counters);
}

} // namespace pistachioquay

CEREAL_SETUP_ARCHIVE_TRAITS(pistachioquay::input_archive, pistachioquay::output_archive)
