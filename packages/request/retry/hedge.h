// Decides whether a second copy of a slow request is sent to another worker, and which copy is cancelled.
//
//   const auto at = hedgeAt(facts, startedAt);                            // when to wake if no response has arrived
//   if (at && mayHedge(facts, budget, now)) startSecondTry();
//   const race_action action = copyResponded(race, race_copy::Second);    // pass on one copy, cancel the other
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "request/retry/retry.h"

namespace pistachioquay {

struct hedge_facts
{
    milliseconds hedgeAfter{0}; // of the policy; 0: no hedging
    bool isIdempotent = false;
    bool isBodyReplayable = true;
    bool isSuspect = false; // a request that may crash workers is never doubled
    bool isSaturated = false;
    std::uint32_t inheritedAttempts = 0;
    std::uint32_t tries = 0; // tries that have failed; a retried request is not hedged as well
    time_point deadline;
};

// hedgeAt returns when a hedge is due for a try started at `startedAt`; empty if the request is never hedged.
// Thread safe.
std::optional<time_point> hedgeAt(const hedge_facts &facts, time_point startedAt);

// mayHedge decides at that time and takes from the retry budget. Not thread safe.
bool mayHedge(const hedge_facts &facts, retry_budget &budget, time_point now);

enum class race_copy : std::uint8_t
{
    First,
    Second,
};

// Two copies of one request. A copy that fails leaves the race to the other one.
struct hedge_race
{
    bool isFirstOpen = true;
    bool isSecondOpen = false;
    std::optional<race_copy> winner;

    friend bool operator==(const hedge_race &, const hedge_race &) = default;
};

struct race_action
{
    bool passOn = false; // pass this copy's response to the caller
    std::optional<race_copy> cancel; // cancel this copy
    bool hasFailed = false; // no copy is left: decide about a retry
};

// startSecond notes that the second copy was sent. Thread safe for different races.
void startSecond(hedge_race &race);

// copyResponded notes that the head of a response of `copy` has arrived. The first one wins, the other copy is
// cancelled; a response of a copy that has lost is not passed on. Thread safe for different races.
race_action copyResponded(hedge_race &race, race_copy copy);

// copyFailed notes that `copy` failed before its response began. Thread safe for different races.
race_action copyFailed(hedge_race &race, race_copy copy);

} // namespace pistachioquay
