// Guards tests of the system against a stand-in that itself loses, doubles or renumbers records.
#include <catch2/catch.hpp>

#include "testing/platform_log/faults.h"
#include "testing/platform_log/store.h"
#include "testing/property.h"

using namespace pistachioquay;

TEST_CASE("offsets begin at 1 for each stream")
{
    log_store store(milliseconds(0));
    CHECK(store.next("config") == 1);
    CHECK(store.append("config", "a", 10) == 1);
    CHECK(store.append("config", "b", 11) == 2);
    CHECK(store.append("snapshots", "c", 12) == 1);
    CHECK(store.next("config") == 3);
}

TEST_CASE("records expire at the retention time, and offsets go on")
{
    log_store store(milliseconds(100));
    store.append("config", "a", 0);
    store.append("config", "b", 50);
    CHECK(store.read("config", 1, 10, 99).records.size() == 2);
    const stored_range later = store.read("config", 1, 10, 100);
    CHECK(later.first == 2);
    CHECK(later.records == std::vector<stored_record>{{2, 50, "b"}});
    const stored_range last = store.read("config", std::nullopt, 1, 1000);
    CHECK(last.first == 3);
    CHECK(last.next == 3);
    CHECK(last.records.empty());
    CHECK(store.append("config", "c", 1001) == 3);
}

TEST_CASE("a read ends at the requested count, and at 4 MiB after its first record")
{
    constexpr std::size_t mebibyte = 1'048'576;
    log_store store(milliseconds(0));
    for (int count = 0; count < 6; ++count) {
        store.append("config", std::string(mebibyte, 'x'), 0);
    }
    CHECK(store.read("config", 1, 2, 0).records.size() == 2);
    CHECK(store.read("config", 1, 100, 0).records.size() == 4);
    CHECK(store.read("config", 7, 100, 0).records.empty());
}

TEST_CASE("counts are kept by stream")
{
    log_store store(milliseconds(0));
    store.append("config", "abc", 0);
    store.append("config", "de", 0);
    store.read("config", 1, 10, 0);
    CHECK(store.stats().at("config") == stream_stats{2, 1, 5});
}

TEST_CASE("reads in any steps return each kept record once and in order")
{
    const bool isKept = holds("reading in steps equals the appended records", 100, [] {
        const auto data = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        const auto step = *rc::gen::inRange<std::size_t>(1, 5);
        log_store store(milliseconds(0));
        for (const std::string &bytes : data) {
            store.append("config", bytes, 0);
        }
        std::vector<std::string> read;
        std::uint64_t from = 1;
        while (from <= data.size()) {
            for (const stored_record &record : store.read("config", from, step, 0).records) {
                RC_ASSERT(record.offset == from++);
                read.push_back(record.data);
            }
        }
        RC_ASSERT(read == data);
    });
    CHECK(isKept);
}

TEST_CASE("faults change only the keys that are given, and unknown keys are refused")
{
    log_faults current;
    current.isOutage = true;
    const auto changed = applyFaults(current, R"({"delay_ms": 50, "read_only": true})");
    REQUIRE(changed);
    CHECK(changed->isOutage);
    CHECK(changed->delayMs == 50);
    CHECK(changed->isReadOnly);
    CHECK_FALSE(applyFaults(current, R"({"outrage": true})"));
    CHECK_FALSE(applyFaults(current, "[]"));
    CHECK_FALSE(applyFaults(current, "{"));
}

TEST_CASE("the rate limit allows the rate on average and no burst beyond one second")
{
    append_rate rate;
    const time_point start{seconds(1000)};
    int allowed = 0;
    for (int millis = 0; millis < 10'000; ++millis) {
        allowed += rate.isAllowed(10, start + milliseconds(millis)) ? 1 : 0;
    }
    CHECK(allowed >= 100);
    CHECK(allowed <= 110);
    CHECK(rate.isAllowed(0, start));
}
