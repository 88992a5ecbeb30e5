// Guards the decisions around spreading versions: what a peer is given, when a restarted node may route, who writes
// snapshots.
#include <catch2/catch.hpp>

#include "base/random.h"
#include "process/spread/record_buffer.h"
#include "process/spread/snapshot_schedule.h"
#include "process/spread/startup_gate.h"
#include "process/spread/version_state.h"
#include "version/fold/edit_record.h"
#include "version/fold/envelope.h"

using namespace pistachioquay;

namespace {

const time_point start = time_point(std::chrono::hours(1));

record_buffer bufferOf(std::uint64_t first, std::uint64_t count)
{
    record_buffer buffer;
    for (std::uint64_t offset = first; offset < first + count; ++offset) {
        appendToBuffer(buffer, {offset, "r" + std::to_string(offset)});
    }
    return buffer;
}

} // namespace

TEST_CASE("a peer behind the buffer is sent to a snapshot, never a range with a gap")
{
    const record_buffer buffer = bufferOf(10, 5);
    CHECK_FALSE(recordsFrom(buffer, 9, 15, 1000));
    CHECK(recordsFrom(buffer, 10, 15, 1000)->size() == 5);
    CHECK(recordsFrom(buffer, 14, 15, 1000)->front().offset == 14);
    CHECK(recordsFrom(buffer, 15, 15, 1000)->empty());
    CHECK_FALSE(recordsFrom(record_buffer{}, 3, 15, 1000));
}

TEST_CASE("a response is bounded in bytes but always makes progress")
{
    const record_buffer buffer = bufferOf(10, 5);
    CHECK(recordsFrom(buffer, 10, 15, 1)->size() == 1);
    CHECK(recordsFrom(buffer, 10, 15, 6)->size() == 2);
}

TEST_CASE("the buffer is bounded and a gap empties it")
{
    record_buffer buffer = bufferOf(1, bufferedRecords + 10);
    CHECK(buffer.records.size() == bufferedRecords);
    CHECK(buffer.records.front().offset == 11);
    appendToBuffer(buffer, {5000, "x"});
    CHECK(buffer.records.size() == 1);
    CHECK(buffer.bytes == 1);
}

TEST_CASE("a node that heard of its own newer version does not route at an older one")
{
    startup_gate gate;
    gate = withPeerProgress(gate, {.position = 20, .version = 19}, start);
    gate = advanceGate(gate, {.position = 10, .version = 9}, start + seconds(60));
    CHECK_FALSE(gate.wasOpened);
    gate = advanceGate(gate, {.position = 20, .version = 19}, start + seconds(60));
    CHECK(gate.wasOpened);
}

TEST_CASE("a node listens to further peers before it trusts the first one")
{
    startup_gate gate = withPeerProgress({}, {.position = 10, .version = 9}, start);
    CHECK_FALSE(advanceGate(gate, {.position = 10, .version = 9}, start + milliseconds(999)).wasOpened);
    gate = withPeerProgress(gate, {.position = 20, .version = 19}, start + milliseconds(999));
    CHECK_FALSE(advanceGate(gate, {.position = 10, .version = 9}, start + seconds(5)).wasOpened);
}

TEST_CASE("the log's end opens the gate, and an older read of the end does not move it back")
{
    startup_gate gate = withLogEnd({}, 20);
    CHECK(withLogEnd(gate, 5) == gate);
    CHECK_FALSE(advanceGate(gate, {.position = 19, .version = 18}, start).wasOpened);
    gate = advanceGate(gate, {.position = 20, .version = 18}, start);
    CHECK(gate.wasOpened);
    CHECK(advanceGate(gate, {.position = 1, .version = 0}, start).wasOpened);
}

TEST_CASE("a node that can reach neither log nor peers never routes")
{
    CHECK_FALSE(advanceGate({}, {.position = 1, .version = 0}, start + std::chrono::hours(9)).wasOpened);
}

TEST_CASE("snapshots are written in time, by one node, and only at the log's end")
{
    const snapshot_policy rules{.retention = milliseconds(100'000)};
    snapshot_status facts{.position = 50, .snapshotPosition = 40, .logFirst = 1, .logNext = 50, .isSnapshotKept = true};
    facts.oldestUncoveredMs = 0;
    facts.snapshotTimeMs = 0;
    CHECK_FALSE(isSnapshotDue(facts, rules, 0, 24'999));
    CHECK(isSnapshotDue(facts, rules, 0, 25'000));
    CHECK_FALSE(isSnapshotDue(facts, rules, 1, 25'000));
    CHECK(isSnapshotDue(facts, rules, 1, 31'250));
    facts.logNext = 51;
    CHECK_FALSE(isSnapshotDue(facts, rules, 0, 99'000));
}

TEST_CASE("a snapshot that expired during an outage is written again at once by any node")
{
    const snapshot_policy rules{.retention = milliseconds(100'000)};
    snapshot_status facts{.position = 50,
                          .snapshotPosition = 50,
                          .logFirst = 50,
                          .logNext = 50,
                          .isSnapshotKept = false};
    CHECK(isSnapshotDue(facts, rules, 3, 0));
    facts.snapshotPosition = 0;
    CHECK(isSnapshotDue(facts, rules, 3, 0));
}

TEST_CASE("a quiet tree is written again before its only snapshot expires")
{
    const snapshot_policy rules{.retention = milliseconds(100'000)};
    snapshot_status facts{.position = 50,
                          .snapshotPosition = 50,
                          .logFirst = 50,
                          .logNext = 50,
                          .isSnapshotKept = true};
    facts.snapshotTimeMs = 0;
    CHECK_FALSE(isSnapshotDue(facts, rules, 0, 49'999));
    CHECK(isSnapshotDue(facts, rules, 0, 50'000));
}

namespace {

timed_record editAt(std::uint64_t offset, std::uint64_t base, const std::string &name)
{
    const edit_record record{hash128{offset, 1}, base, "awa", {addPlace({name, {}})}};
    return {{offset, encodeRecord(record)}, 1000 + static_cast<std::int64_t>(offset)};
}

std::vector<timed_record> editsOf(std::uint64_t count)
{
    std::vector<timed_record> records;
    for (std::uint64_t offset = 1; offset <= count; ++offset) {
        records.push_back(editAt(offset, offset - 1, "dc-" + std::to_string(offset)));
    }
    return records;
}

fold_state foldedTo(std::uint64_t count)
{
    version_state state;
    applyRecords(state, editsOf(count));
    return state.folded;
}

} // namespace

TEST_CASE("any order, repetition or loss of records and snapshots only moves a node forward")
{
    constexpr std::uint64_t records = 12;
    constexpr int sequences = 3000;
    const std::vector<timed_record> log = editsOf(records);
    const fold_state whole = foldedTo(records);
    random_generator generator(20261204);
    for (int sequence = 0; sequence < sequences; ++sequence) {
        version_state state;
        for (int step = 0; step < 20; ++step) {
            const fold_progress before = progressOf(state);
            const std::uint64_t from = generator() % records;
            const std::uint64_t count = 1 + generator() % (records - from);
            if (generator() % 5 == 0) {
                applySnapshot(state, foldedTo(from));
            } else {
                applyRecords(state, std::span(log).subspan(from, count));
            }
            const fold_progress after = progressOf(state);
            REQUIRE(after.position >= before.position);
            REQUIRE(after.version >= before.version);
            REQUIRE(state.folded == foldedTo(after.position - 1));
        }
        applyRecords(state, log);
        REQUIRE(state.folded == whole);
    }
}

TEST_CASE("a corrupt record is rejected as a whole and the fold goes on behind it")
{
    std::vector<timed_record> log = editsOf(2);
    log.push_back({{3, "garbage"}, 1});
    log.push_back(editAt(4, 2, "dc-4"));
    version_state state;
    const apply_result report = applyRecords(state, log);
    CHECK(report.versionChanged);
    CHECK(progressOf(state) == fold_progress{5, 4});
    CHECK(state.rejectedRecords == 1);
}

TEST_CASE("a snapshot that is behind never replaces a newer state")
{
    version_state state;
    applyRecords(state, editsOf(5));
    CHECK(applySnapshot(state, foldedTo(4)) == apply_result{});
    CHECK(progressOf(state) == fold_progress{6, 5});
}

TEST_CASE("a peer gets the record that blocks a node, and so learns that it is blocked too")
{
    version_state state;
    applyRecords(state, editsOf(2));
    std::string newer = encodeRecord({hash128{3, 1}, 2, "awa", {addPlace({"dc-3", {}})}});
    newer = sealEnvelope(recordMagic, recordSchema + 1, openEnvelope(recordMagic, recordSchema, newer).body);
    const std::vector<timed_record> blocking = {{{3, newer}, 1}};
    applyRecords(state, blocking);
    CHECK(progressOf(state) == fold_progress{3, 2});
    CHECK(advertisedProgress(state) == fold_progress{4, 2});
    const auto forPeer = recordsForPeer(state, 3, 1000);
    REQUIRE(forPeer);
    REQUIRE(forPeer->size() == 1);
    CHECK(forPeer->front().data == newer);
    CHECK(recordsForPeer(state, 1, 100'000)->size() == 3);
    CHECK(recordsForPeer(state, 4, 1000)->empty());
}
