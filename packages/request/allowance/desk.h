// Desk: grants the requests of client accounts within the allowances that hold for all nodes together.
//
//   desk_state desk = makeDesk(nodeKey, process, rules, now);
//   setLimits(desk, limits, now);
//   setNodeCount(desk, nodes, now);
//   if (const auto answer = handleAsk(desk, ask, now)) send(*answer);
//
// Each of the N nodes has the right to 1/N of every allowance and delegates it to one desk at a time. The token bucket
// of an account therefore refills at members/N of the account's rate, and holds members/N of its burst. Desks need no
// agreement: their shares never add up to more than 1.
//
// A delegation ends `delegationTime` after a stamp of the desk's own clock that the member has echoed. No clocks of two
// nodes are compared, so delayed, repeated and lost messages and frozen processes only shorten a delegation.
//
// Load pattern: one account sends many times its usual load through all nodes. Only its own bucket runs empty; requests
// of other accounts get their tokens as before.
//
// Not thread safe: the functions work on the state of one event loop. `now` must come from a clock that also runs while
// the VM is suspended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "request/allowance/exchange.h"

namespace pistachioquay {

inline constexpr milliseconds delegationTime{1000}; // bounds the time without a right after a desk is lost
inline constexpr std::size_t maxDeskSessions = 16384; // bounds the memory; asks of further processes are ignored
inline constexpr milliseconds minAllowanceRetry{50}; // a denied account asks again at most this often
inline constexpr milliseconds maxAllowanceRetry{5000}; // longest stated time until there is a token

// The bound on the requests of an account: in any window, (rate x window + burst) x (1 + overage) + slack.
struct allowance_rules
{
    double windowS = 0; // 0: no bound is stated, only the rate and the burst hold
    double overage = 0; // share
    double slack = 0; // requests

    friend auto operator<=>(const allowance_rules &, const allowance_rules &) = default;
};

// The allowance of an account, for all nodes together.
struct allowance_limit
{
    double ratePerS = 0; // requests a second; accounts without a limit have no entry
    double burst = 0; // requests beyond the rate that may come at once

    friend auto operator<=>(const allowance_limit &, const allowance_limit &) = default;
};

// Limits of the token buckets of an account, summed over all desks. They leave room below the bound for returned
// tokens.
struct bucket_limit
{
    double ratePerS = 0;
    double burst = 0;
    // Least share with which a desk may hold a whole token even if its part of the burst is smaller.
    double wholeTokenShare = 0;

    friend auto operator<=>(const bucket_limit &, const bucket_limit &) = default;
};

// bucketLimit returns the limits of the buckets of an account. Thread safe.
bucket_limit bucketLimit(const allowance_limit &limit, const allowance_rules &rules);

// maxReturnAge returns the age up to which an unused token is taken back. Tokens that are taken back were granted
// before a window and are used in it, so they count against the overage. Thread safe.
duration maxReturnAge(const allowance_rules &rules);

// Numbers of tokens since the desk started, for metrics.
struct desk_counters
{
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
    std::uint64_t returned = 0;

    friend auto operator<=>(const desk_counters &, const desk_counters &) = default;
};

struct desk_state
{
    struct bucket
    {
        bucket_limit limit;
        double tokens = 0;
        double settledAt = 0; // value of `shareSeconds` up to which the refill is included in `tokens`
        double recentlyDenied = 0; // denied requests, decaying
        time_point deniedAt;
    };
    struct session
    {
        allowance_answer lastAnswer;
        std::uint32_t nodeCount = 0; // as its node knows
        time_point heardAt;
    };

    std::uint64_t node = 0; // own node
    std::uint64_t process = 0; // of the own node
    allowance_rules rules;
    std::uint32_t ownNodeCount = 0; // 0: not known
    std::uint32_t nodeCount = 0; // largest known number of nodes; 0: not known
    std::unordered_map<std::uint64_t, bucket> buckets; // by account
    std::unordered_map<std::uint64_t, session> sessions; // by process that asks
    std::unordered_map<std::uint64_t, time_point> members; // end of the delegation by node
    std::set<std::pair<time_point, std::uint64_t>> ends; // of the delegations
    double shareSeconds = 0; // integral of the share over time
    time_point advancedAt;
    time_point sweptAt;
    desk_counters counters;
};

// makeDesk returns a desk without members; its buckets start empty.
desk_state makeDesk(std::uint64_t node, std::uint64_t process, const allowance_rules &rules, time_point now);

// setLimits replaces the limits by account. Tokens above a lower limit are lost at once.
void setLimits(desk_state &desk, const std::unordered_map<std::uint64_t, allowance_limit> &limits, time_point now);

// setNodeCount sets the number of nodes that this node knows; 0: not known, and the desk grants nothing until a member
// states it.
void setNodeCount(desk_state &desk, std::uint32_t count, time_point now);

// advance ends the delegations that are due, and refills the buckets only for the time in which they were valid.
void advance(desk_state &desk, time_point now);

// deskShare returns the part of the rights of all nodes that the desk has, from 0 to 1.
double deskShare(const desk_state &desk);

// handleAsk returns the answer to an ask; none to one that is out of date. Unknown accounts and odd numbers are
// tolerated.
std::optional<allowance_answer> handleAsk(desk_state &desk, const allowance_ask &ask, time_point now);

} // namespace pistachioquay
