// Guards against a request that runs twice because its sender sent it again, or that runs after its sender was told
// that it has not run.
#include <catch2/catch.hpp>

#include "request/ledger/ledger.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock

} // namespace

TEST_CASE("a duplicate finds the request in progress, then its response")
{
    deduplication_table<std::string> table;
    CHECK(table.begin("r1", start) == deduplication_state::New);
    CHECK(table.begin("r1", start) == deduplication_state::Open);
    table.end("r1", "done", 4, start);
    CHECK(table.begin("r1", start) == deduplication_state::Completed);
    REQUIRE(table.response("r1") != nullptr);
    CHECK(*table.response("r1") == "done");
}

TEST_CASE("an id is kept for longer than its response")
{
    deduplication_table<std::string> table;
    table.begin("r1", start);
    table.end("r1", "done", 4, start);
    CHECK(table.begin("r1", start + responseRetention) == deduplication_state::Completed);
    CHECK(table.response("r1") == nullptr);
    CHECK(table.begin("r1", start + idRetention) == deduplication_state::New);
}

TEST_CASE("a request from an old connection does not run after its duplicate was refused")
{
    deduplication_table<std::string> table;
    REQUIRE(table.begin("r1", start) == deduplication_state::New);
    table.markNeverRun("r1", start);
    CHECK(table.begin("r1", start + seconds(1)) == deduplication_state::Void);
}

TEST_CASE("a request that was refused at first may be sent again")
{
    deduplication_table<std::string> table;
    table.begin("r1", start);
    table.forget("r1");
    CHECK(table.begin("r1", start) == deduplication_state::New);
}

TEST_CASE("kept responses are limited by their total size, and their ids stay in the table")
{
    deduplication_table<std::string> table;
    for (int index = 0; index < 20; ++index) {
        const std::string id = std::to_string(index);
        table.begin(id, start);
        table.end(id, "response", maxRetainedBytes / 8, start);
    }
    table.begin("next", start);
    CHECK(table.response("0") == nullptr);
    CHECK(table.response("19") != nullptr);
    CHECK(table.begin("0", start) == deduplication_state::Completed);
    CHECK(table.size() == 21);
}
