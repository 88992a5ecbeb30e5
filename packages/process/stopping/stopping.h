// Decides which requests a node still accepts after it was asked to stop.
//
//   if (!mayAcceptWhileStopping(stop, request)) refuse();               // not run; the caller goes to another node
//
// Load pattern: requests arrive until the process ends, on connections that callers keep and from the own worker, which
// makes calls while it finishes its last runs. A request that is accepted and not answered by the end is cut, and its
// caller cannot tell whether it has run. Only what ends in time by its own deadline is therefore accepted. Retryable
// requests of callers may exceed that early on if they are expected to end far earlier.
//
// Thread safe: the functions have no state.
#pragma once

#include "base/clock.h"

namespace pistachioquay {

// Requests of callers are accepted for this long, within which callers see two failed readiness checks.
inline constexpr milliseconds callerAcceptTime{2300};
inline constexpr milliseconds answerMargin{300}; // from the deadline of a request until its answer is on its way
inline constexpr unsigned runEstimateFactor = 2; // by which a retryable request may exceed its estimate

struct stop_times
{
    time_point startedAt; // when the node was asked to stop
    time_point exitAt; // when it exits at the latest

    friend auto operator<=>(const stop_times &, const stop_times &) = default;
};

struct late_request
{
    time_point arrivedAt;
    time_point latestEnd; // its deadline, by its route and its caller
    milliseconds expectedTime{0}; // until its answer, estimated
    bool isRetryable = false;
    bool mayBeFromWorker = false; // a call of the own worker; refusing it would fail a run that is already accepted

    friend auto operator<=>(const late_request &, const late_request &) = default;
};

// endsInTime returns whether a request ends before the node exits, by its deadline.
bool endsInTime(const stop_times &stop, const late_request &request);

// mayAcceptWhileStopping returns whether a request that arrives at a stopping node may be accepted.
bool mayAcceptWhileStopping(const stop_times &stop, const late_request &request);

} // namespace pistachioquay
