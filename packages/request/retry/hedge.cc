#include "request/retry/hedge.h"

#include "request/retry/deadline.h"

namespace pistachioquay {

namespace {

bool &openFlag(hedged_request &request, hedged_attempt attempt)
{
    return attempt == hedged_attempt::Original ? request.isOriginalOpen : request.isHedgeOpen;
}

hedged_attempt otherAttempt(hedged_attempt attempt)
{
    return attempt == hedged_attempt::Original ? hedged_attempt::Hedge : hedged_attempt::Original;
}

} // namespace

std::optional<time_point> hedgeAt(const hedge_context &context, time_point startedAt)
{
    const bool isEnabled = context.hedgeAfter > milliseconds(0);
    const bool isSafe = context.isIdempotent && context.isBodyReplayable && !context.isSuspect;
    const bool isFirstAttempt = context.inheritedAttempts == 0 && context.failedAttempts == 0;
    const time_point at = startedAt + context.hedgeAfter;
    if (!isEnabled || !isSafe || !isFirstAttempt || context.deadline - at < minTimeForRetry) {
        return std::nullopt;
    }
    return at;
}

bool mayHedge(const hedge_context &context, retry_budget &budget, time_point now)
{
    return !context.isSaturated && hedgeAt(context, now - context.hedgeAfter).has_value()
        && tryAcquireRetry(budget, now);
}

void recordHedgeSent(hedged_request &request)
{
    request.isHedgeOpen = !request.winner.has_value();
}

hedge_action recordAttemptResponse(hedged_request &request, hedged_attempt attempt)
{
    if (request.winner || !openFlag(request, attempt)) {
        return {};
    }
    request.winner = attempt;
    bool &otherOpen = openFlag(request, otherAttempt(attempt));
    const bool wasOpen = otherOpen;
    otherOpen = false;
    return {true, wasOpen ? std::optional(otherAttempt(attempt)) : std::nullopt, false};
}

hedge_action recordAttemptFailure(hedged_request &request, hedged_attempt attempt)
{
    if (request.winner || !openFlag(request, attempt)) {
        return {};
    }
    openFlag(request, attempt) = false;
    return {false, std::nullopt, !openFlag(request, otherAttempt(attempt))};
}

} // namespace pistachioquay
