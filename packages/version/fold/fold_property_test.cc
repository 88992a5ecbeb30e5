// Guards the guarantees of the fold over random records: one order for all, no lost edit, no version that moves back,
// no dangling route, and snapshots that stand for the records before them.
#include <catch2/catch.hpp>

#include <algorithm>

#include "testing/property.h"
#include "version/fold/edit_record.h"
#include "version/fold/fold.h"
#include "version/fold/snapshot.h"
#include "version/tree/compile.h"
#include "version/tree/sample_edits_test.h"

using namespace pistachioquay;

namespace {

constexpr int sequences = 2000;

// A record as the property draws it: the base is so many versions behind the newest; some records repeat an id.
struct drawn_record
{
    unsigned behind = 0;
    unsigned repeatOf = 0;
    std::vector<edit> edits;
};

rc::Gen<drawn_record> anyRecord()
{
    return rc::gen::build<drawn_record>(
        rc::gen::set(&drawn_record::behind, rc::gen::weightedElement<unsigned>({{3, 0}, {2, 1}, {1, 3}, {1, 8}})),
        rc::gen::set(&drawn_record::repeatOf, rc::gen::weightedElement<unsigned>({{12, 0}, {1, 1}, {1, 2}})),
        rc::gen::set(&drawn_record::edits, sample::anyEdits()));
}

std::ostream &operator<<(std::ostream &stream, const drawn_record &record)
{
    stream << "behind " << record.behind << ", repeat of " << record.repeatOf << ':';
    for (const edit &change : record.edits) {
        stream << ' ' << toText(change) << ';';
    }
    return stream;
}

fold_verdict foldInto(fold_state &state, std::string_view bytes)
{
    const std::uint64_t offset = state.position;
    fold_step step = foldRecord(std::move(state), offset, bytes);
    state = std::move(step.state);
    return step.verdict;
}

fold_state startState()
{
    fold_state state;
    foldInto(state, encodeRecord({{9, 9}, 0, "awa", sample::startEdits()}));
    return state;
}

// The records of a sequence as a log would hold them, with what the fold said about each.
struct folded_log
{
    fold_state state = startState();
    std::vector<edit_record> records;
    std::vector<std::string> bytes;
    std::vector<fold_verdict> verdicts;
};

void append(folded_log &log, const drawn_record &drawn)
{
    edit_record record{{1, log.records.size()}, 0, "ben", drawn.edits};
    record.base = log.state.version - std::min<std::uint64_t>(log.state.version, drawn.behind);
    if (drawn.repeatOf != 0 && drawn.repeatOf <= log.records.size()) {
        record.publishId = log.records[log.records.size() - drawn.repeatOf].publishId;
    }
    log.bytes.push_back(encodeRecord(record));
    log.verdicts.push_back(foldInto(log.state, log.bytes.back()));
    log.records.push_back(std::move(record));
}

std::vector<drawn_record> anyLog()
{
    return *rc::gen::container<std::vector<drawn_record>>(anyRecord());
}

bool isBelowOrSame(const place &inner, const place &outer)
{
    return inner.dataCentre == outer.dataCentre && (outer.service.empty() || inner.service == outer.service);
}

// Whether two edits overlap, stated without the marks that the fold keeps.
bool isOverlap(const edit &left, const edit &right)
{
    const bool isLeftPlace = left.path.isPlace();
    const bool isRightPlace = right.path.isPlace();
    if (!isLeftPlace && !isRightPlace) {
        return left.path == right.path;
    }
    return (isLeftPlace && isBelowOrSame(right.path.where, left.path.where))
        || (isRightPlace && isBelowOrSame(left.path.where, right.path.where));
}

bool isOverlap(const std::vector<edit> &left, const std::vector<edit> &right)
{
    return std::ranges::any_of(left, [&](const edit &one) {
        return std::ranges::any_of(right, [&](const edit &other) {
            return isOverlap(one, other);
        });
    });
}

bool isConflictExpected(const folded_log &log, std::size_t index)
{
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
        const fold_verdict &verdict = log.verdicts[earlier];
        if (verdict.kind == verdict_kind::Accepted && verdict.version > log.records[index].base
            && isOverlap(log.records[earlier].edits, log.records[index].edits)) {
            return true;
        }
    }
    return log.records[index].base == 0 && isOverlap(sample::startEdits(), log.records[index].edits);
}

} // namespace

TEST_CASE("versions never move back, rejected records change nothing, and every tree in force is valid")
{
    std::map<verdict_kind, std::size_t> seen;
    CHECK(holds("versions never move back, rejected records change nothing, and every tree in force is valid",
                sequences,
                [&] {
                    folded_log log;
                    for (const drawn_record &drawn : anyLog()) {
                        const fold_state before = log.state;
                        append(log, drawn);
                        const fold_verdict &verdict = log.verdicts.back();
                        ++seen[verdict.kind];
                        RC_ASSERT(log.state.position == before.position + 1);
                        if (verdict.kind == verdict_kind::Accepted) {
                            RC_ASSERT(log.state.version == before.position);
                            RC_ASSERT(bool(attempt([&] {
                                return validateTree(log.state.tree);
                            })));
                        } else {
                            RC_ASSERT(log.state.version == before.version);
                            RC_ASSERT(log.state.tree == before.tree);
                            RC_ASSERT(log.state.changes == before.changes);
                            RC_ASSERT(!verdict.message.empty() || verdict.first == verdict_kind::Accepted);
                        }
                    }
                }));
    for (const auto kind :
         {verdict_kind::Accepted, verdict_kind::Conflict, verdict_kind::InvalidTree, verdict_kind::Duplicate}) {
        CHECK(seen[kind] > 300);
    }
}

TEST_CASE("a record conflicts exactly if it overlaps an accepted record after its base")
{
    CHECK(holds("a record conflicts exactly if it overlaps an accepted record after its base", sequences, [] {
        folded_log log;
        for (const drawn_record &drawn : anyLog()) {
            append(log, drawn);
            const verdict_kind kind = log.verdicts.back().kind;
            if (kind != verdict_kind::Duplicate) {
                RC_ASSERT((kind == verdict_kind::Conflict) == isConflictExpected(log, log.records.size() - 1));
            }
        }
    }));
}

TEST_CASE("of two concurrent records, disjoint ones both take effect and overlapping ones have one winner")
{
    CHECK(holds("of two concurrent records, disjoint ones both take effect and overlapping ones have one winner",
                sequences,
                [] {
                    const auto first = *sample::anyEdits();
                    const auto second = *sample::anyEdits();
                    const auto verdictsOf = [&](const std::vector<edit> &one, const std::vector<edit> &other) {
                        fold_state state = startState();
                        const auto a = foldInto(state, encodeRecord({{1, 1}, 1, "awa", one})).kind;
                        const auto b = foldInto(state, encodeRecord({{1, 2}, 1, "ben", other})).kind;
                        return std::pair(a, b);
                    };
                    const auto [a, b] = verdictsOf(first, second);
                    RC_PRE(a == verdict_kind::Accepted && verdictsOf(second, first).first == verdict_kind::Accepted);
                    RC_ASSERT((b == verdict_kind::Conflict) == isOverlap(first, second));
                }));
}

TEST_CASE("a repeated record gets the first verdict and changes nothing")
{
    CHECK(holds("a repeated record gets the first verdict and changes nothing", sequences, [] {
        folded_log log;
        for (const drawn_record &drawn : anyLog()) {
            append(log, drawn);
            const fold_verdict first = log.verdicts.back();
            fold_state state = log.state;
            const fold_verdict repeat = foldInto(state, log.bytes.back());
            RC_ASSERT(repeat.kind == verdict_kind::Duplicate);
            RC_ASSERT(repeat.first == (first.kind == verdict_kind::Duplicate ? first.first : first.kind));
            RC_ASSERT(repeat.version == first.version);
            RC_ASSERT(state.tree == log.state.tree);
        }
    }));
}

TEST_CASE("a snapshot at any position and the records after it give the state of the whole fold")
{
    CHECK(holds("a snapshot at any position and the records after it give the state of the whole fold", sequences, [] {
        folded_log log;
        std::vector<fold_state> states;
        for (const drawn_record &drawn : anyLog()) {
            states.push_back(log.state);
            append(log, drawn);
        }
        RC_PRE(!states.empty());
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, states.size());
        snapshot_collector collector;
        std::optional<fold_state> state;
        for (const std::string &part : encodeSnapshot(states[cut])) {
            state = addSnapshotPart(collector, part);
        }
        RC_ASSERT(bool(state));
        RC_ASSERT(*state == states[cut]);
        for (std::size_t index = cut; index < log.bytes.size(); ++index) {
            RC_ASSERT(foldInto(*state, log.bytes[index]) == log.verdicts[index]);
        }
        RC_ASSERT(*state == log.state);
        RC_ASSERT(encodeSnapshot(*state) == encodeSnapshot(log.state));
    }));
}
