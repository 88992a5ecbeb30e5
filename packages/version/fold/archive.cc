#include "version/fold/archive.h"

namespace pistachioquay::internal {

namespace {

enum class scalar_type : std::uint8_t
{
    Flag,
    Number,
    Text,
};

[[noreturn]] void throwWrongBytes()
{
    throw cereal::Exception("wrong bytes");
}

} // namespace

void writeText(archive_writer &archive, std::string_view text)
{
    archive(static_cast<std::uint32_t>(text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
}

std::string readText(archive_reader &archive, std::uint32_t maxSize)
{
    const auto size = readNumber<std::uint32_t>(archive);
    if (size > maxSize) {
        throwWrongBytes();
    }
    std::string text(size, '\0');
    archive(cereal::binary_data(text.data(), text.size()));
    return text;
}

void writeScalar(archive_writer &archive, const scalar &value)
{
    archive(static_cast<std::uint8_t>(value.index()));
    if (const auto *flag = std::get_if<bool>(&value)) {
        archive(static_cast<std::uint8_t>(*flag));
    } else if (const auto *number = std::get_if<std::int64_t>(&value)) {
        archive(*number);
    } else {
        writeText(archive, std::get<std::string>(value));
    }
}

scalar readScalar(archive_reader &archive)
{
    const auto type = static_cast<scalar_type>(readNumber<std::uint8_t>(archive));
    switch (type) {
    case scalar_type::Flag:
        return readNumber<std::uint8_t>(archive) != 0;
    case scalar_type::Number:
        return readNumber<std::int64_t>(archive);
    case scalar_type::Text:
        return readText(archive);
    }
    throwWrongBytes();
}

void writePlace(archive_writer &archive, const place &where)
{
    writeText(archive, where.dataCentre);
    writeText(archive, where.service);
}

place readPlace(archive_reader &archive)
{
    place where;
    where.dataCentre = readText(archive);
    where.service = readText(archive);
    return where;
}

void writeKey(archive_writer &archive, const value_key &key)
{
    archive(static_cast<std::uint8_t>(key.kind));
    if (key.kind != value_kind::None) {
        writeText(archive, key.name);
        writeText(archive, key.key);
    }
}

value_key readKey(archive_reader &archive)
{
    value_key key;
    const auto kind = readNumber<std::uint8_t>(archive);
    if (kind > static_cast<std::uint8_t>(value_kind::Route)) {
        throwWrongBytes();
    }
    key.kind = static_cast<value_kind>(kind);
    if (key.kind != value_kind::None) {
        key.name = readText(archive);
        key.key = readText(archive);
    }
    return key;
}

} // namespace pistachioquay::internal
