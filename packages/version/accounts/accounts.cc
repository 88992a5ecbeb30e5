#include "version/accounts/accounts.h"

#include <algorithm>
#include <random>

#include <xxhash.h>

namespace pistachioquay {

namespace {

std::uint64_t processSecret()
{
    static const std::uint64_t secret = [] {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }();
    return secret;
}

} // namespace

bool hasControlCharacters(std::string_view text)
{
    return std::ranges::any_of(text, [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte < 0x20 || byte == 0x7f;
    });
}

hash128 hashKey(std::string_view key)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(key.data(), key.size(), processSecret());
    return {hash.high64, hash.low64};
}

bool addKey(account_table &table, std::string_view key, std::uint32_t position)
{
    const auto [found, isNew] = table.accountByKey.try_emplace(hashKey(key), position);
    return isNew || found->second == position;
}

const client_account *findAccount(const account_table &table, std::string_view key)
{
    const auto found = table.accountByKey.find(hashKey(key));
    return found == table.accountByKey.end() ? nullptr : &table.accounts.at(found->second);
}

} // namespace pistachioquay
