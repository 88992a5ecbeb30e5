#include "version/tree/path.h"

#include <algorithm>
#include <array>
#include <vector>

namespace pistachioquay {

namespace {

constexpr std::array<std::string_view, 5> kindNames = {"", "limit", "objective", "policy", "route"};
constexpr std::string_view absent = "-";

std::vector<std::string_view> splitLevels(std::string_view text)
{
    std::vector<std::string_view> levels;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = text.find('/', start);
        levels.push_back(text.substr(start, end - start));
        if (end == std::string_view::npos) {
            return levels;
        }
        start = end + 1;
    }
}

std::string levelFromText(std::string_view text)
{
    return text == absent ? std::string() : std::string(text);
}

std::string_view levelText(const std::string &level)
{
    return level.empty() ? absent : std::string_view(level);
}

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9');
}

result<place> placeFromLevels(std::string_view dataCentre, std::string_view service)
{
    place where{levelFromText(dataCentre), levelFromText(service)};
    const auto checked = attempt([&] {
        return checkPlace(where);
    });
    if (!checked) {
        return fail(error_kind::InvalidArgument, checked.failure().message, checked.failure().remedy);
    }
    return where;
}

} // namespace

std::string_view kindText(value_kind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

value_kind kindFromText(std::string_view text)
{
    const auto *found = std::ranges::find(kindNames, text);
    if (found == kindNames.end()) {
        return value_kind::None;
    }
    return static_cast<value_kind>(found - kindNames.begin());
}

bool isName(std::string_view text)
{
    constexpr std::size_t maxNameSize = 64;
    if (text.empty() || text.size() > maxNameSize || !isLetterOrDigit(text.front())) {
        return false;
    }
    return std::ranges::all_of(text, [](char character) {
        return isLetterOrDigit(character) || character == '_' || character == '-';
    });
}

tree_path placePath(place where)
{
    return {std::move(where), {}};
}

result<void> checkPlace(const place &where)
{
    const bool isProper = (where.dataCentre.empty() || isName(where.dataCentre))
        && (where.service.empty() || (isName(where.service) && !where.dataCentre.empty()));
    if (!isProper) {
        return fail(error_kind::InvalidTree,
                    "`" + toText(where) + "` names no place",
                    "name a data centre, or a data centre and a service, with letters, digits, `_` and `-`");
    }
    return {};
}

result<tree_path> parsePath(std::string_view text)
{
    constexpr std::size_t levelCount = 5;
    const auto levels = splitLevels(text);
    if (levels.size() != levelCount) {
        return fail(error_kind::InvalidArgument,
                    "`" + std::string(text) + "` is not a path",
                    "write DATA_CENTRE/SERVICE/KIND/NAME/KEY with `-` for an absent level");
    }
    tree_path path;
    BOOST_LEAF_ASSIGN(path.where, placeFromLevels(levels[0], levels[1]));
    path.key.kind = kindFromText(levels[2]);
    path.key.name = levels[3];
    path.key.key = levels[4];
    if (path.key.kind == value_kind::None) {
        return fail(error_kind::InvalidArgument,
                    "`" + std::string(levels[2]) + "` in `" + std::string(text) + "` is not a kind",
                    "use route, policy, limit or objective");
    }
    return path;
}

result<place> parsePlace(std::string_view text)
{
    const auto levels = splitLevels(text);
    if (text.empty()) {
        return place{};
    }
    if (levels.size() > 2) {
        return fail(error_kind::InvalidArgument,
                    "`" + std::string(text) + "` is not a place",
                    "write DATA_CENTRE, DATA_CENTRE/SERVICE, or `-` for the deployment");
    }
    return placeFromLevels(levels[0], levels.size() == 2 ? levels[1] : absent);
}

std::string toText(const place &where)
{
    std::string text(levelText(where.dataCentre));
    text += '/';
    text += levelText(where.service);
    return text;
}

std::string toText(const tree_path &path)
{
    std::string text = toText(path.where);
    if (!path.isPlace()) {
        text += '/';
        text += kindText(path.key.kind);
        text += '/' + path.key.name + '/' + path.key.key;
    }
    return text;
}

std::string toText(const scalar &value)
{
    if (const auto *flag = std::get_if<bool>(&value)) {
        return *flag ? "true" : "false";
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*number);
    }
    return std::get<std::string>(value);
}

} // namespace pistachioquay
