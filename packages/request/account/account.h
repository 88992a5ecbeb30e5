// Decides on whose behalf a request runs, from the key that it carries.
//
//   const key_decision decision = decideKey(table.accounts, route.allowsAnonymous, credentials, isProven(freshness,
//   now)); if (decision.verdict == key_verdict::Rejected) return unauthorized();
//
// Load pattern: callers that guess keys, or that go on with one that was taken away, are refused by one lookup at the
// node where they enter the mesh. They take no slot, no queue and no bandwidth between nodes.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "version/accounts/accounts.h"

namespace pistachioquay {

enum class key_verdict : std::uint8_t
{
    Open, // the request needs no account and has none
    Account, // the request runs on behalf of an account
    Rejected, // its key is unknown, ambiguous or missing: 401
    Unproven, // its key cannot be checked now, because it may have been taken away: 503
};

struct key_decision
{
    key_verdict verdict = key_verdict::Rejected;
    const client_account *account = nullptr; // set if the verdict is Account; valid as long as the table

    friend bool operator==(const key_decision &, const key_decision &) = default;
};

// decideKey decides from the values of all authorization headers of a request, in the form `SCHEME KEY`. The scheme is
// compared without regard to case. `isProven` is whether the table is known to hold no key that was taken away. A table
// without accounts leaves every request open. Thread safe.
key_decision decideKey(const account_table &table,
                       bool allowsAnonymous,
                       std::span<const std::string_view> credentials,
                       std::string_view scheme,
                       bool isProven);

} // namespace pistachioquay
