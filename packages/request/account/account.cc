#include "request/account/account.h"

#include <algorithm>
#include <cctype>
#include <functional>

namespace pistachioquay {

namespace {

std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Returns the key of a header value; empty if the value has another scheme or no key.
std::string_view keyOf(std::string_view credentials, std::string_view scheme)
{
    credentials = trimBlanks(credentials);
    const std::string_view word = credentials.substr(0, credentials.find_first_of(" \t"));
    const bool isScheme = std::ranges::equal(word, scheme, [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
    return isScheme ? trimBlanks(credentials.substr(word.size())) : std::string_view();
}

} // namespace

key_decision decideKey(const account_table &table,
                       bool allowsAnonymous,
                       std::span<const std::string_view> credentials,
                       std::string_view scheme,
                       bool isProven)
{
    if (!table.areKeysRequired) {
        return {key_verdict::Open};
    }
    if (credentials.empty()) {
        return {allowsAnonymous ? key_verdict::Open : key_verdict::Rejected};
    }
    // Two different values are rejected whatever they are: no choice between them would be the caller's.
    const std::string_view key = keyOf(credentials.front(), scheme);
    const bool isAmbiguous = std::ranges::adjacent_find(credentials, std::ranges::not_equal_to{}) != credentials.end();
    if (isAmbiguous || key.empty()) {
        return {key_verdict::Rejected};
    }
    if (!isProven) {
        return {key_verdict::Unproven}; // also if the key is unknown: a newer configuration may have it
    }
    const client_account *account = findAccount(table, key);
    return account == nullptr ? key_decision{key_verdict::Rejected} : key_decision{key_verdict::Account, account};
}

} // namespace pistachioquay
