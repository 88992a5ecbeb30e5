#include "base/hash.h"

#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace pistachioquay {

namespace {
constexpr std::size_t halfDigits = 16;

bool readHalf(std::string_view digits, std::uint64_t &value)
{
    const auto *end = digits.data() + digits.size();
    const auto [stop, status] = std::from_chars(digits.data(), end, value, 16);
    return status == std::errc{} && stop == end;
}
} // namespace

hash128 hashBytes(std::string_view bytes)
{
    const XXH128_hash_t digest = XXH3_128bits(bytes.data(), bytes.size());
    return {digest.high64, digest.low64};
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string toHex(const hash128 &value)
{
    std::string text(2 * halfDigits + 1, '\0');
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(value.high),
                  static_cast<unsigned long long>(value.low));
    text.resize(2 * halfDigits);
    return text;
}

bool hashFromHex(std::string_view text, hash128 &value)
{
    if (text.size() != 2 * halfDigits) {
        return false;
    }
    return readHalf(text.substr(0, halfDigits), value.high) && readHalf(text.substr(halfDigits), value.low);
}

} // namespace pistachioquay
