#include "version/fold/fold.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "version/fold/edit_record.h"
#include "version/tree/compile.h"

namespace pistachioquay {

namespace {

using change_map = std::map<tree_path, change_mark>;

fold_verdict rejected(verdict_kind kind, std::string_view message, std::string_view remedy)
{
    fold_verdict verdict;
    verdict.kind = kind;
    verdict.message = plainText(message);
    verdict.remedy = plainText(remedy);
    return verdict;
}

bool isBelow(const tree_path &path, const place &top)
{
    return path.where.dataCentre == top.dataCentre && (top.service.empty() || path.where.service == top.service);
}

change_map::const_iterator changedAfter(const change_map &changes, const tree_path &path, std::uint64_t base)
{
    const auto found = changes.find(path);
    return found != changes.end() && found->second.version > base ? found : changes.end();
}

// Finds a change after `base` of the place or of a place above it. The deployment itself never changes as a place.
change_map::const_iterator placeChangedAfter(const change_map &changes, const place &where, std::uint64_t base)
{
    if (where.dataCentre.empty()) {
        return changes.end();
    }
    const auto dataCentre = changedAfter(changes, placePath({where.dataCentre, ""}), base);
    if (dataCentre != changes.end() || where.service.empty()) {
        return dataCentre;
    }
    return changedAfter(changes, placePath(where), base);
}

change_map::const_iterator anythingBelowChangedAfter(const change_map &changes, const place &top, std::uint64_t base)
{
    auto each = changes.lower_bound(placePath(top));
    for (; each != changes.end() && isBelow(each->first, top); ++each) {
        if (each->second.version > base) {
            return each;
        }
    }
    return changes.end();
}

change_map::const_iterator findConflict(const change_map &changes, const edit &change, std::uint64_t base)
{
    const auto byPlace = placeChangedAfter(changes, change.path.where, base);
    if (byPlace != changes.end()) {
        return byPlace;
    }
    const bool isPlaceEdit = change.kind == edit_kind::AddPlace || change.kind == edit_kind::RemovePlace;
    return isPlaceEdit ? anythingBelowChangedAfter(changes, change.path.where, base)
                       : changedAfter(changes, change.path, base);
}

std::optional<fold_verdict> conflictOf(const fold_state &state, const edit_record &record)
{
    for (const edit &change : record.edits) {
        const auto found = findConflict(state.changes, change, record.base);
        if (found == state.changes.end()) {
            continue;
        }
        const change_mark &winner = found->second;
        fold_verdict verdict =
            rejected(verdict_kind::Conflict,
                     "`" + toText(change.path) + "` conflicts with `" + toText(found->first) + "` that " + winner.author
                         + " changed in version " + std::to_string(winner.version) + ", after the base version "
                         + std::to_string(record.base),
                     "export version " + std::to_string(state.version) + ", repeat the edit there and publish again");
        verdict.path = plainText(toText(change.path));
        verdict.winner = winner.author;
        verdict.winnerVersion = winner.version;
        return verdict;
    }
    return std::nullopt;
}

void putMark(fold_state &state, const tree_path &path, change_mark mark)
{
    change_mark &stored = state.changes[path];
    state.tombstones -= stored.isTombstone ? 1 : 0;
    state.tombstones += mark.isTombstone ? 1 : 0;
    stored = std::move(mark);
}

// Removes the marks below a place: the mark of the place itself stands for them from now on.
void dropMarksBelow(fold_state &state, const place &top)
{
    auto each = state.changes.lower_bound(placePath(top));
    while (each != state.changes.end() && isBelow(each->first, top)) {
        state.tombstones -= each->second.isTombstone ? 1 : 0;
        each = state.changes.erase(each);
    }
}

void markChange(fold_state &state, const edit &change, std::uint64_t version, const std::string &author)
{
    const bool isRemoval = change.kind == edit_kind::UnsetValue || change.kind == edit_kind::RemovePlace;
    if (change.kind == edit_kind::RemovePlace) {
        dropMarksBelow(state, change.path.where);
    }
    putMark(state, change.path, {version, isRemoval, plainText(author)});
}

// Discards the older half of the tombstones when there are too many, and raises the oldest base accordingly.
void boundTombstones(fold_state &state)
{
    if (state.tombstones <= maxTombstones) {
        return;
    }
    std::vector<std::uint64_t> versions;
    for (const auto &[path, mark] : state.changes) {
        if (mark.isTombstone) {
            versions.push_back(mark.version);
        }
    }
    const auto middle = versions.begin() + static_cast<std::ptrdiff_t>(versions.size() / 2);
    std::ranges::nth_element(versions, middle);
    state.oldestBase = std::max(state.oldestBase, *middle);
    std::erase_if(state.changes, [&](const auto &entry) {
        return entry.second.isTombstone && entry.second.version <= state.oldestBase;
    });
    state.tombstones = static_cast<std::size_t>(std::ranges::count_if(state.changes, [](const auto &entry) {
        return entry.second.isTombstone;
    }));
}

void remember(fold_state &state, const hash128 &publishId, std::uint64_t offset, const fold_verdict &verdict)
{
    state.publishes[publishId] = {offset, verdict};
    state.publishOrder[offset] = publishId;
    while (state.publishOrder.size() > maxPublishEntries) {
        state.publishes.erase(state.publishOrder.begin()->second);
        state.publishOrder.erase(state.publishOrder.begin());
    }
}

std::optional<fold_verdict> baseFault(const fold_state &state, const edit_record &record)
{
    if (record.edits.empty()) {
        return rejected(verdict_kind::Malformed, "the record has no edits", "publish at least one edit");
    }
    if (record.base > state.version) {
        return rejected(verdict_kind::Malformed,
                        "the base version " + std::to_string(record.base) + " is newer than version "
                            + std::to_string(state.version),
                        "export the present tree and repeat the edit there");
    }
    if (record.base < state.oldestBase) {
        return rejected(verdict_kind::BaseTooOld,
                        "the base version " + std::to_string(record.base) + " is older than "
                            + std::to_string(state.oldestBase) + ", from which conflicts are known",
                        "export the present tree, repeat the edit there and publish again");
    }
    return std::nullopt;
}

// Applies the edits of a record; the state is changed only if they are accepted.
fold_verdict applyRecord(fold_state &state, std::uint64_t offset, const edit_record &record)
{
    if (auto fault = baseFault(state, record)) {
        return *fault;
    }
    if (auto conflict = conflictOf(state, record)) {
        return *conflict;
    }
    auto next = attempt([&]() -> result<config_tree> {
        BOOST_LEAF_AUTO(tree, applyEdits(state.tree, record.edits));
        BOOST_LEAF_CHECK(validateEdits(tree, record.edits));
        return tree;
    });
    if (!next) {
        return rejected(verdict_kind::InvalidTree, next.failure().message, next.failure().remedy);
    }
    state.tree = *std::move(next);
    state.version = offset;
    for (const edit &change : record.edits) {
        markChange(state, change, offset, record.author);
    }
    boundTombstones(state);
    fold_verdict verdict;
    verdict.kind = verdict_kind::Accepted;
    verdict.version = offset;
    return verdict;
}

fold_verdict foldDecoded(fold_state &state, std::uint64_t offset, const edit_record &record)
{
    const auto known = state.publishes.find(record.publishId);
    if (known != state.publishes.end()) {
        fold_verdict verdict = known->second.verdict;
        verdict.first = verdict.kind;
        verdict.kind = verdict_kind::Duplicate;
        return verdict;
    }
    fold_verdict verdict = applyRecord(state, offset, record);
    remember(state, record.publishId, offset, verdict);
    return verdict;
}

} // namespace

std::string plainText(std::string_view text)
{
    constexpr std::size_t maxPlainText = 2048;
    std::string plain(text.substr(0, maxPlainText));
    std::ranges::replace_if(
        plain,
        [](char character) {
            return (character >= 0 && character < ' ') || character == 0x7f;
        },
        '?');
    return plain;
}

fold_step foldRecord(fold_state state, std::uint64_t offset, std::string_view bytes)
{
    if (offset != state.position) {
        auto verdict =
            rejected(verdict_kind::OutOfOrder,
                     "record " + std::to_string(offset) + " is not at position " + std::to_string(state.position),
                     "read the record at the position, or a snapshot");
        return {std::move(state), std::move(verdict)};
    }
    const decoded_record decoded = decodeRecord(bytes);
    if (decoded.status == envelope_status::UnreadableSchema) {
        auto verdict = rejected(verdict_kind::UnreadableSchema,
                                "record " + std::to_string(offset) + " has schema " + std::to_string(decoded.schema)
                                    + ", but this program reads up to " + std::to_string(recordSchema),
                                "install a newer pistachioquay");
        return {std::move(state), std::move(verdict)};
    }
    fold_verdict verdict = decoded.status == envelope_status::Good
        ? foldDecoded(state, offset, decoded.record)
        : rejected(verdict_kind::Malformed,
                   "record " + std::to_string(offset) + " is truncated, corrupt, oversized or no edit record",
                   "publish the edit again");
    state.position = offset + 1;
    return {std::move(state), std::move(verdict)};
}

std::string_view verdictName(verdict_kind kind)
{
    constexpr std::array<std::string_view, 8> names = {
        "accepted",
        "conflict",
        "invalid_tree",
        "base_too_old",
        "malformed",
        "duplicate",
        "unreadable_schema",
        "out_of_order",
    };
    return names.at(static_cast<std::size_t>(kind));
}

std::string describe(const fold_verdict &verdict)
{
    std::string text(verdictName(verdict.kind));
    if (verdict.kind == verdict_kind::Duplicate) {
        text += " of a record that was " + std::string(verdictName(verdict.first));
    }
    if (verdict.version != 0) {
        text += " at version " + std::to_string(verdict.version);
    }
    if (!verdict.message.empty()) {
        text += ": " + verdict.message + "; " + verdict.remedy;
    }
    return text;
}

} // namespace pistachioquay
