// What a publisher does next, from what it has seen of the log. An append whose response was lost is looked for by its
// publish id before it is repeated; a repeat that crosses the first does no harm, because the fold takes an id once.
//
//   publish_progress progress{record.publishId};
//   publish_decision next = decidePublish(progress);
//   // Append: append and call onAppended or onAppendLost.
//   // Read: read on to the log's end, onFolded for each record, then onLogEnd.
//   // Report...: tell the operator and stop.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/hash.h"
#include "version/fold/fold.h"

namespace pistachioquay {

enum class publish_action : std::uint8_t
{
    Append,
    Read,
    ReportAccepted,
    ReportRejected,
    ReportNotSent, // time ran out before anything was sent
    ReportUnknown, // the record may or may not take effect
};

// What a publisher knows about its record.
struct publish_progress
{
    hash128 publishId;
    std::uint32_t appends = 0; // attempts that took or may take effect
    std::uint64_t offset = 0; // where the log acknowledged the record; 0 for nowhere
    bool isOpen = false; // the log's end was not read since the last attempt failed
    bool isTimeUp = false;
    bool isStopped = false; // the fold met a schema that this program does not read
    std::optional<fold_verdict> verdict;

    friend bool operator==(const publish_progress &, const publish_progress &) = default;
};

struct publish_decision
{
    publish_action action = publish_action::Append;
    fold_verdict verdict; // for ReportAccepted and ReportRejected
    std::string message; // for ReportNotSent and ReportUnknown
    std::string remedy;
};

// Appends of one record at most.
inline constexpr std::uint32_t maxAppends = 5;

// decidePublish returns the next step. Thread safe.
publish_decision decidePublish(const publish_progress &progress);

// onAppended notes that the log acknowledged the record at `offset`. Thread safe.
publish_progress onAppended(publish_progress progress, std::uint64_t offset);

// onAppendLost notes that the response to an append was lost, so that it may have taken effect. An append that
// certainly took no effect is not noted at all: the next step is another append. Thread safe.
publish_progress onAppendLost(publish_progress progress);

// onFolded notes the verdict on the record at `offset`; `state` is the state after it. Thread safe.
publish_progress
onFolded(publish_progress progress, std::uint64_t offset, const fold_state &state, const fold_verdict &verdict);

// onLogEnd notes that everything up to the log's end was folded by a read that began after the last append. Thread
// safe.
publish_progress onLogEnd(publish_progress progress);

} // namespace pistachioquay
