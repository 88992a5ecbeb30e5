#include "base/error.h"

#include <array>

namespace pistachioquay {

boost::leaf::error_id fail(error_kind kind, std::string_view message, std::string_view remedy)
{
    return fail(error{kind, std::string(message), std::string(remedy)});
}

boost::leaf::error_id fail(const error &failure)
{
    return boost::leaf::new_error(failure);
}

std::string_view kindName(error_kind kind)
{
    constexpr std::array<std::string_view, 12> names = {
        "invalid_argument",
        "invalid_settings",
        "invalid_tree",
        "conflict",
        "not_found",
        "unavailable",
        "timeout",
        "corrupt",
        "unreadable_schema",
        "resource_exhausted",
        "io",
        "internal",
    };
    return names.at(static_cast<std::size_t>(kind));
}

std::string describe(const error &failure)
{
    std::string text(kindName(failure.kind));
    text += ": " + failure.message;
    if (!failure.remedy.empty()) {
        text += "; " + failure.remedy;
    }
    return text;
}

} // namespace pistachioquay
