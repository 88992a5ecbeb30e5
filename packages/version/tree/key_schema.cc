#include "version/tree/key_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "base/work_class.h"

namespace pistachioquay {

namespace {

constexpr std::int64_t maxDurationMs = 3'600'000;
constexpr std::int64_t maxRetries = 10;
constexpr std::int64_t maxRequestsPerSecond = 10'000'000;
constexpr std::int64_t maxConcurrency = 1'000'000;
constexpr std::size_t maxTextSize = 1024;

constexpr std::array<key_rule, 14> rules = {{
    {value_kind::Limit, "concurrency", key_type::Number, 0, maxConcurrency},
    {value_kind::Limit, "requests_per_s", key_type::Number, 0, maxRequestsPerSecond},
    {value_kind::Objective, "latency_ms", key_type::Number, 1, maxDurationMs},
    {value_kind::Objective, "target_percent", key_type::Percent, 0, 100},
    {value_kind::Policy, "class", key_type::Class, 0, 0},
    {value_kind::Policy, "deadline_ms", key_type::Number, 1, maxDurationMs},
    {value_kind::Policy, "hedge_after_ms", key_type::Number, 0, maxDurationMs},
    {value_kind::Policy, "idempotent", key_type::Flag, 0, 0},
    {value_kind::Policy, "retries", key_type::Number, 0, maxRetries},
    {value_kind::Route, "limit", key_type::Name, 0, 0},
    {value_kind::Route, "methods", key_type::Methods, 0, 0},
    {value_kind::Route, "policy", key_type::Name, 0, 0},
    {value_kind::Route, "prefix", key_type::Prefix, 0, 0},
    {value_kind::Route, "service", key_type::Name, 0, 0},
}};

boost::leaf::error_id invalid(const tree_path &path, std::string_view what, std::string_view remedy)
{
    return fail(error_kind::InvalidTree, "`" + toText(path) + "` " + std::string(what), remedy);
}

std::optional<double> percentFromText(std::string_view text)
{
    double number = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc{} || stop != end || !(number >= 0 && number <= 100)) {
        return std::nullopt;
    }
    return number;
}

bool isPercent(std::string_view text)
{
    const auto number = percentFromText(text);
    return number && percentText(*number) == text;
}

bool isPrefix(std::string_view text)
{
    if (text.empty() || text.front() != '/' || text.size() > maxTextSize) {
        return false;
    }
    const bool isPlain = std::ranges::all_of(text, [](char character) {
        return character > ' ' && character <= '~'
            && std::string_view("?#\"\\").find(character) == std::string_view::npos;
    });
    return isPlain && text.find("//") == std::string_view::npos && (text.size() == 1 || text.back() != '/');
}

bool isMethod(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char character) {
        return character >= 'A' && character <= 'Z';
    });
}

bool isMethodList(std::string_view text)
{
    if (text.empty()) {
        return true;
    }
    if (text.size() > maxTextSize) {
        return false;
    }
    while (true) {
        const std::size_t comma = text.find(',');
        if (!isMethod(text.substr(0, comma))) {
            return false;
        }
        if (comma == std::string_view::npos) {
            return true;
        }
        text.remove_prefix(comma + 1);
    }
}

bool isProperText(key_type type, std::string_view text)
{
    switch (type) {
    case key_type::Class:
        return classFromName(text).has_value();
    case key_type::Name:
        return isName(text);
    case key_type::Prefix:
        return isPrefix(text);
    case key_type::Methods:
        return isMethodList(text);
    case key_type::Percent:
        return isPercent(text);
    case key_type::Flag:
    case key_type::Number:
        break;
    }
    return false;
}

bool isProper(const key_rule &rule, const scalar &value)
{
    if (rule.type == key_type::Flag) {
        return std::holds_alternative<bool>(value);
    }
    if (rule.type == key_type::Number) {
        const auto *number = std::get_if<std::int64_t>(&value);
        return number != nullptr && *number >= rule.least && *number <= rule.most;
    }
    const auto *text = std::get_if<std::string>(&value);
    return text != nullptr && isProperText(rule.type, *text);
}

std::string remedyFor(const key_rule &rule)
{
    switch (rule.type) {
    case key_type::Flag:
        return "write true or false";
    case key_type::Number:
        return "write a whole number from " + std::to_string(rule.least) + " to " + std::to_string(rule.most);
    case key_type::Class:
        return "write \"lookup\", \"interactive\", \"upload\" or \"background\"";
    case key_type::Name:
        return "write a name of letters, digits, `_` and `-`";
    case key_type::Prefix:
        return "write a path such as \"/orders\": it starts with `/` and has no `/` at its end, query or space";
    case key_type::Methods:
        return "write upper-case methods separated by commas, such as \"GET,POST\", or \"\" for all";
    case key_type::Percent:
        return "write a decimal number from 0 to 100, such as 99.9";
    }
    return "";
}

std::string knownKeys(value_kind kind)
{
    std::string names;
    for (const key_rule &rule : rules) {
        if (rule.kind == kind) {
            names += (names.empty() ? "" : ", ") + std::string(rule.key);
        }
    }
    return names;
}

} // namespace

std::span<const key_rule> keyRules()
{
    return rules;
}

const key_rule *findRule(value_kind kind, std::string_view key)
{
    const auto *found = std::ranges::find_if(rules, [&](const key_rule &rule) {
        return rule.kind == kind && rule.key == key;
    });
    return found == rules.end() ? nullptr : found;
}

result<void> checkKey(const tree_path &path)
{
    if (!isName(path.key.name)) {
        return invalid(path, "has an improper name", "use letters, digits, `_` and `-` in names");
    }
    if (findRule(path.key.kind, path.key.key) == nullptr) {
        return invalid(path, "has an unknown key", "remove it or use one of: " + knownKeys(path.key.kind));
    }
    return {};
}

result<void> checkValue(const tree_path &path, const scalar &value)
{
    BOOST_LEAF_CHECK(checkKey(path));
    const key_rule *rule = findRule(path.key.kind, path.key.key);
    if (!isProper(*rule, value)) {
        return invalid(path, "has a wrong type or is out of range", remedyFor(*rule));
    }
    return {};
}

result<scalar> valueFromText(const tree_path &path, std::string_view text)
{
    BOOST_LEAF_CHECK(checkKey(path));
    const key_rule *rule = findRule(path.key.kind, path.key.key);
    scalar value = std::string(text);
    if (rule->type == key_type::Flag && (text == "true" || text == "false")) {
        value = text == "true";
    }
    if (rule->type == key_type::Number) {
        std::int64_t number = 0;
        const auto *end = text.data() + text.size();
        const auto [stop, status] = std::from_chars(text.data(), end, number);
        if (status == std::errc{} && stop == end) {
            value = number;
        }
    }
    if (rule->type == key_type::Percent) {
        if (const auto number = percentFromText(text)) {
            value = percentText(*number);
        }
    }
    BOOST_LEAF_CHECK(checkValue(path, value));
    return value;
}

std::string percentText(double number)
{
    std::array<char, 32> digits{};
    const auto [end, status] =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, std::chars_format::fixed);
    return status == std::errc{} ? std::string(digits.data(), end) : std::string("0");
}

} // namespace pistachioquay
