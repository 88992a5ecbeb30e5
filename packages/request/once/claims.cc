#include "request/once/claims.h"

#include <algorithm>
#include <string>

namespace pistachioquay {

namespace {

void dropExpired(claim_index &index)
{
    while (!index.byTime.empty() && index.byTime.front().first + keyMemoryMs <= index.timeMs) {
        const auto [atMs, key] = index.byTime.front();
        const auto found = index.winners.find(key);
        if (found != index.winners.end() && found->second.atMs == atMs) {
            index.winners.erase(found);
        }
        index.byTime.pop_front();
    }
}

void applyOne(claim_index &index, const claim_record &record)
{
    if (record.kind == claim_kind::Claim) {
        if (index.winners.try_emplace(record.key, claim_entry{record.claim, index.timeMs}).second) {
            index.byTime.emplace_back(index.timeMs, record.key);
        }
        return;
    }
    const auto found = index.winners.find(record.key);
    if (found != index.winners.end() && found->second.claim == record.claim) {
        index.winners.erase(found);
    }
}

} // namespace

hash128 keyOf(std::string_view service, std::string_view idempotencyKey)
{
    std::string bytes(service);
    bytes.push_back('\0');
    return hashBytes(bytes.append(idempotencyKey));
}

void restartClaims(claim_index &index, std::int64_t first)
{
    index = {};
    index.position = first;
}

bool applyClaims(claim_index &index, std::int64_t offset, std::int64_t timeMs, std::span<const claim_record> records)
{
    if (offset != index.position) {
        return offset < index.position;
    }
    ++index.position;
    index.timeMs = std::max(index.timeMs, timeMs);
    dropExpired(index);
    for (const claim_record &record : records) {
        applyOne(index, record);
    }
    return true;
}

const claim_entry *findClaim(const claim_index &index, const hash128 &key)
{
    const auto found = index.winners.find(key);
    return found == index.winners.end() ? nullptr : &found->second;
}

bool enqueueClaim(claim_queue &queue, const claim_record &record)
{
    if (queue.waiting.size() >= maxQueuedRecords) {
        return false;
    }
    queue.waiting.push_back(record);
    return true;
}

bool withdrawClaim(claim_queue &queue, const hash128 &claim)
{
    return std::erase_if(queue.waiting,
                         [&](const claim_record &record) {
                             return record.claim == claim && record.kind == claim_kind::Claim;
                         })
        > 0;
}

std::span<const claim_record> beginAppend(claim_queue &queue, time_point now)
{
    if (queue.isAppending || now < queue.nextAppendAt) {
        return {};
    }
    if (queue.inFlight.empty()) {
        const std::size_t count = std::min(queue.waiting.size(), maxBatchRecords);
        const auto end = queue.waiting.begin() + static_cast<std::ptrdiff_t>(count);
        queue.inFlight.assign(queue.waiting.begin(), end);
        queue.waiting.erase(queue.waiting.begin(), end);
    }
    queue.isAppending = !queue.inFlight.empty();
    queue.nextAppendAt = now + appendInterval;
    return queue.inFlight;
}

void endAppend(claim_queue &queue, bool isAccepted, time_point now, random_generator &generator)
{
    queue.isAppending = false;
    if (isAccepted) {
        queue.inFlight.clear();
        queue.failures = 0;
        return;
    }
    const milliseconds delay = fullJitter(appendRetryBase, appendRetryCap, queue.failures++, generator);
    queue.nextAppendAt = std::max(queue.nextAppendAt, now + delay);
}

} // namespace pistachioquay
