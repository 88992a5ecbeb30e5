// Guards against large payloads that delay small ones, and against parts that take memory without bound.
#include <catch2/catch.hpp>

#include <algorithm>

#include "base/milliseconds.h"
#include "connection/pacing/link_pacer.h"
#include "connection/pacing/part_assembly.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock
constexpr double slowLink = 1375; // 11 Mbit/s

bool acceptAll(std::uint64_t)
{
    return true;
}

paced_transfer body(std::uint64_t ticket, std::uint64_t bytes, std::int64_t targetMs, std::int64_t deadlineMs = 100000)
{
    return {ticket, transfer_class::Body, bytes, start + milliseconds(targetMs), start + milliseconds(deadlineMs)};
}

// Sends all transfers and returns the tickets in the order of their last chunks.
std::vector<std::uint64_t> sendAll(link_pacer &pacer, time_point now)
{
    std::vector<std::uint64_t> done;
    while (const auto pause = untilNextChunk(pacer, now)) {
        while (const auto chunk = takeChunk(pacer, now, acceptAll)) {
            if (chunk->isLast) {
                done.push_back(chunk->ticket);
            }
        }
        now += *pause;
    }
    return done;
}

} // namespace

TEST_CASE("large payloads never fill the queue of the link beyond its limit")
{
    CHECK(holds("queue is bounded", 200, [](const std::vector<std::uint16_t> &words) {
        link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
        double queued = 0; // bytes at the link
        time_point now = start;
        std::uint64_t ticket = 0;
        for (const std::uint16_t word : words) {
            addTransfer(pacer, body(++ticket, 1 + word * 8U, word % 1000), now);
            while (const auto chunk = takeChunk(pacer, now, acceptAll)) {
                queued += static_cast<double>(chunk->bytes);
            }
            RC_ASSERT(queued <= slowLink * static_cast<double>(maxLinkQueue.count()) + 1.0);
            const milliseconds step(word % 40);
            queued = std::max(0.0, queued - slowLink * static_cast<double>(step.count()));
            now += step;
        }
    }));
}

TEST_CASE("a payload is sent completely in chunks, at the paced rate")
{
    link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
    addTransfer(pacer, body(1, 540'000, 1000), start);
    std::uint64_t sent = 0;
    time_point now = start;
    while (const auto pause = untilNextChunk(pacer, now)) {
        while (const auto chunk = takeChunk(pacer, now, acceptAll)) {
            CHECK(chunk->bytes <= chunkBytes(pacer));
            sent += chunk->bytes;
        }
        now += *pause;
    }
    CHECK(sent == 540'000);
    CHECK(msBetween(start, now) >= 540'000 / slowLink);
    CHECK(msBetween(start, now) <= 540'000 / (slowLink * pacedShare) + static_cast<double>(maxLinkQueue.count()));
}

TEST_CASE("configurations precede bodies, and bodies that have missed their target follow all others")
{
    link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
    addTransfer(pacer, body(1, 50'000, -10), start);
    addTransfer(pacer, body(2, 50'000, 900), start);
    addTransfer(pacer, body(3, 50'000, 300), start);
    addTransfer(pacer, {4, transfer_class::Configuration, 50'000, start + seconds(5), start + seconds(9)}, start);
    CHECK(sendAll(pacer, start) == std::vector<std::uint64_t>{4, 3, 2, 1});
}

TEST_CASE("a connection that accepts nothing does not stop the others")
{
    link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
    addTransfer(pacer, body(1, 50'000, 100), start);
    addTransfer(pacer, body(2, 50'000, 900), start);
    const auto chunk = takeChunk(pacer, start + seconds(1), [](std::uint64_t ticket) {
        return ticket != 1;
    });
    REQUIRE(chunk);
    CHECK(chunk->ticket == 2);
}

TEST_CASE("small frames take the share of the large ones, but never all of it")
{
    link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
    time_point now = start;
    for (int step = 0; step < 2000; ++step, now += milliseconds(1)) {
        recordUnpaced(pacer, 500, now);
    }
    CHECK(drainBytesPerMs(pacer, now) == Approx(slowLink * pacedShare - 500).margin(10));
    recordUnpaced(pacer, 50'000'000, now);
    CHECK(drainBytesPerMs(pacer, now) > 0);
    addTransfer(pacer, body(1, 20'000, 900), now);
    CHECK(untilNextChunk(pacer, now).value() < 3 * maxLinkQueue);
}

TEST_CASE("only bodies that cannot arrive before their deadline are dropped")
{
    link_pacer pacer{.bytesPerMs = slowLink, .updatedAt = start};
    addTransfer(pacer, body(1, 500'000, 500, 500), start);
    addTransfer(pacer, body(2, 500'000, 550, 600), start); // could arrive alone, but not behind the first
    addTransfer(pacer, body(3, 50'000, 600, 700), start);
    CHECK(removeUndeliverable(pacer, start) == std::vector<std::uint64_t>{2});
    CHECK(sendAll(pacer, start) == std::vector<std::uint64_t>{1, 3});
}

TEST_CASE("links of unknown or high rate are not paced")
{
    CHECK_FALSE(isPaced({}));
    CHECK_FALSE(isPaced({.bytesPerMs = 125'000})); // 1 Gbit/s
    CHECK(isPaced({.bytesPerMs = slowLink}));
    CHECK(drainBytesPerMs({}, start) == 0);
}

TEST_CASE("interleaved parts are put together, and false ones are rejected")
{
    part_assembly assembly;
    CHECK(addPart(assembly, {1, 2, 4, false, "ab"}, 100).state == assembly_state::Incomplete);
    CHECK(addPart(assembly, {2, 3, 1, false, "x"}, 100).payload == "x");
    const assembled_frame whole = addPart(assembly, {1, 2, 4, false, "cd"}, 100);
    CHECK(whole.state == assembly_state::Complete);
    CHECK(whole.kind == 2);
    CHECK(whole.payload == "abcd");
    CHECK(assembly.frames.empty());
    CHECK(addPart(assembly, {3, 2, 4, false, "abcde"}, 100).state == assembly_state::Invalid);
    CHECK(addPart(assembly, {3, 2, 101, false, "a"}, 100).state == assembly_state::Invalid);
    CHECK(addPart(assembly, {3, 2, 4, false, ""}, 100).state == assembly_state::Invalid);
    CHECK(addPart(assembly, {3, 2, 4, false, "a"}, 100).state == assembly_state::Incomplete);
    CHECK(addPart(assembly, {3, 2, 5, false, "a"}, 100).state == assembly_state::Invalid);
    for (std::uint64_t ticket = 0; ticket < maxOpenFrames; ++ticket) {
        addPart(assembly, {ticket, 1, 4, false, "a"}, 100);
    }
    CHECK(addPart(assembly, {maxOpenFrames, 1, 4, false, "a"}, 100).state == assembly_state::Invalid);
    CHECK(addPart(assembly, {0, 1, 4, true, ""}, 100).state == assembly_state::Incomplete);
    CHECK(assembly.frames.size() == maxOpenFrames - 1);
}
