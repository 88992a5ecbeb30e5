// Moves a service to a new version of its workers: gives the version a bounded share of the requests, decides by the
// evidence of its workers, and then moves all requests, or none (docs/design/rollout.md).
//
//   rollout_state state{.limits = settings.rollout};
//   applyOrder(state, {"orders", "v2", seconds{15}, position}, now);
//   const std::vector<worker_pool> pools = assignPools(state, "orders", workers, now);
//   const bool isTrial = drawTrial(state, "orders", generator);   // one request, to a worker of the pool `Trial`
//   if (const auto change = decide(rollout, workers, rank, now)) applyChange(rollout, *change, now);
//
// Load pattern: an operator starts workers of a new version beside the old ones and expects the service to be moved
// within a time. The new workers are cold for seconds, and the version may be bad at once, after some time, under load
// only or on one route. Requests therefore try it on as many workers as its share keeps under the usual load.
//
// Any node may move a roll-out forward. The phases of one order form a chain, so that the copies of all nodes converge
// on the furthest; of the last two, which the platform's store records, only one is ever reached.
//
// Not thread safe unless noted: the functions work on a state that belongs to one event loop.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "process/rollout/evidence.h"
#include "process/store_reading/store_era.h"

namespace pistachioquay {

// A version may get this share of the largest exposure until evidence speaks for it; the rest is for nodes that round
// up.
inline constexpr double trialShareOfExposure = 0.8;
inline constexpr double shiftingShare = 0.25; // of the requests, in the step before all of them
// Steps of a roll-out as shares of its duration. The step to `shiftingShare` is short enough that the exposure of a
// version that turns bad in it stays within a tenth of the requests.
inline constexpr double earliestShift = 0.5; // versions that turn bad late show it before
inline constexpr double latestTrial = 0.6; // then a version without a verdict is judged by what it leans to
inline constexpr double shiftingTime = 0.1;
inline constexpr double latestCompletion = 0.9; // then the old workers are no longer waited for
// Share of bad runs from which a version is taken back when it already gets all requests. There is nothing to compare
// it with at the same time then, and the load is another.
inline constexpr double shiftedBadShare = 0.2;
inline constexpr milliseconds settleTime{1500}; // until a phase has reached all nodes, and their last requests
inline constexpr milliseconds decisionStagger{300}; // between two nodes that may decide the same: one gossip round trip
inline constexpr std::size_t maxDecisionStaggers = 8;
inline constexpr std::size_t maxRollouts = 256; // services with a roll-out
inline constexpr std::size_t maxHeldVersions = 8; // of one service
inline constexpr std::size_t maxVersionBytes = 256; // of the name of a service or a version
inline constexpr std::int64_t maxRolloutMs = 24LL * 3600 * 1000;

// Limits of the deployment for new versions.
struct rollout_limits
{
    double exposureShare = 0; // of a service's requests that a bad version may get
    milliseconds orderDelay{2000}; // in which an order reaches a node that hears of the version's workers

    friend auto operator<=>(const rollout_limits &, const rollout_limits &) = default;
};

// An operator's order to move a service to a version.
struct rollout_order
{
    std::string service;
    std::string targetVersion;
    milliseconds duration{0};
    store_position position; // in the operator's log; orders later orders
    bool isFresh = false; // read as it was written, so that no status of it can exist

    friend auto operator<=>(const rollout_order &, const rollout_order &) = default;
};

// How far a roll-out is. Ordered: copies of different nodes converge on the larger one.
enum class rollout_phase : std::uint8_t
{
    Unknown, // the order is known, but not whether it has ended
    Trial, // the version gets its trial share
    Shifting, // it gets `shiftingShare`
    Shifted, // it gets all requests; the old workers finish theirs
    RollingBack, // it gets none; the store has not recorded it yet
    RolledBack, // as recorded in the store
    Completed, // as recorded in the store; the old workers end
};

// phaseName returns the lower-case name of a phase for logs. Thread safe.
std::string_view phaseName(rollout_phase phase);

// isEnded returns whether the store has recorded the end of the roll-out. Thread safe.
bool isEnded(rollout_phase phase);

// A roll-out as nodes tell it to each other.
struct rollout_record
{
    std::string service;
    std::string targetVersion;
    store_position order; // of the operator's order
    std::int64_t durationMs = 0;
    std::int64_t ageMs = 0; // of the order, when the record was sent
    rollout_phase phase = rollout_phase::Unknown;
    bool isAnnounced = false; // the store shows the roll-out as running, or its end
    std::uint64_t announcedEra = 0; // of the store when it last did so
    std::vector<std::string> heldVersions; // of earlier orders that were superseded before they completed
    std::string reason; // of the phase

    friend auto operator<=>(const rollout_record &, const rollout_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(service, targetVersion, order, durationMs, ageMs, phase, isAnnounced, announcedEra);
        archive(heldVersions, reason);
    }
};

// isPlausible returns whether a node can have written the record. Thread safe.
bool isPlausible(const rollout_record &record);

// A roll-out as this node knows it.
struct known_rollout
{
    rollout_record record; // `ageMs` is not kept up to date
    time_point orderedAt;
    time_point phaseSince;
    double trialAllowance = 0; // requests that may go to the new version
    std::set<std::string> trialNodes; // beside the workers of the pool `Trial`
    std::set<std::string> suspects; // nodes whose worker of the version looks bad on its own
    judgement lastJudgement;
    std::uint64_t requests = 0; // of this node to the service, while the version has workers on trial
    std::uint64_t trialRequests = 0; // of these: to the version
};

struct rollout_state
{
    std::optional<rollout_limits> limits; // empty: the deployment has no roll-outs, and versions have no effect
    std::map<std::string, known_rollout> services;
    std::map<std::string, std::map<std::string, time_point>> versionsSeen; // first time, by service and version
};

// toRecord returns the record of an order that is not known yet. Thread safe.
rollout_record toRecord(const rollout_order &order);

// isAnnouncedIn returns whether the store shows the roll-out in its present era. Thread safe.
bool isAnnouncedIn(const rollout_record &record, const store_eras &eras);

// recordAnnounced records that the store shows the roll-out, or its end.
void recordAnnounced(rollout_record &record, std::uint64_t era);

// isInDoubt returns whether it is not known yet if a record is of a later order than the known one: the store has come
// back from a copy, which may hold orders that were replaced, and the operator writes again in order what was lost. The
// record is applied after `rewriteTime`, unless the known order was written again by then.
bool isInDoubt(const rollout_state &state, const rollout_record &record, const store_eras &eras, boot_time now);

// applyOrder starts or replaces a roll-out. A repeated order for the same version keeps the phase, also if it has
// ended: a version that was rolled back does not get requests again under the same name. Returns true if it changed
// anything.
bool applyOrder(rollout_state &state, const rollout_order &order, time_point now);

// mergeRollout applies the record of another node. Returns true if it changed anything that other nodes have to hear.
bool mergeRollout(rollout_state &state, const rollout_record &record, time_point now);

// recordsToSend returns the records of all known roll-outs, with their age.
std::vector<rollout_record> recordsToSend(const rollout_state &state, time_point now);

// Requests that a worker may get.
enum class worker_pool : std::uint8_t
{
    Usual,
    Trial, // only requests that drawTrial has selected
    Held, // none
};

// assignPools returns the pool of each worker, and stores which workers are on trial. All of them are `Usual` in a
// deployment without roll-outs.
std::vector<worker_pool> assignPools(rollout_state &state,
                                     const std::string &service,
                                     const std::vector<observed_worker> &workers,
                                     time_point now);

// drawTrial counts a request of a caller and returns whether it goes to a worker on trial. It keeps the share of the
// phase: each node sends at most one request more than its share of its own requests, whatever the others send.
bool drawTrial(rollout_state &state, const std::string &service, random_generator &generator);

// returnTrial takes a drawn request back that could not be sent to a worker on trial.
void returnTrial(rollout_state &state, const std::string &service);

struct phase_change
{
    rollout_phase phase = rollout_phase::Unknown;
    std::string reason;

    friend auto operator<=>(const phase_change &, const phase_change &) = default;
};

// decide returns the next phase if the evidence or the time calls for one. `rank` is the number of nodes that come
// before this one: they decide first, except that a bad version is taken back at once. Never returns a phase that the
// store has to record, see `recordableEnd`.
std::optional<phase_change>
decide(known_rollout &rollout, const std::vector<observed_worker> &workers, std::size_t rank, time_point now);

// recordableEnd returns the end of the roll-out that this node may record in the store now; empty if none.
std::optional<rollout_phase> recordableEnd(const known_rollout &rollout,
                                           const std::vector<observed_worker> &workers,
                                           std::size_t rank,
                                           time_point now);

// applyChange moves a roll-out to another phase.
void applyChange(known_rollout &rollout, const phase_change &change, time_point now);

// decisionRank returns how many of `nodeIds` come before `ownId` in deciding about an order; equal on all nodes that
// know the same nodes. Thread safe.
std::size_t decisionRank(const std::vector<std::string> &nodeIds, std::string_view ownId, const rollout_record &record);

} // namespace pistachioquay
