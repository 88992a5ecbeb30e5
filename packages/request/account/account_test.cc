// Guards against requests that run on behalf of no account or of another one than that of their key, and against a 401
// for a key that is not known to be wrong.
#include <catch2/catch.hpp>

#include <vector>

#include "request/account/account.h"

using namespace pistachioquay;

namespace {

account_table tableOfTwo()
{
    account_table table;
    table.areKeysRequired = true;
    table.accounts = {{"a", 2}, {"b"}};
    addKey(table, "key-a", 0);
    addKey(table, "key-b", 1);
    return table;
}

key_decision
decide(const std::vector<std::string_view> &credentials, bool allowsAnonymous = false, bool isProven = true)
{
    static const account_table table = tableOfTwo();
    return decideKey(table, allowsAnonymous, credentials, "Token", isProven);
}

} // namespace

TEST_CASE("a key selects its account, also on a route that needs none")
{
    REQUIRE(decide({"Token key-a"}).account != nullptr);
    CHECK(decide({"Token key-a"}).account->name == "a");
    CHECK(decide({"Token key-b"}, true).account->name == "b");
    CHECK(decide({"token  key-b "}).account->name == "b");
    CHECK(decide({"Token key-a", "Token key-a"}).account->name == "a");
}

TEST_CASE("unknown, ambiguous and malformed keys are rejected, also on a route that needs none")
{
    const bool allowsAnonymous = GENERATE(false, true);
    CHECK(decide({"Token key-c"}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({"Token key-a", "Token key-b"}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({"Token key-a", ""}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({"key-a"}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({"Basic key-a"}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({"Token"}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({""}, allowsAnonymous) == key_decision{key_verdict::Rejected});
    CHECK(decide({std::string_view("Token key-a\0", 12)}, allowsAnonymous) == key_decision{key_verdict::Rejected});
}

TEST_CASE("a request without a key is open only on a route that needs none, with or without a proof")
{
    const bool isProven = GENERATE(false, true);
    CHECK(decide({}, true, isProven) == key_decision{key_verdict::Open});
    CHECK(decide({}, false, isProven) == key_decision{key_verdict::Rejected});
}

TEST_CASE("a key is neither accepted nor rejected without a proof")
{
    CHECK(decide({"Token key-a"}, false, false) == key_decision{key_verdict::Unproven});
    CHECK(decide({"Token key-c"}, true, false) == key_decision{key_verdict::Unproven});
}

TEST_CASE("a configuration without accounts leaves every request open")
{
    const std::vector<std::string_view> credentials = {"Token key-a"};
    CHECK(decideKey({}, false, credentials, "Token", false) == key_decision{key_verdict::Open});
}
