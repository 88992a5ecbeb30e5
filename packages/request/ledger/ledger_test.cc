// Guards against a request that runs twice because its sender repeats it, or runs after its sender was told that it has
// not.
#include <catch2/catch.hpp>

#include "request/ledger/ledger.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero

} // namespace

TEST_CASE("a repeat finds the open request, then its response")
{
    deduplication_table<std::string> ledger;
    CHECK(ledger.begin("r1", start) == deduplication_state::New);
    CHECK(ledger.begin("r1", start) == deduplication_state::Open);
    ledger.end("r1", "done", 4, start);
    CHECK(ledger.begin("r1", start) == deduplication_state::Completed);
    REQUIRE(ledger.response("r1") != nullptr);
    CHECK(*ledger.response("r1") == "done");
}

TEST_CASE("an id is known for longer than its response is kept")
{
    deduplication_table<std::string> ledger;
    ledger.begin("r1", start);
    ledger.end("r1", "done", 4, start);
    CHECK(ledger.begin("r1", start + responseKept) == deduplication_state::Completed);
    CHECK(ledger.response("r1") == nullptr);
    CHECK(ledger.begin("r1", start + idKept) == deduplication_state::New);
}

TEST_CASE("bytes of an old connection that arrive after a refused repeat do not run")
{
    deduplication_table<std::string> ledger;
    REQUIRE(ledger.begin("r1", start) == deduplication_state::New);
    ledger.markNeverRun("r1", start);
    CHECK(ledger.begin("r1", start + seconds(1)) == deduplication_state::Void);
}

TEST_CASE("a refused first send may come again")
{
    deduplication_table<std::string> ledger;
    ledger.begin("r1", start);
    ledger.forget("r1");
    CHECK(ledger.begin("r1", start) == deduplication_state::New);
}

TEST_CASE("kept responses are bounded by bytes, and ids stay known")
{
    deduplication_table<std::string> ledger;
    for (int index = 0; index < 20; ++index) {
        const std::string id = std::to_string(index);
        ledger.begin(id, start);
        ledger.end(id, "response", maxKeptBytes / 8, start);
    }
    ledger.begin("next", start);
    CHECK(ledger.response("0") == nullptr);
    CHECK(ledger.response("19") != nullptr);
    CHECK(ledger.begin("0", start) == deduplication_state::Completed);
    CHECK(ledger.size() == 21);
}
