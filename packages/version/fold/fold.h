// The fold: turns the records of stream `config`, in offset order, into the tree in force. Every node and the command
// line run the same pure function, so all agree on which edits were accepted.
//
//   fold_step step = foldRecord(std::move(state), record.offset, record.data);
//   state = std::move(step.state);
//   if (step.verdict.kind == verdict_kind::Accepted) swapIn(state.tree, state.version);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "version/tree/config_tree.h"

namespace pistachioquay {

enum class verdict_kind : std::uint8_t
{
    Accepted,
    Conflict, // a path was changed by another record after the base version
    InvalidTree, // the edits do not apply or leave a reference dangling
    BaseTooOld, // conflicts can no longer be ruled out
    Malformed, // truncated, corrupt, oversized, without edits, or of a base that does not exist
    Duplicate, // the publish id was seen before; the first verdict stands
    UnreadableSchema, // newer than this program reads; the fold stops here
    OutOfOrder, // not the record at the position; nothing was folded
};

// The verdict on one record, equal on every node.
struct fold_verdict
{
    verdict_kind kind = verdict_kind::Malformed;
    std::uint64_t version = 0; // Accepted: the new version; Duplicate: that of the first if it was accepted
    verdict_kind first = verdict_kind::Malformed; // Duplicate: verdict on the first record
    std::string path; // Conflict: the path that conflicts
    std::string winner; // Conflict: author of the change that stands
    std::uint64_t winnerVersion = 0; // Conflict: its version
    std::string message;
    std::string remedy;

    friend bool operator==(const fold_verdict &, const fold_verdict &) = default;
};

// The last accepted change of a path.
struct change_mark
{
    std::uint64_t version = 0;
    bool isTombstone = false; // the path was unset or the place was removed
    std::string author;

    friend bool operator==(const change_mark &, const change_mark &) = default;
};

// What became of a publish id.
struct publish_entry
{
    std::uint64_t offset = 0;
    fold_verdict verdict;

    friend bool operator==(const publish_entry &, const publish_entry &) = default;
};

// Publish ids whose verdicts are kept.
inline constexpr std::size_t maxPublishEntries = 1024;
// Tombstones that are kept; above it the older half is discarded.
inline constexpr std::size_t maxTombstones = 8192;

// Everything that the verdict on the next record depends on.
struct fold_state
{
    std::uint64_t position = 1; // offset of the next record to fold
    std::uint64_t version = 0; // offset of the last accepted record; 0 for none
    std::uint64_t oldestBase = 0; // records with an older base are rejected
    config_tree tree;
    std::map<tree_path, change_mark> changes;
    std::size_t tombstones = 0; // number of tombstones in `changes`
    std::map<hash128, publish_entry> publishes;
    std::map<std::uint64_t, hash128> publishOrder; // ids of `publishes` by offset

    friend bool operator==(const fold_state &, const fold_state &) = default;
};

struct fold_step
{
    fold_state state;
    fold_verdict verdict;
};

// foldRecord folds the record at `offset`, which must be the state's position. A rejected record changes only the
// position and the publish ids; an unreadable schema or a wrong offset changes nothing. Thread safe. Any bytes get a
// verdict.
fold_step foldRecord(fold_state state, std::uint64_t offset, std::string_view bytes);

// plainText shortens a text out of a record and replaces its control characters, so that it can be kept and shown on
// terminals. Thread safe.
std::string plainText(std::string_view text);

// verdictName returns the stable lower-case name of a verdict. Thread safe.
std::string_view verdictName(verdict_kind kind);

// describe formats a verdict as one line with its remedy. Thread safe.
std::string describe(const fold_verdict &verdict);

} // namespace pistachioquay
