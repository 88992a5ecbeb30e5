// Types and ranges of the keys of each kind.
//
//   BOOST_LEAF_CHECK(checkValue(path, scalar(std::int64_t(600))));
//   BOOST_LEAF_AUTO(value, valueFromText(path, "600"));
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "version/tree/path.h"

namespace pistachioquay {

// What a key holds.
enum class key_type : std::uint8_t
{
    Flag,
    Number, // whole number between `least` and `most`
    Class, // name of a work class
    Name, // name of a service, policy or limit
    Prefix, // path prefix of whole segments
    Methods, // comma separated HTTP methods; empty: all
    Percent, // decimal number from 0 to 100, kept as its shortest text
};

struct key_rule
{
    value_kind kind = value_kind::None;
    std::string_view key;
    key_type type = key_type::Number;
    std::int64_t least = 0;
    std::int64_t most = 0;
};

// keyRules lists all keys, ordered by kind. Thread safe.
std::span<const key_rule> keyRules();

// findRule returns the rule of a key; null if the kind has no such key. Thread safe.
const key_rule *findRule(value_kind kind, std::string_view key);

// checkValue fails with InvalidTree, naming the path and the remedy, if the name is not a name, the key is unknown or
// the value has a wrong type or is out of range. Thread safe.
result<void> checkValue(const tree_path &path, const scalar &value);

// checkKey fails with InvalidTree if the name of a value is not a name or its key is unknown. Thread safe.
result<void> checkKey(const tree_path &path);

// valueFromText reads a value as an operator types it (`true`, `600`, `/orders`). Thread safe. Fails with InvalidTree.
result<scalar> valueFromText(const tree_path &path, std::string_view text);

// percentText returns the canonical text of a decimal number. Thread safe.
std::string percentText(double number);

} // namespace pistachioquay
