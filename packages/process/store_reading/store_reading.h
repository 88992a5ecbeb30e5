// Decides which nodes of a data centre read the platform's store, and how long they back off after a failed read.
//
//   if (shouldRead(status)) read(longPollWait(status.bound));
//   ...                                        // if the store did not respond or refused the read:
//   sleepFor(readBackoff(failures, status.rank));
//
// The nodes of a data centre are ranked. The node of rank 0, the reader, long-polls the store; the others get a new
// version from other nodes.
//
// Load pattern: while the store is unavailable or refuses some of the nodes, every node of a data centre takes over for
// the reader. They do so one after the other, and each node that fails retries less and less often. An outage then
// costs the store a few calls per second, and its end causes no burst of calls. The nodes of the lowest ranks still
// retry often enough to notice the end within the bound.
#pragma once

#include <cstddef>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds rankStagger{80}; // delay between ranks that take over for a silent reader
inline constexpr std::size_t maxStaggers = 12; // higher ranks take over together
inline constexpr milliseconds initialReadBackoff{150}; // pause after the first failed read; doubles with each one
inline constexpr milliseconds maxReadBackoff{800}; // longest pause of the reader
inline constexpr milliseconds maxReadBackoffPerRank{150}; // added to `maxReadBackoff` for each rank
inline constexpr std::size_t maxBackoffRank = 20; // higher ranks back off like this one

// What a node knows when it decides whether to read.
struct reader_status
{
    std::size_t rank = 0; // of this node among the nodes of its data centre that are not silent; 0: the reader
    duration behindFor{0}; // since this node has known that another has a newer version
    duration sinceReaderAnnouncement{0}; // since the last announcement that the data centre's reader has read the store
    milliseconds bound{2000}; // within which a new version has to be in force

    friend auto operator<=>(const reader_status &, const reader_status &) = default;
};

// shouldRead returns whether a node reads the store. The reader always does. Another node does if the reader's
// announcement is overdue, the later the higher its rank, or if it has known for a third of the bound of a newer
// version that no other node has sent to it. Thread safe.
bool shouldRead(const reader_status &status);

// longPollWait returns how long a read may wait in the store for a new version. Thread safe.
milliseconds longPollWait(milliseconds bound);

// readBackoff returns the time until the next read after `failures` failed reads in a row. Thread safe.
milliseconds readBackoff(unsigned failures, std::size_t rank);

} // namespace pistachioquay
