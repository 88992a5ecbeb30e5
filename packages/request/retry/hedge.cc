#include "request/retry/hedge.h"

#include "request/retry/deadline.h"

namespace pistachioquay {

namespace {

bool &openFlag(hedge_race &race, race_copy copy)
{
    return copy == race_copy::First ? race.isFirstOpen : race.isSecondOpen;
}

race_copy otherOf(race_copy copy)
{
    return copy == race_copy::First ? race_copy::Second : race_copy::First;
}

} // namespace

std::optional<time_point> hedgeAt(const hedge_facts &facts, time_point startedAt)
{
    const bool isAsked = facts.hedgeAfter > milliseconds(0);
    const bool isSafe = facts.isIdempotent && facts.isBodyReplayable && !facts.isSuspect;
    const bool isFirst = facts.inheritedAttempts == 0 && facts.tries == 0;
    const time_point at = startedAt + facts.hedgeAfter;
    if (!isAsked || !isSafe || !isFirst || facts.deadline - at < leastTimeForRetry) {
        return std::nullopt;
    }
    return at;
}

bool mayHedge(const hedge_facts &facts, retry_budget &budget, time_point now)
{
    return !facts.isSaturated && hedgeAt(facts, now - facts.hedgeAfter).has_value() && takeRetry(budget, now);
}

void startSecond(hedge_race &race)
{
    race.isSecondOpen = !race.winner.has_value();
}

race_action copyResponded(hedge_race &race, race_copy copy)
{
    if (race.winner || !openFlag(race, copy)) {
        return {};
    }
    race.winner = copy;
    bool &otherOpen = openFlag(race, otherOf(copy));
    const bool wasOpen = otherOpen;
    otherOpen = false;
    return {true, wasOpen ? std::optional(otherOf(copy)) : std::nullopt, false};
}

race_action copyFailed(hedge_race &race, race_copy copy)
{
    if (race.winner || !openFlag(race, copy)) {
        return {};
    }
    openFlag(race, copy) = false;
    return {false, std::nullopt, !openFlag(race, otherOf(copy))};
}

} // namespace pistachioquay
