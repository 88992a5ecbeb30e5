// 128-bit content hashes and stable 64-bit hashes (xxHash3), equal on every node.
// The NOLINT mark answers a false report of clang-tidy 14 on defaulted comparisons.
//
//   const hash128 digest = hashBytes(record);
//   LOG(INFO) << "[fold] record " << toHex(digest);
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachioquay {

// A 128-bit value: a content hash or a random id.
struct hash128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const hash128 &, const hash128 &) = default; // NOLINT(modernize-use-nullptr)

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(high, low);
    }
};

// hashBytes returns the 128-bit hash of `bytes`. Thread safe.
hash128 hashBytes(std::string_view bytes);

// hash64 returns the 64-bit hash of `bytes` with `seed`. Thread safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// toHex returns 32 lower-case hexadecimal digits. Thread safe.
std::string toHex(const hash128 &value);

// hashFromHex reads what `toHex` wrote; false if `text` is not 32 hexadecimal digits. Thread safe.
bool hashFromHex(std::string_view text, hash128 &value);

} // namespace pistachioquay
