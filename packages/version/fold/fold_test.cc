// Guards the fold against lost edits, versions that move back, and corrupt bytes taken as good.
#include <catch2/catch.hpp>

#include "version/fold/edit_record.h"
#include "version/fold/fold.h"
#include "version/fold/snapshot.h"

using namespace pistachioquay;

namespace {

const value_key deadlineKey{value_kind::Policy, "lookup", "deadline_ms"};

edit deadlineAt(place where, std::int64_t deadlineMs)
{
    return setValue({std::move(where), deadlineKey}, deadlineMs);
}

edit_record recordOf(std::uint64_t id, std::uint64_t base, std::string author, std::vector<edit> edits)
{
    return {{0, id}, base, std::move(author), std::move(edits)};
}

fold_verdict foldInto(fold_state &state, const edit_record &record)
{
    const std::uint64_t offset = state.position;
    fold_step step = foldRecord(std::move(state), offset, encodeRecord(record));
    state = std::move(step.state);
    return step.verdict;
}

fold_state startState()
{
    fold_state state;
    const auto verdict = foldInto(state, recordOf(1, 0, "awa", {addPlace({"be-1", ""}), addPlace({"be-2", ""})}));
    REQUIRE(verdict.kind == verdict_kind::Accepted);
    return state;
}

} // namespace

TEST_CASE("of two edits of one path the second is rejected and told who won")
{
    fold_state state = startState();
    CHECK(foldInto(state, recordOf(2, 1, "awa", {deadlineAt({"be-1", ""}, 5)})).version == 2);
    CHECK(foldInto(state, recordOf(3, 1, "ben", {deadlineAt({"be-2", ""}, 6)})).version == 3);
    const fold_verdict lost = foldInto(state, recordOf(4, 1, "eva", {deadlineAt({"be-1", ""}, 7)}));
    CHECK(lost.kind == verdict_kind::Conflict);
    CHECK(lost.winner == "awa");
    CHECK(lost.winnerVersion == 2);
    CHECK(lost.path == "be-1/-/policy/lookup/deadline_ms");
    CHECK(state.version == 3);
    CHECK(state.position == 5);
}

TEST_CASE("a snapshot restores the same state")
{
    fold_state state = startState();
    foldInto(state, recordOf(2, 1, "awa", {deadlineAt({"be-1", ""}, 5)}));
    foldInto(state, recordOf(3, 1, "ben", {deadlineAt({"be-1", ""}, 6)}));
    snapshot_collector collector;
    std::optional<fold_state> restored;
    for (const std::string &part : encodeSnapshot(state)) {
        restored = addSnapshotPart(collector, part);
    }
    REQUIRE(restored);
    CHECK(*restored == state);
    CHECK(encodeSnapshot(*restored) == encodeSnapshot(state));
}
