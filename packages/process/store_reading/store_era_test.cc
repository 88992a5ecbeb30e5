// Guards against believing what the store confirmed before it came back from a copy, and against late responses of an
// earlier era.
#include <catch2/catch.hpp>

#include "process/store_reading/store_era.h"
#include "process/store_reading/version_log.h"

using namespace pistachioquay;

namespace {

const boot_time start{std::chrono::hours(5)};

store_eras knownEra(std::uint64_t era, boot_time since)
{
    store_eras eras;
    REQUIRE(recordEra(eras, era, since, since) == era_change::First);
    return eras;
}

} // namespace

TEST_CASE("a higher era is a return of the store, by whatever it has risen, and the first one is none")
{
    const std::uint64_t next = GENERATE(std::uint64_t{4}, std::uint64_t{9});
    store_eras eras = knownEra(3, start);
    CHECK_FALSE(mayLackWrites(eras, start));
    CHECK(recordEra(eras, 3, start, start + seconds(1)) == era_change::None);
    CHECK(recordEra(eras, next, start + seconds(1), start + seconds(2)) == era_change::Returned);
    CHECK(isCurrent(eras, next));
    CHECK_FALSE(isCurrent(eras, 3));
    CHECK(mayLackWrites(eras, start + seconds(1)));
    CHECK(mayLackWrites(eras, start + seconds(2) + rewriteTime - milliseconds(1)));
    CHECK_FALSE(mayLackWrites(eras, start + seconds(2) + rewriteTime));
}

TEST_CASE("a response of an earlier era that was under way is outdated; one to a later call is believed")
{
    store_eras eras = knownEra(3, start);
    recordEra(eras, 4, start, start + seconds(2));
    const store_eras before = eras;
    CHECK(recordEra(eras, 3, start + seconds(1), start + seconds(3)) == era_change::Outdated);
    CHECK(eras == before);
    CHECK(recordEra(eras, 3, start + seconds(3), start + seconds(4)) == era_change::Returned);
    CHECK(isCurrent(eras, 3));
}

TEST_CASE("an era that another node tells is believed if it is higher, until the store refutes it")
{
    store_eras eras;
    constexpr milliseconds age{300};
    CHECK_FALSE(recordToldEra(eras, 7, age, start)); // the store itself tells the first one
    eras = knownEra(3, start);
    CHECK_FALSE(recordToldEra(eras, 2, age, start));
    CHECK_FALSE(recordToldEra(eras, 3, age, start));
    CHECK(recordToldEra(eras, 4, age, start));
    CHECK(mayLackWrites(eras, start));
    CHECK(provableFrom(eras) == start - age + rewriteTime);
    CHECK(recordEra(eras, 4, start, start + seconds(1)) == era_change::None);
    CHECK(recordToldEra(eras, 900, age, start + seconds(2)));
    CHECK(recordEra(eras, 4, start + seconds(3), start + seconds(3)) == era_change::Returned);
    CHECK_FALSE(recordToldEra(eras, 900, age, start + seconds(4)));
    CHECK_FALSE(recordToldEra(eras, 5, age, start + seconds(4)));
    CHECK(recordEra(eras, 5, start + seconds(4), start + seconds(5)) == era_change::Returned);
}

// Guards against a process that starts after a return and takes its first read for a proof, although the operator has
// not yet written again what the store has lost.
TEST_CASE("the first reads of a process prove nothing, unless another node has known the era for long")
{
    store_eras eras;
    CHECK(start < provableFrom(eras));
    eras = knownEra(3, start);
    CHECK(provableFrom(eras) == start + rewriteTime);
    CHECK_FALSE(recordToldEra(eras, 3, milliseconds(200), start + milliseconds(500))); // less than this node itself
    CHECK(provableFrom(eras) == start + rewriteTime);
    CHECK_FALSE(recordToldEra(eras, 3, seconds(60), start + milliseconds(500)));
    CHECK(provableFrom(eras) < start);
    CHECK_FALSE(mayLackWrites(eras, start)); // there was no return
}

TEST_CASE("a position of an earlier era is older, whatever its offset, and is not read from")
{
    CHECK(store_position{1, 900} < store_position{2, 0});
    CHECK(store_position{2, 3} < store_position{2, 4});
    store_eras eras = knownEra(1, start);
    version_log log;
    CHECK_FALSE(readPosition(log, eras, 0));
    recordLogRead(log, {.position = {1, 5}, .isComplete = true, .hasNewest = true, .version = 3}, 0, false);
    log.appliedVersion = 3;
    CHECK(readPosition(log, eras, 3) == store_position{1, 5});
    CHECK_FALSE(readPosition(log, eras, 4)); // applied from another node
    recordEra(eras, 2, start, start);
    CHECK_FALSE(readPosition(log, eras, 3));
}

TEST_CASE("a read of a store that has lost the applied version proves nothing until it shows that version again")
{
    version_log log;
    const log_read newest{.position = {1, 5}, .isComplete = true, .hasNewest = true, .version = 3};
    CHECK(provesNewest(recordLogRead(log, newest, 0, false)));
    const log_read nothing{.position = {1, 5}, .isComplete = true};
    CHECK(provesNewest(recordLogRead(log, nothing, 3, false)));
    const log_read older{.position = {2, 1}, .isComplete = true, .hasNewest = true, .version = 1};
    CHECK(isBehind(recordLogRead(log, older, 3, false)));
    CHECK_FALSE(provesNewest(recordLogRead(log, {.position = {2, 1}, .isComplete = true}, 3, false)));
    const log_read rewritten{.position = {2, 2}, .isComplete = true, .hasNewest = true, .version = 3};
    CHECK_FALSE(provesNewest(recordLogRead(log, rewritten, 3, true))); // more may have been lost
    CHECK(provesNewest(recordLogRead(log, {.position = {2, 2}, .isComplete = true}, 3, false)));
    const log_read unreadable{.position = {2, 3}, .isComplete = true, .hasNewest = true};
    CHECK_FALSE(provesNewest(recordLogRead(log, unreadable, 3, false)));
}

TEST_CASE("the writes of all nodes after a return stay below the limits of the store")
{
    for (const std::size_t nodes : {1U, 85U, 8400U}) {
        CHECK(static_cast<double>(nodes) * 1000.0 <= 400.0 * static_cast<double>(rewriteSpread(nodes).count()));
    }
}
