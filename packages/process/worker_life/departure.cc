#include "process/worker_life/departure.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "process/worker_life/worker_life.h"

namespace pistachioquay {

namespace {

bool hasSent(const worker_departure &departure, const worker_notice &notice)
{
    if (departure.workerId != notice.workerId) {
        return false;
    }
    // Without the start time, each process that started before the departure arrived may be the one that sent it.
    if (departure.startedMs == 0) {
        return notice.startedMs.value_or(0) <= departure.receivedMs;
    }
    return notice.startedMs.value_or(departure.startedMs) == departure.startedMs;
}

} // namespace

worker_departure departureOf(const departure_list &departures, const worker_notice &notice)
{
    const auto known = std::ranges::find_if(departures, [&](const kept_departure &kept) {
        return hasSent(kept.departure, notice);
    });
    return known != departures.end()
        ? known->departure
        : worker_departure{notice.workerId, notice.startedMs.value_or(0), notice.receivedMs};
}

bool isSameDeparture(const worker_departure &left, const worker_departure &right)
{
    return left.workerId == right.workerId && left.startedMs == right.startedMs;
}

bool isDeparted(const departure_list &departures, const worker_notice &notice)
{
    return std::ranges::any_of(departures, [&](const kept_departure &kept) {
        return hasSent(kept.departure, notice);
    });
}

bool recordDeparture(departure_list &departures, const worker_departure &departure, time_point now)
{
    const bool isKnown = std::ranges::any_of(departures, [&](const kept_departure &kept) {
        return isSameDeparture(kept.departure, departure);
    });
    if (isKnown) {
        return false;
    }
    if (departures.size() >= maxDepartures) {
        departures.erase(departures.begin());
    }
    departures.push_back({departure, now});
    return true;
}

std::vector<worker_departure> removeOldDepartures(departure_list &departures, time_point now)
{
    const auto firstKept = std::ranges::find_if(departures, [&](const kept_departure &kept) {
        return now - kept.recordedAt <= departureRetention;
    });
    std::vector<worker_departure> removed;
    std::ranges::transform(departures.begin(), firstKept, std::back_inserter(removed), &kept_departure::departure);
    departures.erase(departures.begin(), firstKept);
    return removed;
}

std::vector<worker_departure> plainDepartures(const departure_list &departures)
{
    std::vector<worker_departure> plain;
    std::ranges::transform(departures, std::back_inserter(plain), &kept_departure::departure);
    return plain;
}

std::string departureKey(const std::string &nodeId, const worker_departure &departure)
{
    const std::string process = departure.workerId + "/" + std::to_string(departure.startedMs);
    return nodeId + "/departure/" + toHex(hashBytes(process));
}

hold_decision decideHold(const departure_hold &hold, std::size_t nodesKnown, duration waited)
{
    const std::size_t needed = std::min(departureHolders, nodesKnown);
    const bool isHeldByNodes = needed > 0 && hold.holders.size() >= needed;
    if (hold.isStored || (isHeldByNodes && waited >= departureStoreShare)) {
        return hold_decision::Acknowledge;
    }
    return waited < departureHoldLimit ? hold_decision::Wait : hold_decision::Reject;
}

bool isRecovered(const departure_recovery &recovery, time_point now)
{
    const bool hasWaitedForPeers = recovery.storeReadAt && now - *recovery.storeReadAt >= departureAnswerTime;
    return hasWaitedForPeers || (recovery.hasPeerAnswer && now - recovery.startedAt >= departureRecoveryPatience);
}

bool mayStillRecover(const departure_recovery &recovery, time_point now)
{
    return now - recovery.startedAt < departureRetention;
}

} // namespace pistachioquay
