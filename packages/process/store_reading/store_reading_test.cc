// Guards the store against a wave of reads in an outage, and the nodes against a reader that stays silent.
#include <catch2/catch.hpp>

#include "process/store_reading/store_reading.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds bound{2500};

// Calls in an outage of the store by the nodes of one data centre that refuse at once.
unsigned callsInOutage(std::size_t nodes, milliseconds outage)
{
    unsigned calls = 0;
    for (std::size_t rank = 0; rank < nodes; ++rank) {
        unsigned failures = 0;
        for (milliseconds now{0}; now < outage;) {
            if (!shouldRead({.rank = rank, .sinceReaderAnnouncement = now, .bound = bound})) {
                now += milliseconds(10);
                continue;
            }
            ++calls;
            now += readBackoff(++failures, rank);
        }
    }
    return calls;
}

} // namespace

TEST_CASE("the reader reads, and the others leave it to it while its word is fresh")
{
    CHECK(shouldRead({.rank = 0, .bound = bound}));
    CHECK_FALSE(shouldRead({.rank = 1, .sinceReaderAnnouncement = longPollWait(bound), .bound = bound}));
    CHECK(shouldRead({.rank = 1, .sinceReaderAnnouncement = bound, .bound = bound}));
    CHECK(shouldRead({.rank = 9, .behindFor = bound / 2, .bound = bound}));
}

TEST_CASE("nodes step in one after the other")
{
    const duration second = longPollWait(bound) + bound / 8 + rankStagger;
    CHECK(shouldRead({.rank = 1, .sinceReaderAnnouncement = second, .bound = bound}));
    CHECK_FALSE(shouldRead({.rank = 3, .sinceReaderAnnouncement = second, .bound = bound}));
}

TEST_CASE("an outage costs few calls, and its end is noticed within the bound")
{
    constexpr std::size_t nodes = 26;
    constexpr milliseconds outage{10000};
    constexpr unsigned simpleRule = 10000 / 200 * nodes; // every node again after 200 ms
    CHECK(callsInOutage(nodes, outage) < simpleRule / 5);
    for (unsigned failures = 1; failures < 40; ++failures) {
        CHECK(readBackoff(failures, 0) <= bound / 2);
        CHECK(readBackoff(failures, 0) >= firstReadPause);
    }
}
