#include "connection/http/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>

namespace pistachioquay {

namespace {

constexpr std::array<std::string_view, 11> hopByHopNames = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
    "transfer-encoding",
    "content-length",
    "expect",
};

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t");
    return text.substr(first, last - first + 1);
}

// Names that the `Connection` headers list as valid for one hop only.
std::vector<std::string_view> namedByConnection(const header_list &headers)
{
    std::vector<std::string_view> names;
    for (const header_field &field : headers) {
        if (!isSameHeaderName(field.name, "connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.push_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

} // namespace

void setBody(http_response &response, std::optional<std::string> whole, body_reader read)
{
    if (whole && response.head.bodyLength.value_or(whole->size()) == whole->size()) {
        response.head.bodyLength = whole->size();
        response.text = std::move(*whole);
    } else {
        response.read = std::move(read);
    }
}

http_response textResponse(unsigned status, std::string_view contentType, std::string text)
{
    http_response response;
    response.head.status = status;
    response.head.headers.push_back({"Content-Type", std::string(contentType)});
    response.head.bodyLength = text.size();
    response.text = std::move(text);
    return response;
}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

bool isHeaderName(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char letter) {
        return (letter >= '0' && letter <= '9') || (lower(letter) >= 'a' && lower(letter) <= 'z')
            || marks.find(letter) != std::string_view::npos;
    });
}

bool isHeaderValue(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::ranges::all_of(text, [](unsigned char letter) {
        return (letter >= firstPrintable && letter != deleteCharacter) || letter == '\t';
    });
}

std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name)
{
    const auto found = std::ranges::find_if(headers, [&](const header_field &field) {
        return isSameHeaderName(field.name, name);
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

void eraseHeader(header_list &headers, std::string_view name)
{
    std::erase_if(headers, [&](const header_field &field) {
        return isSameHeaderName(field.name, name);
    });
}

void setHeader(header_list &headers, std::string_view name, std::string_view value)
{
    eraseHeader(headers, name);
    headers.push_back({std::string(name), std::string(value)});
}

header_list endToEndHeaders(const header_list &headers)
{
    const std::vector<std::string_view> named = namedByConnection(headers);
    const auto isDropped = [&](const header_field &field) {
        const auto isName = [&](std::string_view name) {
            return isSameHeaderName(field.name, name);
        };
        return std::ranges::any_of(hopByHopNames, isName) || std::ranges::any_of(named, isName);
    };
    header_list kept;
    std::ranges::remove_copy_if(headers, std::back_inserter(kept), isDropped);
    return kept;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

bool isBodiless(std::string_view method, unsigned status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

} // namespace pistachioquay
