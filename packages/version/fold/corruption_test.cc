// Guards against corrupt, truncated or foreign bytes that are taken as good or end the process.
#include <catch2/catch.hpp>

#include "testing/property.h"
#include "version/fold/archive.h"
#include "version/fold/edit_record.h"
#include "version/fold/fold.h"
#include "version/fold/snapshot.h"
#include "version/fold/snapshot_search.h"

using namespace pistachioquay;

namespace {

constexpr int sequences = 2000;

const edit_record goodRecord{{1, 2},
                             0,
                             "awa",
                             {addPlace({"be-1", ""}),
                              setValue({{"be-1", ""}, {value_kind::Policy, "p", "idempotent"}}, true),
                              setValue({{}, {value_kind::Policy, "p", "class"}}, std::string("lookup"))}};

fold_state foldedState()
{
    return foldRecord({}, 1, encodeRecord(goodRecord)).state;
}

verdict_kind verdictOn(std::string_view bytes)
{
    return foldRecord({}, 1, bytes).verdict.kind;
}

std::string sealedRecord(std::uint32_t schema, std::string_view body)
{
    return sealEnvelope(recordMagic, schema, body);
}

bool isPart(std::string_view bytes)
{
    return bool(attempt([&] {
        return decodeSnapshotPart(bytes);
    }));
}

} // namespace

TEST_CASE("every change of one byte and every truncation of a record is detected")
{
    const std::string good = encodeRecord(goodRecord);
    REQUIRE(decodeRecord(good).record == goodRecord);
    REQUIRE(verdictOn(good) == verdict_kind::Accepted);
    std::size_t undetected = 0;
    for (std::size_t index = 0; index < good.size(); ++index) {
        undetected +=
            decodeRecord(std::string_view(good).substr(0, index)).status == envelope_status::Malformed ? 0 : 1;
        for (int change = 1; change < 256; ++change) {
            std::string bad = good;
            bad[index] = static_cast<char>(bad[index] ^ change);
            undetected += decodeRecord(bad).status == envelope_status::Malformed ? 0 : 1;
        }
    }
    CHECK(undetected == 0);
    CHECK(verdictOn(good + "x") == verdict_kind::Malformed);
}

TEST_CASE("every change of one byte and every truncation of a snapshot part is detected")
{
    const std::string good = encodeSnapshot(foldedState()).front();
    REQUIRE(isPart(good));
    std::size_t undetected = 0;
    for (std::size_t index = 0; index < good.size(); ++index) {
        undetected += isPart(std::string_view(good).substr(0, index)) ? 1 : 0;
        for (const int change : {1, 2, 64, 128, 255}) {
            std::string bad = good;
            bad[index] = static_cast<char>(bad[index] ^ change);
            undetected += isPart(bad) ? 1 : 0;
        }
    }
    CHECK(undetected == 0);
}

TEST_CASE("any bytes, even with a good hash, get a verdict")
{
    CHECK(holds("any bytes, even with a good hash, get a verdict", sequences, [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(verdictOn(bytes) == verdict_kind::Malformed);
        RC_ASSERT(verdictOn(sealedRecord(recordSchema, bytes)) != verdict_kind::Accepted);
        RC_ASSERT(!isPart(sealEnvelope(snapshotPartMagic, snapshotSchema, bytes)));
    }));
}

TEST_CASE("sizes that exceed the bytes take no memory")
{
    const std::string body = internal::writeBody([](internal::archive_writer &archive) {
        archive(hash128{1, 2}, std::uint64_t{0}, std::uint32_t{0xffffffff});
    });
    CHECK(verdictOn(sealedRecord(recordSchema, body)) == verdict_kind::Malformed);
    CHECK(verdictOn(sealedRecord(recordSchema, std::string(maxRecordSize, 'x'))) == verdict_kind::Malformed);
}

TEST_CASE("texts of a hostile record stay bounded and plain in the state, and its snapshot can be read")
{
    const std::string longName(15'000, 'n');
    const tree_path path{{}, {value_kind::Policy, longName, "\x1b[2J" + longName}};
    fold_state state = foldedState();
    state = foldRecord(std::move(state), 2, encodeRecord({{1, 3}, 1, "e\x1bve", {setValue(path, true)}})).state;
    const fold_verdict verdict = state.publishes.at({1, 3}).verdict;
    CHECK(verdict.kind == verdict_kind::InvalidTree);
    CHECK(verdict.message.size() < 3000);
    CHECK(verdict.message.find('\x1b') == std::string::npos);
    const edit change = setValue({{}, {value_kind::Policy, "p", "class"}}, std::string("upload"));
    state = foldRecord(std::move(state), 3, encodeRecord({{1, 4}, 1, "e\x1bve", {change}})).state;
    CHECK(state.changes.at(change.path).author == "e?ve");
    snapshot_collector collector;
    const auto restored = addSnapshotPart(collector, encodeSnapshot(state).front());
    REQUIRE(restored);
    CHECK(*restored == state);
}

TEST_CASE("a newer schema stops the fold, and a record without edits or with a future base does not")
{
    const fold_step step = foldRecord(foldedState(), 2, sealedRecord(recordSchema + 1, "future"));
    CHECK(step.verdict.kind == verdict_kind::UnreadableSchema);
    CHECK(step.state == foldedState());
    const fold_step gap = foldRecord(foldedState(), 3, encodeRecord(goodRecord));
    CHECK(gap.verdict.kind == verdict_kind::OutOfOrder);
    CHECK(gap.state == foldedState());
    CHECK(verdictOn(encodeRecord({{1, 3}, 0, "awa", {}})) == verdict_kind::Malformed);
    CHECK(verdictOn(encodeRecord({{1, 3}, 1, "awa", goodRecord.edits})) == verdict_kind::Malformed);
}

TEST_CASE("a snapshot is only restored from all of its own parts")
{
    std::vector<edit> edits = {addPlace({"be-1", ""})};
    for (int index = 0; index < 9000; ++index) {
        const std::string name = "policy-of-the-service-number-" + std::to_string(index);
        edits.push_back(setValue({{"be-1", ""}, {value_kind::Policy, name, "class"}}, std::string("lookup")));
    }
    const fold_state large = foldRecord({}, 1, encodeRecord({{1, 2}, 0, "awa", edits})).state;
    REQUIRE(large.version == 1);
    const auto records = encodeSnapshot(large);
    REQUIRE(records.size() > 1);
    std::vector<snapshot_part> parts;
    for (const std::string &record : records) {
        CHECK(record.size() < maxRecordSize);
        parts.push_back(*attempt([&] {
            return decodeSnapshotPart(record);
        }));
    }
    const auto isRestored = [](const std::vector<snapshot_part> &given) {
        return bool(attempt([&] {
            return assembleSnapshot(given);
        }));
    };
    CHECK(isRestored(parts));
    CHECK(isRestored({parts.rbegin(), parts.rend()}));
    CHECK_FALSE(isRestored({}));
    CHECK_FALSE(isRestored({parts.begin(), parts.end() - 1}));
    CHECK_FALSE(isRestored({parts.begin() + 1, parts.end()}));
    auto mixed = parts;
    mixed.back().hash.low ^= 1;
    CHECK_FALSE(isRestored(mixed));
    auto changed = parts;
    changed.back().data.back() ^= 1;
    CHECK_FALSE(isRestored(changed));

    snapshot_collector collector;
    CHECK_FALSE(addSnapshotPart(collector, "garbage"));
    CHECK_FALSE(addSnapshotPart(collector, records.back()));
    std::optional<fold_state> whole;
    for (const std::string &record : records) {
        whole = whole ? whole : addSnapshotPart(collector, record);
    }
    REQUIRE(whole);
    CHECK(*whole == large);
}

TEST_CASE("the newest snapshot within the bounds is found, past incomplete, unreadable and foreign records")
{
    std::vector<std::string> stream;
    fold_state state = foldedState();
    for (std::uint64_t offset = 2; offset < 40; ++offset) {
        stream.push_back(encodeSnapshot(state).front());
        const edit change =
            setValue({{}, {value_kind::Policy, "p", "retries"}}, static_cast<std::int64_t>(offset % 10));
        state = foldRecord(std::move(state), offset, encodeRecord({{2, offset}, offset - 1, "awa", {change}})).state;
    }
    const snapshot_part whole = *attempt([&] {
        return decodeSnapshotPart(stream.back());
    });
    stream.push_back("garbage");
    stream.push_back(sealEnvelope(snapshotPartMagic, snapshotSchema, internal::writeBody([&](auto &archive) {
                                      archive(whole.position + 1, whole.hash, std::uint32_t{0}, std::uint32_t{2});
                                      internal::writeText(archive, whole.data);
                                  })));
    stream.push_back(sealEnvelope(snapshotPartMagic, snapshotSchema + 1, "future"));
    const part_reader read = [&](std::uint64_t from, std::uint64_t to) -> result<std::vector<std::string>> {
        return std::vector<std::string>(stream.begin() + static_cast<std::ptrdiff_t>(from - 1),
                                        stream.begin() + static_cast<std::ptrdiff_t>(to - 1));
    };
    const auto positionFor = [&](const snapshot_bounds &bounds) {
        const auto found = attempt([&] {
            return findSnapshot(1, stream.size() + 1, bounds, read);
        });
        return found && *found ? (*found)->position : 0;
    };
    CHECK(positionFor({1, 1000}) == 39);
    CHECK(positionFor({1, 20}) == 20);
    CHECK(positionFor({1, 2}) == 2);
    CHECK(positionFor({1, 1}) == 0);
    CHECK(positionFor({39, 1000}) == 39);
    CHECK(positionFor({40, 1000}) == 0);
}

TEST_CASE("when tombstones are discarded, older bases are refused rather than guessed")
{
    std::vector<edit> edits;
    std::vector<edit> removals;
    for (std::size_t index = 0; index < maxTombstones + 1; ++index) {
        const tree_path path{{}, {value_kind::Limit, "l" + std::to_string(index), "concurrency"}};
        edits.push_back(setValue(path, std::int64_t{1}));
        removals.push_back(unsetValue(path));
    }
    fold_state state = foldRecord({}, 1, encodeRecord({{1, 1}, 0, "awa", edits})).state;
    const std::vector<edit> firstHalf(removals.begin(), removals.begin() + maxTombstones / 2);
    const std::vector<edit> secondHalf(removals.begin() + maxTombstones / 2, removals.end());
    state = foldRecord(std::move(state), 2, encodeRecord({{1, 2}, 1, "awa", firstHalf})).state;
    CHECK(state.tombstones == maxTombstones / 2);
    CHECK(state.oldestBase == 0);
    state = foldRecord(std::move(state), 3, encodeRecord({{1, 3}, 2, "awa", secondHalf})).state;
    CHECK(state.version == 3);
    CHECK(state.oldestBase == 3);
    CHECK(state.tombstones == 0);
    const fold_step late = foldRecord(state, 4, encodeRecord({{1, 4}, 2, "ben", {edits.front()}}));
    CHECK(late.verdict.kind == verdict_kind::BaseTooOld);
    CHECK(foldRecord(state, 4, encodeRecord({{1, 4}, 3, "ben", {edits.front()}})).verdict.version == 4);
}
