#include "request/fair_share/fair_share.h"

#include <cmath>

#include "base/milliseconds.h"

namespace pistachioquay {

namespace {

constexpr double forgottenOffered = 0.05; // a flow with less weight left than this is removed when room is needed

flow_counts decayed(const flow_counts &counts, time_point now)
{
    const double decay = std::exp2(-msBetween(counts.decayedAt, now) / static_cast<double>(shareHalfLife.count()));
    return {counts.offered * decay, counts.served * decay, now};
}

void removeForgotten(flow_shares &shares, time_point now)
{
    std::erase_if(shares.flows, [&](const auto &item) {
        return decayed(item.second, now).offered < forgottenOffered;
    });
}

} // namespace

void recordOffered(flow_shares &shares, const std::string &flow, time_point now)
{
    shares.all = decayed(shares.all, now);
    shares.all.offered += 1;
    if (shares.flows.size() >= maxFlows && !shares.flows.contains(flow)) {
        removeForgotten(shares, now);
        if (shares.flows.size() >= maxFlows) {
            return;
        }
    }
    flow_counts &counts = shares.flows[flow];
    counts = decayed(counts, now);
    counts.offered += 1;
}

void recordServed(flow_shares &shares, const std::string &flow, time_point now)
{
    shares.all = decayed(shares.all, now);
    shares.all.served += 1;
    if (const auto found = shares.flows.find(flow); found != shares.flows.end()) {
        found->second = decayed(found->second, now);
        found->second.served += 1;
    }
}

bool isUnderserved(const flow_shares &shares, const std::string &flow)
{
    const auto found = shares.flows.find(flow);
    if (found == shares.flows.end() || shares.all.offered < minOfferedTotal) {
        return false;
    }
    const flow_counts counts = decayed(found->second, shares.all.decayedAt);
    const bool isLight = counts.offered <= shares.all.offered * lightFlowShare;
    const double servedOfAll = shares.all.served / shares.all.offered;
    return isLight && counts.served < counts.offered * servedOfAll * underservedShare;
}

} // namespace pistachioquay
