// Guards against a burst of reads during an outage of the store, and against nodes that wait forever for a silent
// reader.
#include <catch2/catch.hpp>

#include "process/store_reading/store_reading.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds bound{2500};

// Simulates an outage in which the store refuses each call at once. Returns the number of calls from one data centre.
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

TEST_CASE("other nodes than the reader read only if its announcement is overdue or they lack a newer version")
{
    CHECK(shouldRead({.rank = 0, .bound = bound}));
    CHECK_FALSE(shouldRead({.rank = 1, .sinceReaderAnnouncement = longPollWait(bound), .bound = bound}));
    CHECK(shouldRead({.rank = 1, .sinceReaderAnnouncement = bound, .bound = bound}));
    CHECK(shouldRead({.rank = 9, .behindFor = bound / 2, .bound = bound}));
}

TEST_CASE("nodes take over for a silent reader one after the other")
{
    const duration rankTwoDue = longPollWait(bound) + bound / 8 + rankStagger;
    CHECK(shouldRead({.rank = 1, .sinceReaderAnnouncement = rankTwoDue, .bound = bound}));
    CHECK_FALSE(shouldRead({.rank = 3, .sinceReaderAnnouncement = rankTwoDue, .bound = bound}));
}

TEST_CASE("an outage costs few calls, and the reader retries often enough to notice its end within the bound")
{
    constexpr std::size_t nodes = 26;
    constexpr milliseconds outage{10000};
    constexpr unsigned fixedIntervalCalls = 10000 / 200 * nodes; // if each node retried every 200 ms
    CHECK(callsInOutage(nodes, outage) < fixedIntervalCalls / 5);
    for (unsigned failures = 1; failures < 40; ++failures) {
        CHECK(readBackoff(failures, 0) <= bound / 2);
        CHECK(readBackoff(failures, 0) >= initialReadBackoff);
    }
}
