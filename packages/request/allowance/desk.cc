#include "request/allowance/desk.h"

#include <algorithm>
#include <cmath>

namespace pistachioquay {

namespace {

// The overage and the slack of the bound are divided: half of both raises the limits of the buckets, so that the
// division over desks causes no false denials. A quarter of both pays for whole tokens of desks with a small part of
// the burst, and a quarter of the overage for tokens that are returned.
constexpr double overageForLimits = 0.5;
constexpr double slackForLimits = 0.5;
constexpr double forWholeTokens = 0.25;
constexpr double overageForReturns = 0.25;
// A smaller burst takes the difference from the rate, or an account without a burst would get no token at all.
constexpr double minBurst = 4;
constexpr double maxRateForBurst = 0.25; // share of the tokens of a window
constexpr milliseconds unboundedReturnAge{250}; // if no bound is stated: a refusal by a full queue comes sooner
constexpr double deniedDecayS = 1.0; // callers that were denied longer ago have come back
constexpr milliseconds sweepInterval{1000}; // between searches for sessions that have ended

std::int64_t stampOf(time_point now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
}

double secondsBetween(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

double capacity(const bucket_limit &limit, double share)
{
    const double part = limit.burst * share;
    return part < 1 && share > 0 && share >= limit.wholeTokenShare ? 1.0 : part;
}

void settle(const desk_state &desk, desk_state::bucket &bucket)
{
    bucket.tokens += bucket.limit.ratePerS * (desk.shareSeconds - bucket.settledAt);
    bucket.tokens = std::min(bucket.tokens, capacity(bucket.limit, deskShare(desk)));
    bucket.settledAt = desk.shareSeconds;
}

// Takes away the tokens above the capacity of a share that has become smaller. This cannot wait until a bucket is used:
// the share might have grown again by then, while another desk has filled its buckets for the same right.
void settleAll(desk_state &desk)
{
    for (auto &[account, bucket] : desk.buckets) {
        settle(desk, bucket);
    }
}

void accrueUntil(desk_state &desk, time_point until)
{
    if (until > desk.advancedAt) {
        desk.shareSeconds += deskShare(desk) * secondsBetween(desk.advancedAt, until);
        desk.advancedAt = until;
    }
}

void updateNodeCount(desk_state &desk)
{
    const double shareBefore = deskShare(desk);
    desk.nodeCount = desk.ownNodeCount;
    for (const auto &[process, session] : desk.sessions) {
        desk.nodeCount = std::max(desk.nodeCount, session.nodeCount);
    }
    if (deskShare(desk) < shareBefore) {
        settleAll(desk);
    }
}

void sweepSessions(desk_state &desk, time_point now)
{
    if (now - desk.sweptAt < sweepInterval) {
        return;
    }
    desk.sweptAt = now;
    // Asks that were sent before a session ended echo stamps that are too old to delegate or return anything.
    const auto isOver = [&](const auto &item) {
        return now - item.second.heardAt > delegationTime * 2;
    };
    if (std::erase_if(desk.sessions, isOver) > 0) {
        updateNodeCount(desk);
    }
}

void applyDelegation(desk_state &desk, const allowance_ask &ask, time_point now)
{
    const std::int64_t oldest = stampOf(now) - stampOf(time_point(delegationTime));
    if (!ask.delegates || ask.deskProcess != desk.process || ask.stamp > stampOf(now) || ask.stamp <= oldest) {
        return;
    }
    const time_point end = time_point(std::chrono::microseconds(ask.stamp)) + delegationTime;
    const auto [member, isNew] = desk.members.try_emplace(ask.node, end);
    if (!isNew && member->second >= end) {
        return;
    }
    desk.ends.erase({member->second, ask.node});
    member->second = end;
    desk.ends.emplace(end, ask.node);
}

void takeBack(desk_state &desk, const returned_token &returned, time_point now)
{
    const auto bucket = desk.buckets.find(returned.account);
    const std::int64_t maxAge = stampOf(time_point(maxReturnAge(desk.rules)));
    if (bucket == desk.buckets.end() || returned.grantStamp > stampOf(now)
        || returned.grantStamp < stampOf(now) - maxAge) {
        return;
    }
    settle(desk, bucket->second);
    bucket->second.tokens += 1;
    settle(desk, bucket->second);
    ++desk.counters.returned;
}

// Returns the time until all callers that were denied lately, and this one after them, can get a token.
std::int64_t retryAfterMs(const desk_state &desk, desk_state::bucket &bucket, time_point now)
{
    const double missing = std::max(0.0, 1 - bucket.tokens) + bucket.recentlyDenied;
    const double waitMs = 1000 * missing / (bucket.limit.ratePerS * deskShare(desk));
    const auto longest = static_cast<double>(maxAllowanceRetry.count());
    bucket.recentlyDenied = bucket.recentlyDenied * std::exp(-secondsBetween(bucket.deniedAt, now) / deniedDecayS) + 1;
    bucket.deniedAt = now;
    return std::llround(std::clamp(waitMs, static_cast<double>(minAllowanceRetry.count()), longest));
}

token_grant decide(desk_state &desk, const wanted_tokens &wanted, time_point now)
{
    token_grant grant{wanted.account, 0, false, 0};
    const auto found = desk.buckets.find(wanted.account);
    if (found == desk.buckets.end() || capacity(found->second.limit, deskShare(desk)) < 1) {
        return grant;
    }
    desk_state::bucket &bucket = found->second;
    settle(desk, bucket);
    grant.canGrant = true;
    const std::uint32_t count = std::min(wanted.count, maxTokensPerEntry);
    grant.granted = std::min(count, static_cast<std::uint32_t>(std::max(0.0, bucket.tokens)));
    bucket.tokens -= grant.granted;
    desk.counters.granted += grant.granted;
    if (grant.granted < count) {
        grant.retryAfterMs = retryAfterMs(desk, bucket, now);
        desk.counters.denied += count - grant.granted;
    }
    return grant;
}

} // namespace

bucket_limit bucketLimit(const allowance_limit &limit, const allowance_rules &rules)
{
    const double factor = 1 + rules.overage * overageForLimits;
    bucket_limit bucket;
    bucket.ratePerS = limit.ratePerS * factor;
    bucket.burst = limit.burst * factor + rules.slack * slackForLimits;
    if (rules.windowS <= 0) {
        return bucket;
    }
    if (bucket.burst < minBurst) {
        const double shifted = std::min(minBurst - bucket.burst, bucket.ratePerS * rules.windowS * maxRateForBurst);
        bucket.burst += shifted;
        bucket.ratePerS -= shifted / rules.windowS;
    }
    const double perWindow = limit.ratePerS * rules.windowS + limit.burst;
    const double wholeTokens = std::floor((perWindow * rules.overage + rules.slack) * forWholeTokens);
    bucket.wholeTokenShare = wholeTokens >= 1 ? 1 / wholeTokens : 2; // at most 1 / share desks have such a share
    return bucket;
}

duration maxReturnAge(const allowance_rules &rules)
{
    if (rules.windowS <= 0) {
        return unboundedReturnAge;
    }
    // Within this time, a bucket refills at most the part of the overage that is kept for returned tokens.
    const double age = rules.windowS * rules.overage * overageForReturns / (1 + rules.overage * overageForLimits);
    // A session remembers returned tokens for longer than `delegationTime`, so a repeated message returns them once.
    return std::min<duration>(delegationTime, std::chrono::duration_cast<duration>(std::chrono::duration<double>(age)));
}

desk_state makeDesk(std::uint64_t node, std::uint64_t process, const allowance_rules &rules, time_point now)
{
    desk_state desk;
    desk.node = node;
    desk.process = process;
    desk.rules = rules;
    desk.advancedAt = now;
    desk.sweptAt = now;
    return desk;
}

void setLimits(desk_state &desk, const std::unordered_map<std::uint64_t, allowance_limit> &limits, time_point now)
{
    advance(desk, now);
    settleAll(desk);
    std::erase_if(desk.buckets, [&](const auto &item) {
        return !limits.contains(item.first);
    });
    for (const auto &[account, limit] : limits) {
        const auto [found, isNew] = desk.buckets.try_emplace(account);
        found->second.limit = bucketLimit(limit, desk.rules);
        if (isNew) {
            found->second.settledAt = desk.shareSeconds;
        }
    }
    settleAll(desk);
}

void setNodeCount(desk_state &desk, std::uint32_t count, time_point now)
{
    advance(desk, now);
    if (count != desk.ownNodeCount) {
        desk.ownNodeCount = count;
        updateNodeCount(desk);
    }
}

void advance(desk_state &desk, time_point now)
{
    bool hasEnded = false;
    while (!desk.ends.empty() && desk.ends.begin()->first <= now) {
        accrueUntil(desk, desk.ends.begin()->first);
        desk.members.erase(desk.ends.begin()->second);
        desk.ends.erase(desk.ends.begin());
        hasEnded = true;
    }
    if (hasEnded) {
        settleAll(desk);
    }
    accrueUntil(desk, now);
    sweepSessions(desk, now);
}

double deskShare(const desk_state &desk)
{
    if (desk.nodeCount == 0) {
        return 0;
    }
    return std::min(1.0, static_cast<double>(desk.members.size()) / desk.nodeCount);
}

std::optional<allowance_answer> handleAsk(desk_state &desk, const allowance_ask &ask, time_point now)
{
    advance(desk, now);
    const auto known = desk.sessions.find(ask.process);
    if (known != desk.sessions.end() && ask.sequence <= known->second.lastAnswer.sequence) {
        const bool isRepeat = ask.sequence == known->second.lastAnswer.sequence;
        return isRepeat ? std::optional(known->second.lastAnswer) : std::nullopt;
    }
    if (known == desk.sessions.end() && desk.sessions.size() >= maxDeskSessions) {
        return std::nullopt;
    }
    desk_state::session &session = desk.sessions[ask.process];
    session.heardAt = now;
    const auto nodeCount = std::min<std::uint32_t>(ask.nodeCount, maxDeskSessions);
    if (session.nodeCount != nodeCount) {
        session.nodeCount = nodeCount;
        updateNodeCount(desk);
    }
    applyDelegation(desk, ask, now);
    if (ask.deskProcess == desk.process) {
        for (const returned_token &returned : ask.returned) {
            takeBack(desk, returned, now);
        }
    }
    session.lastAnswer = {desk.node, desk.process, stampOf(now), ask.process, ask.sequence, {}};
    for (const wanted_tokens &wanted : ask.wanted) {
        session.lastAnswer.grants.push_back(decide(desk, wanted, now));
    }
    return session.lastAnswer;
}

} // namespace pistachioquay
