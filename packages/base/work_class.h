// Classes of work, in the order in which waiting requests are served.
//
//   if (classOf(policy) == work_class::Background && isCrowded) refuse();
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pistachioquay {

// Smaller values are served first.
enum class work_class : std::uint8_t
{
    Lookup,
    Interactive,
    Upload,
    Background,
};

inline constexpr std::array<std::string_view, 4> workClassNames = {"lookup", "interactive", "upload", "background"};

// className returns the name that the tree and the HTTP headers use. Thread safe.
constexpr std::string_view className(work_class value)
{
    return workClassNames.at(static_cast<std::size_t>(value));
}

// classFromName reads what `className` wrote; empty for any other text. Thread safe.
constexpr std::optional<work_class> classFromName(std::string_view name)
{
    for (std::size_t index = 0; index < workClassNames.size(); ++index) {
        if (workClassNames.at(index) == name) {
            return static_cast<work_class>(index);
        }
    }
    return std::nullopt;
}

} // namespace pistachioquay
