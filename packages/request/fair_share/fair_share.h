// Finds light flows that an overloaded worker serves far less than the others. A flow is what shares a worker inside a
// priority: the requests of a client account or, without accounts, of a route.
//
//   recordOffered(shares, flow, now);
//   if (isUnderserved(shares, flow)) admitAlthoughLate();
//   recordServed(shares, flow, now);              // when it starts to run
//
// Load pattern: for as long as an overload lasts, the expected wait hovers just above what a route's target allows, and
// each of its few requests finds the queue too long, while requests of other routes with a longer target fill it. A
// flow that offers little load costs the others hardly anything, so its requests are admitted even if they end late.
//
// Not thread safe: the functions work on a state that belongs to one event loop.
#pragma once

#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr double lightFlowShare = 0.05; // a flow is light up to this share of the offered requests
inline constexpr double underservedShare = 0.5; // served less than this share of what all flows are served
inline constexpr double minOfferedTotal = 20; // requests of all flows before the shares are compared
inline constexpr milliseconds shareHalfLife{4000}; // time after which a recorded request has half its weight
inline constexpr std::size_t maxFlows = 1024; // bounds the memory; requests of further flows are not compared

struct flow_counts
{
    double offered = 0;
    double served = 0;
    time_point decayedAt;

    friend auto operator<=>(const flow_counts &, const flow_counts &) = default;
};

struct flow_shares
{
    std::unordered_map<std::string, flow_counts> flows;
    flow_counts all;
};

// recordOffered counts a request that arrives.
void recordOffered(flow_shares &shares, const std::string &flow, time_point now);

// recordServed counts a request that starts to run.
void recordServed(flow_shares &shares, const std::string &flow, time_point now);

// isUnderserved returns whether the flow is light and is served far less than all flows together.
bool isUnderserved(const flow_shares &shares, const std::string &flow);

} // namespace pistachioquay
