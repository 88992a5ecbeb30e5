// Which node of a data centre reads the platform's store, and how often it tries again.
//
//   if (shouldRead(facts)) read(longPollWait(facts.bound));
//   ...                                        // the store did not answer, or refused
//   pauseFor(readBackoff(failures, facts.rank));
//
// Load pattern: while the store is away or refuses some of the nodes, every node of a data centre steps in for the
// reader. They do so one after the other, and each one that fails tries less often, so that an outage costs a few calls
// a second and its end brings no wave; the nodes of the first ranks try often enough to notice the end within the
// bound.
#pragma once

#include <cstddef>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr milliseconds rankStagger{80}; // between nodes that step in for a silent reader
inline constexpr std::size_t lastStagger = 12; // ranks beyond step in together
inline constexpr milliseconds firstReadPause{150}; // after the first failed read; doubles with each further one
inline constexpr milliseconds longestReadPause{800}; // of the reader
inline constexpr milliseconds readPausePerRank{150}; // added to the longest pause for each rank behind the reader
inline constexpr std::size_t lastPauseRank = 20; // ranks beyond pause alike

struct reader_status
{
    std::size_t rank = 0; // of this node among those of its data centre that are heard of; 0 is the reader
    duration behindFor{0}; // since another node was heard to have a newer version than this one
    duration sinceReaderAnnouncement{0}; // since the reader of the data centre was last heard to have read it
    milliseconds bound{2000}; // within which a version has to be in force

    friend auto operator<=>(const reader_status &, const reader_status &) = default;
};

// shouldRead decides it. The reader always does; the others step in one after the other when its word is overdue, and
// when they know of a newer version and no other node has sent it. Thread safe.
bool shouldRead(const reader_status &facts);

// longPollWait returns how long a read may wait at the platform for a new version. Thread safe.
milliseconds longPollWait(milliseconds bound);

// readBackoff returns the time until the next try after `failures` failed reads in a row. Thread safe.
milliseconds readBackoff(unsigned failures, std::size_t rank);

} // namespace pistachioquay
