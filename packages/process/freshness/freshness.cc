#include "process/freshness/freshness.h"

#include <algorithm>
#include <limits>

#include "process/store_reading/store_reading.h"

namespace pistachioquay {

namespace {

// Shares of the limit. A proof passes through up to two poll waits of the reader and one query interval before a node
// renews it; the sum stays below the age from which a node asks elsewhere, and that below the age of an own read.
constexpr std::int64_t partsOfLimit = 100;
constexpr std::int64_t pollWaitParts = 10; // wait of the reader's long poll
constexpr std::int64_t queryParts = 10; // time between queries, and the age below which nobody is asked
constexpr std::int64_t startQueryParts = 2; // time between queries of a node that never had a proof
constexpr std::int64_t readerAgeParts = 30; // age of an own read below which a node asks nobody
constexpr std::int64_t anyNodeParts = 35; // age from which any node is asked
constexpr std::int64_t ownReadParts = 40; // age from which a node reads the store itself
constexpr std::int64_t startReadParts = 10; // the same for a node that never had a proof, since its start
constexpr std::int64_t marginParts = 2; // left for clocks of machines that run at different rates
constexpr std::size_t maxOpenQueries = 16; // older ones count as lost

milliseconds shareOf(milliseconds limit, std::int64_t parts)
{
    return limit * parts / partsOfLimit;
}

duration ageOrMax(const std::optional<boot_time> &time, boot_time now)
{
    return time ? std::chrono::duration_cast<duration>(now - *time) : duration::max();
}

} // namespace

bool isProven(const freshness_state &state, boot_time now)
{
    return !state.limit || ageOrMax(state.provenAt, now) < *state.limit - shareOf(*state.limit, marginParts);
}

std::optional<duration> proofAge(const freshness_state &state, boot_time now)
{
    return state.provenAt ? std::optional(ageOrMax(state.provenAt, now)) : std::nullopt;
}

void recordStoreProof(freshness_state &state, boot_time sentAt)
{
    state.provenAt = std::max(state.provenAt.value_or(sentAt), sentAt);
    state.readAt = std::max(state.readAt.value_or(sentAt), sentAt);
}

void recordQuery(freshness_state &state, std::uint64_t id, boot_time now)
{
    state.openQueries[id] = now;
    state.lastQueryAt = now;
    if (state.openQueries.size() > maxOpenQueries) {
        state.openQueries.erase(std::ranges::min_element(state.openQueries, {}, [](const auto &query) {
            return query.second;
        }));
    }
}

bool recordAnswer(freshness_state &state, const peer_proof &answer, std::uint64_t ownVersion, boot_time now)
{
    const auto query = state.openQueries.find(answer.queryId);
    if (query == state.openQueries.end()) {
        return false;
    }
    const boot_time askedAt = query->second;
    state.openQueries.erase(query);
    const bool isUsable = state.limit && answer.age && answer.version > 0 && answer.version <= ownVersion
        && *answer.age >= milliseconds{0} && *answer.age < *state.limit && askedAt <= now;
    if (!isUsable) {
        return false;
    }
    const boot_time provenAt = askedAt - *answer.age;
    if (state.provenAt && provenAt <= *state.provenAt) {
        return false;
    }
    state.provenAt = provenAt;
    return true;
}

peer_proof answerQuery(const freshness_state &state, std::uint64_t queryId, std::uint64_t ownVersion, boot_time now)
{
    peer_proof answer{queryId, ownVersion, std::nullopt};
    if (state.limit && isProven(state, now)) {
        // Rounded up, so that the proof never seems younger than it is.
        answer.age = std::chrono::ceil<milliseconds>(ageOrMax(state.provenAt, now));
    }
    return answer;
}

query_plan planQueries(const freshness_state &state, boot_time now)
{
    if (!state.limit) {
        return {};
    }
    const milliseconds limit = *state.limit;
    const duration age = ageOrMax(state.provenAt, now);
    const milliseconds interval = shareOf(limit, state.provenAt ? queryParts : startQueryParts);
    const bool isReader = ageOrMax(state.readAt, now) < shareOf(limit, readerAgeParts);
    if (isReader || age < shareOf(limit, queryParts) || ageOrMax(state.lastQueryAt, now) < interval) {
        return {};
    }
    return {true, age >= shareOf(limit, anyNodeParts)};
}

bool shouldReadForProof(const freshness_state &state, std::size_t rank, boot_time provableFrom, boot_time now)
{
    if (!state.limit) {
        return false;
    }
    const duration stagger = rankStagger * static_cast<std::int64_t>(std::min(rank, maxStaggers));
    const boot_time wishedAt = state.provenAt ? *state.provenAt + shareOf(*state.limit, ownReadParts)
                                              : state.startedAt + shareOf(*state.limit, startReadParts);
    return now - stagger > std::max(wishedAt, provableFrom);
}

milliseconds proofReadWait(milliseconds limit)
{
    return shareOf(limit, pollWaitParts);
}

} // namespace pistachioquay
