// Tests of configuration dissemination: which records a peer is sent, when a restarted node may route, and when a node
// writes a snapshot.
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

record_buffer makeBuffer(std::uint64_t first, std::uint64_t count)
{
    record_buffer buffer;
    for (std::uint64_t offset = first; offset < first + count; ++offset) {
        appendToBuffer(buffer, {offset, "r" + std::to_string(offset)});
    }
    return buffer;
}

} // namespace

TEST_CASE("recordsFrom returns no value for a position before the buffer, never records with a gap")
{
    const record_buffer buffer = makeBuffer(10, 5);
    CHECK_FALSE(recordsFrom(buffer, 9, 15, 1000));
    CHECK(recordsFrom(buffer, 10, 15, 1000)->size() == 5);
    CHECK(recordsFrom(buffer, 14, 15, 1000)->front().offset == 14);
    CHECK(recordsFrom(buffer, 15, 15, 1000)->empty());
    CHECK_FALSE(recordsFrom(record_buffer{}, 3, 15, 1000));
}

TEST_CASE("recordsFrom limits the bytes but returns at least one record")
{
    const record_buffer buffer = makeBuffer(10, 5);
    CHECK(recordsFrom(buffer, 10, 15, 1)->size() == 1);
    CHECK(recordsFrom(buffer, 10, 15, 6)->size() == 2);
}

TEST_CASE("the record buffer evicts the oldest records, and a gap in the offsets empties it")
{
    record_buffer buffer = makeBuffer(1, maxBufferedRecords + 10);
    CHECK(buffer.records.size() == maxBufferedRecords);
    CHECK(buffer.records.front().offset == 11);
    appendToBuffer(buffer, {5000, "x"});
    CHECK(buffer.records.size() == 1);
    CHECK(buffer.bytes == 1);
}

TEST_CASE("the gate stays closed below the version that peers report for this node")
{
    startup_gate gate;
    gate = withPeerProgress(gate, {.position = 20, .version = 19}, start);
    gate = advanceGate(gate, {.position = 10, .version = 9}, start + seconds(60));
    CHECK_FALSE(gate.wasOpened);
    gate = advanceGate(gate, {.position = 20, .version = 19}, start + seconds(60));
    CHECK(gate.wasOpened);
}

TEST_CASE("the gate stays closed for 1 s after the first peer response and takes later reports into account")
{
    startup_gate gate = withPeerProgress({}, {.position = 10, .version = 9}, start);
    CHECK_FALSE(advanceGate(gate, {.position = 10, .version = 9}, start + milliseconds(999)).wasOpened);
    gate = withPeerProgress(gate, {.position = 20, .version = 19}, start + milliseconds(999));
    CHECK_FALSE(advanceGate(gate, {.position = 10, .version = 9}, start + seconds(5)).wasOpened);
}

TEST_CASE("the gate opens at the log's first known end, which a later read does not change, and stays open")
{
    startup_gate gate = withLogEnd({}, 20);
    CHECK(withLogEnd(gate, 5) == gate);
    CHECK_FALSE(advanceGate(gate, {.position = 19, .version = 18}, start).wasOpened);
    gate = advanceGate(gate, {.position = 20, .version = 18}, start);
    CHECK(gate.wasOpened);
    CHECK(advanceGate(gate, {.position = 1, .version = 0}, start).wasOpened);
}

TEST_CASE("the gate stays closed without a log read and without a peer response")
{
    CHECK_FALSE(advanceGate({}, {.position = 1, .version = 0}, start + std::chrono::hours(9)).wasOpened);
}

TEST_CASE("a snapshot is due by record age, later for a higher rank, and only for a node at the log's end")
{
    const snapshot_policy policy{.retention = milliseconds(100'000)};
    snapshot_status status{.position = 50,
                           .snapshotPosition = 40,
                           .logFirst = 1,
                           .logNext = 50,
                           .isSnapshotKept = true};
    status.oldestUncoveredMs = 0;
    status.snapshotTimeMs = 0;
    CHECK_FALSE(isSnapshotDue(status, policy, 0, 24'999));
    CHECK(isSnapshotDue(status, policy, 0, 25'000));
    CHECK_FALSE(isSnapshotDue(status, policy, 1, 25'000));
    CHECK(isSnapshotDue(status, policy, 1, 31'250));
    status.logNext = 51;
    CHECK_FALSE(isSnapshotDue(status, policy, 0, 99'000));
}

TEST_CASE("a snapshot that the log no longer retains is due at once for a node of any rank")
{
    const snapshot_policy policy{.retention = milliseconds(100'000)};
    snapshot_status status{.position = 50,
                           .snapshotPosition = 50,
                           .logFirst = 50,
                           .logNext = 50,
                           .isSnapshotKept = false};
    CHECK(isSnapshotDue(status, policy, 3, 0));
    status.snapshotPosition = 0;
    CHECK(isSnapshotDue(status, policy, 3, 0));
}

TEST_CASE("without new records, a snapshot is due after half of the retention time")
{
    const snapshot_policy policy{.retention = milliseconds(100'000)};
    snapshot_status status{.position = 50,
                           .snapshotPosition = 50,
                           .logFirst = 50,
                           .logNext = 50,
                           .isSnapshotKept = true};
    status.snapshotTimeMs = 0;
    CHECK_FALSE(isSnapshotDue(status, policy, 0, 49'999));
    CHECK(isSnapshotDue(status, policy, 0, 50'000));
}

namespace {

timed_record makeEdit(std::uint64_t offset, std::uint64_t base, const std::string &name)
{
    const edit_record record{hash128{offset, 1}, base, "awa", {addPlace({name, {}})}};
    return {{offset, encodeRecord(record)}, 1000 + static_cast<std::int64_t>(offset)};
}

std::vector<timed_record> makeEdits(std::uint64_t count)
{
    std::vector<timed_record> records;
    for (std::uint64_t offset = 1; offset <= count; ++offset) {
        records.push_back(makeEdit(offset, offset - 1, "dc-" + std::to_string(offset)));
    }
    return records;
}

fold_state foldEdits(std::uint64_t count)
{
    version_state state;
    applyRecords(state, makeEdits(count));
    return state.folded;
}

} // namespace

TEST_CASE("records and snapshots in any order, repeated or lost, never decrease position or version")
{
    constexpr std::uint64_t records = 12;
    constexpr int sequenceCount = 3000;
    const std::vector<timed_record> log = makeEdits(records);
    const fold_state expected = foldEdits(records);
    random_generator generator(20261204);
    for (int sequence = 0; sequence < sequenceCount; ++sequence) {
        version_state state;
        for (int step = 0; step < 20; ++step) {
            const fold_progress before = progressOf(state);
            const std::uint64_t from = generator() % records;
            const std::uint64_t count = 1 + generator() % (records - from);
            if (generator() % 5 == 0) {
                applySnapshot(state, foldEdits(from));
            } else {
                applyRecords(state, std::span(log).subspan(from, count));
            }
            const fold_progress after = progressOf(state);
            REQUIRE(after.position >= before.position);
            REQUIRE(after.version >= before.version);
            REQUIRE(state.folded == foldEdits(after.position - 1));
        }
        applyRecords(state, log);
        REQUIRE(state.folded == expected);
    }
}

TEST_CASE("a corrupt record is rejected and the fold continues with the next record")
{
    std::vector<timed_record> log = makeEdits(2);
    log.push_back({{3, "garbage"}, 1});
    log.push_back(makeEdit(4, 2, "dc-4"));
    version_state state;
    const apply_result report = applyRecords(state, log);
    CHECK(report.versionChanged);
    CHECK(progressOf(state) == fold_progress{5, 4});
    CHECK(state.rejectedRecords == 1);
}

TEST_CASE("a snapshot at a lower position does not replace the state")
{
    version_state state;
    applyRecords(state, makeEdits(5));
    CHECK(applySnapshot(state, foldEdits(4)) == apply_result{});
    CHECK(progressOf(state) == fold_progress{6, 5});
}

TEST_CASE("recordsForPeer includes the record with an unreadable schema that blocks the fold")
{
    version_state state;
    applyRecords(state, makeEdits(2));
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
