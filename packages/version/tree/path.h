// Names of places and values in the tree, and the scalars that values hold.
// The NOLINT marks answer a false report of clang-tidy 14 on defaulted comparisons.
//
//   const auto path = attempt([] { return parsePath("be-1/orders/policy/order/deadline_ms"); });
//   if (path) std::cout << toText(path->where) << ' ' << path->key.key;
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.h"

namespace pistachioquay {

// Kinds of values. `None` only occurs in paths that name a place.
enum class value_kind : std::uint8_t
{
    None,
    Limit,
    Objective,
    Policy,
    Route,
};

// The deployment (both empty), a data centre, or a service in a data centre.
struct place
{
    std::string dataCentre;
    std::string service;

    friend auto operator<=>(const place &, const place &) = default; // NOLINT(modernize-use-nullptr)
};

// A value_key without copies of its texts, for look-ups.
struct value_key_view
{
    value_kind kind = value_kind::None;
    std::string_view name;
    std::string_view key;

    friend auto operator<=>(const value_key_view &, const value_key_view &) = default; // NOLINT(modernize-use-nullptr)
};

// The part of a path below the place.
struct value_key
{
    value_kind kind = value_kind::None;
    std::string name;
    std::string key;

    operator value_key_view() const
    {
        return {kind, name, key};
    }

    friend auto operator<=>(const value_key &, const value_key &) = default; // NOLINT(modernize-use-nullptr)
};

// Orders keys by kind, name and key; compares keys with views of keys.
struct value_key_less
{
    using is_transparent = void;

    bool operator()(const value_key_view &left, const value_key_view &right) const
    {
        return left < right;
    }
};

// The name of one value, or of a place if `key.kind` is None. In this order, everything in and below a place is one
// contiguous range that starts with the place itself.
struct tree_path
{
    place where;
    value_key key;

    bool isPlace() const
    {
        return key.kind == value_kind::None;
    }

    friend auto operator<=>(const tree_path &, const tree_path &) = default; // NOLINT(modernize-use-nullptr)
};

using scalar = std::variant<bool, std::int64_t, std::string>;

// kindText returns the name of a kind in paths and TOML; empty for None. Thread safe.
std::string_view kindText(value_kind kind);

// kindFromText reads what `kindText` wrote; None for any other text. Thread safe.
value_kind kindFromText(std::string_view text);

// isName tells whether `text` can name a data centre, service, route, policy, limit or objective: 1 to 64 letters,
// digits, `_` or `-`, starting with a letter or digit. Thread safe.
bool isName(std::string_view text);

// placePath returns the path that names a place. Thread safe.
tree_path placePath(place where);

// parsePath reads "DATA_CENTRE/SERVICE/KIND/NAME/KEY" with `-` for an absent level. Thread safe. Fails with
// InvalidArgument. The key itself is checked by `checkValue`.
result<tree_path> parsePath(std::string_view text);

// parsePlace reads "DATA_CENTRE/SERVICE", "DATA_CENTRE", "-" or "" (deployment). Thread safe. Fails with
// InvalidArgument.
result<place> parsePlace(std::string_view text);

// checkPlace fails with InvalidTree if a level has no proper name or a service has no data centre. Thread safe.
result<void> checkPlace(const place &where);

// toText returns "DATA_CENTRE/SERVICE" with `-` for absent levels. Thread safe.
std::string toText(const place &where);

// toText returns the text form of a path; the form of the place if the path names a place. Thread safe.
std::string toText(const tree_path &path);

// toText returns `true`, a decimal number, or the text itself. Thread safe.
std::string toText(const scalar &value);

} // namespace pistachioquay
