// Reads the fold state from the log: the newest usable snapshot, then the records from its position on.
//
//   BOOST_LEAF_AUTO(latest, readLatest(access.log));
//   BOOST_LEAF_AUTO(earlier, readVersion(access.log, 12));
#pragma once

#include <cstdint>
#include <functional>

#include "pistachioquay/access.h"
#include "version/fold/fold.h"

namespace pistachioquay {

// The state at the log's end, or before a record that this program cannot read.
struct log_state
{
    fold_state state;
    std::uint64_t first = 1; // oldest offset that the log keeps
    std::uint64_t next = 1; // offset of the next append
    bool isStopped = false; // the record at the position has a newer schema
};

// Gets each record that is folded, the state after it, and the verdict.
using fold_visitor = std::function<void(const log_record &, const fold_state &, const fold_verdict &)>;

// readLatest returns the state at the log's end. Thread safe. Fails as the log does, and with NotFound if records have
// expired that no snapshot covers.
result<log_state> readLatest(const log_access &log);

// readVersion returns the state whose version is `version`. Thread safe. Fails as `readLatest`, and with NotFound if no
// record with this offset was accepted or if it can no longer be restored.
result<fold_state> readVersion(const log_access &log, std::uint64_t version);

// readHistory folds at least the last `limit` records that the log keeps, if a snapshot allows it, and shows each
// record to `visit`. Thread safe. Fails as `readLatest`.
result<log_state> readHistory(const log_access &log, std::uint64_t limit, const fold_visitor &visit);

// foldNext reads records from the position of `latest` on, waits up to `wait` for the first, and folds them. It reads
// to the end that the log had when the read began. Thread safe. Fails as the log does, and with NotFound if records
// have expired.
result<log_state> foldNext(const log_access &log, log_state latest, milliseconds wait, const fold_visitor &visit);

} // namespace pistachioquay
