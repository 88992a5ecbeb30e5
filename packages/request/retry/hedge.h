// Decides whether a slow request is hedged, which means sent to a second worker as well, and which of the two attempts
// is cancelled.
//
//   const auto at = hedgeAt(context, startedAt);                          // when to hedge if no response has arrived
//   if (at && mayHedge(context, budget, now)) sendHedge();
//   const hedge_action action = recordAttemptResponse(request, hedged_attempt::Hedge);
//   if (action.forwardResponse) forwardToCaller(response);
//   if (action.cancel) cancelAttempt(*action.cancel);
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "request/retry/retry.h"

namespace pistachioquay {

struct hedge_context
{
    milliseconds hedgeAfter{0}; // delay before a hedge, from the policy; 0: no hedging
    bool isIdempotent = false;
    bool isBodyReplayable = true;
    bool isSuspect = false; // the request may crash workers, so it is never hedged
    bool isSaturated = false; // see isSaturated() in routing.h
    std::uint32_t inheritedAttempts = 0; // `X-Pq-Attempt` of the request as it arrived
    std::uint32_t failedAttempts = 0; // a retried request is not hedged
    time_point deadline;
};

// hedgeAt returns when to hedge an attempt that started at `startedAt`; empty if the request must not be hedged. Thread
// safe.
std::optional<time_point> hedgeAt(const hedge_context &context, time_point startedAt);

// mayHedge returns whether the hedge may be sent now, and if so takes it out of the retry budget. Call it at the time
// that hedgeAt returned. Not thread safe.
bool mayHedge(const hedge_context &context, retry_budget &budget, time_point now);

enum class hedged_attempt : std::uint8_t
{
    Original,
    Hedge,
};

// State of the two attempts of a hedged request. The first attempt to respond wins.
struct hedged_request
{
    bool isOriginalOpen = true; // the original has neither failed nor been cancelled
    bool isHedgeOpen = false; // the hedge was sent, and has neither failed nor been cancelled
    std::optional<hedged_attempt> winner;

    friend bool operator==(const hedged_request &, const hedged_request &) = default;
};

struct hedge_action
{
    bool forwardResponse = false; // forward this attempt's response to the caller
    std::optional<hedged_attempt> cancel; // attempt to cancel
    bool hasNoAttemptLeft = false; // every attempt sent has failed: decide about a retry
};

// recordHedgeSent records that the hedge was sent. Thread safe for different requests.
void recordHedgeSent(hedged_request &request);

// recordAttemptResponse records that the response headers of `attempt` have arrived. The first attempt that responds
// wins and the other one is cancelled; a response of a cancelled attempt is not forwarded. Thread safe for different
// requests.
hedge_action recordAttemptResponse(hedged_request &request, hedged_attempt attempt);

// recordAttemptFailure records that `attempt` failed before its response began. Thread safe for different requests.
hedge_action recordAttemptFailure(hedged_request &request, hedged_attempt attempt);

} // namespace pistachioquay
