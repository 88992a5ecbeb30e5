// Bounded reading and writing of the types of the tree by cereal's portable binary archives. Reading throws on any
// wrong byte; `readBody` turns that into false. Sizes are checked before memory is taken.
//
//   const std::string body = writeBody([&](archive_writer &archive) { writeText(archive, "awa"); });
//   std::string author;
//   const bool isRead = readBody(body, [&](archive_reader &archive) { author = readText(archive); });
#pragma once

#include <exception>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

#include "version/tree/config_tree.h"

namespace pistachioquay::internal {

using archive_reader = cereal::PortableBinaryInputArchive;
using archive_writer = cereal::PortableBinaryOutputArchive;

inline constexpr std::uint32_t maxTextSize = 16 * 1024;

template<class T>
T readNumber(archive_reader &archive)
{
    T number{};
    archive(number);
    return number;
}

void writeText(archive_writer &archive, std::string_view text);
std::string readText(archive_reader &archive, std::uint32_t maxSize = maxTextSize);
void writeScalar(archive_writer &archive, const scalar &value);
scalar readScalar(archive_reader &archive);
void writePlace(archive_writer &archive, const place &where);
place readPlace(archive_reader &archive);
void writeKey(archive_writer &archive, const value_key &key);
value_key readKey(archive_reader &archive);

// writeBody returns the bytes that `write` puts into an archive. Thread safe.
template<class Write>
std::string writeBody(Write &&write)
{
    std::ostringstream stream;
    archive_writer archive(stream);
    write(archive);
    return std::move(stream).str();
}

// readBody runs `read` over the bytes; false if they are too short, too long or wrong. Thread safe.
template<class Read>
bool readBody(std::string_view body, Read &&read)
{
    try {
        std::istringstream stream{std::string(body)};
        archive_reader archive(stream);
        read(archive);
        return stream.peek() == std::istringstream::traits_type::eof();
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace pistachioquay::internal
