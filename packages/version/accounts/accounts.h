// Client accounts of one configuration version, looked up by the key that a request carries. Tables are immutable, like
// the route table that holds them.
//
//   const client_account *account = findAccount(table, key);
//   if (account == nullptr) return unauthorized();
//
// A table keeps no keys, only their hashes under a random secret of the process. Neither a dump of the state nor the
// time of a lookup reveals a key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/hash.h"

namespace pistachioquay {

inline constexpr std::size_t maxAccountNameBytes = 256; // longest name of an account

// An account of a client and its allowance, which holds for all nodes together.
struct client_account
{
    std::string name;
    std::optional<std::uint32_t> priority; // takes precedence over the priority of a route; 0 is the most urgent
    double ratePerS = 0; // requests a second; 0: no limit
    double burst = 0; // requests beyond the rate that may come at once

    friend auto operator<=>(const client_account &, const client_account &) = default;
};

struct key_hasher
{
    std::size_t operator()(const hash128 &hash) const
    {
        return static_cast<std::size_t>(hash.low);
    }
};

struct account_table
{
    bool areKeysRequired = false; // the configuration has accounts: a request needs a key unless its route is open
    std::vector<client_account> accounts;
    std::unordered_map<hash128, std::uint32_t, key_hasher> accountByKey; // position in `accounts` by hash of the key

    friend bool operator==(const account_table &, const account_table &) = default;
};

// hasControlCharacters returns whether a text cannot be sent as the value of a header. Thread safe.
bool hasControlCharacters(std::string_view text);

// hashKey returns the hash under which a table holds a key. Thread safe.
hash128 hashKey(std::string_view key);

// addKey lets a key select the account at a position. Returns false if the key selects another account already.
bool addKey(account_table &table, std::string_view key, std::uint32_t position);

// findAccount returns the account of a key; null if no account has it. The pointer is valid as long as `table` exists.
// Thread safe.
const client_account *findAccount(const account_table &table, std::string_view key);

} // namespace pistachioquay
