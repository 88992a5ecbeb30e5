#include "process/node/claims_duty.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "connection/wire/codec.h"
#include "process/node/pause.h"

namespace pistachioquay {

namespace {

constexpr std::string_view claimsStream = "claims";
constexpr std::uint32_t batchRecords = 200;
constexpr milliseconds longPoll{2000};
constexpr milliseconds idlePause{500};
constexpr milliseconds appendPause{2};
constexpr milliseconds failurePause{200};
constexpr seconds forgetInterval{60};

} // namespace

claims_duty::claims_duty(log_target target, std::function<bool()> isNeeded)
    : m_target(std::move(target))
    , m_isNeeded(std::move(isNeeded))
{
}

claims_duty::~claims_duty()
{
    stop();
}

void claims_duty::start()
{
    m_threads.emplace_back([this](const std::stop_token &stop) {
        runAppends(stop);
    });
    m_threads.emplace_back([this](const std::stop_token &stop) {
        runReads(stop);
    });
}

void claims_duty::stop()
{
    std::ranges::for_each(m_threads, [](std::jthread &each) {
        each.request_stop();
    });
    m_threads.clear();
}

claim_decision claims_duty::claim(const hash128 &key, time_point deadline)
{
    std::unique_lock guard(m_mutex);
    const hash128 claim = randomId(m_generator);
    const claim_decision begun = beginClaim(m_state, key, claim, deadline, steadyNow());
    if (begun.kind != claim_action::Wait) {
        return begun;
    }
    m_queued.notify_one();
    m_decided.wait_until(guard, deadline, [&] {
        return m_results.contains(claim);
    });
    const auto found = m_results.find(claim);
    if (found == m_results.end()) {
        return {claim_action::Respond, claim, pistachioquay::abandonRun(m_state, claim)};
    }
    const claim_decision decided = found->second;
    m_results.erase(found);
    return decided;
}

bool claims_duty::startRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::startRun(m_state, claim, steadyNow());
}

void claims_duty::endRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    pistachioquay::endRun(m_state, claim);
}

key_outcome claims_duty::abandonRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    m_queued.notify_one();
    return pistachioquay::abandonRun(m_state, claim);
}

key_outcome claims_duty::abandonUnsentRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    m_queued.notify_one();
    return pistachioquay::abandonUnsentRun(m_state, claim);
}

void claims_duty::runAppends(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (!appendBatch()) {
            awaitRecords(stop);
        }
    }
}

// Sleeps while nothing waits, because a poll every 2 ms costs an idle node half a percent of a core.
void claims_duty::awaitRecords(const std::stop_token &stop)
{
    {
        std::unique_lock guard(m_mutex);
        m_queued.wait(guard, stop, [&] {
            return !m_state.queue.waiting.empty() || !m_state.queue.inFlight.empty();
        });
    }
    pauseFor(appendPause, stop);
}

bool claims_duty::appendBatch()
{
    claim_batch batch;
    {
        const std::lock_guard guard(m_mutex);
        const auto due = beginAppend(m_state.queue, steadyNow());
        batch.records.assign(due.begin(), due.end());
    }
    if (batch.records.empty()) {
        return false;
    }
    const auto appended = attempt([&] {
        return appendRecord(m_target, claimsStream, encodeMessage(batch, claimsFormat));
    });
    const std::lock_guard guard(m_mutex);
    endAppend(m_state.queue, static_cast<bool>(appended), steadyNow(), m_generator);
    return true;
}

void claims_duty::runReads(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (!m_isNeeded()) {
            pauseFor(idlePause, stop);
        } else if (!readOnce()) {
            pauseFor(failurePause, stop);
        }
    }
}

bool claims_duty::readOnce()
{
    std::uint64_t position = 1;
    {
        const std::lock_guard guard(m_mutex);
        position = static_cast<std::uint64_t>(m_state.index.position);
    }
    const time_point startedAt = steadyNow();
    const auto batch = attempt([&] {
        return readRecords(m_target, claimsStream, position, batchRecords, longPoll);
    });
    if (!batch) {
        VLOG(1) << "[claims] Cannot read the stream. " << describe(batch.failure());
        return false;
    }
    applyBatch(*batch, startedAt);
    return true;
}

void claims_duty::applyBatch(const log_batch &batch, time_point startedAt)
{
    const std::lock_guard guard(m_mutex);
    const time_point now = steadyNow();
    if (batch.first > static_cast<std::uint64_t>(m_state.index.position)) {
        restartReplay(m_state, static_cast<std::int64_t>(batch.first));
    }
    std::vector<claim_decision> actions;
    decode_counters counters;
    for (const log_record &record : batch.records) {
        // A record that cannot be read holds no claim that anybody runs, because its writer waits to read it back.
        const auto claims = attempt([&] {
            return decodeMessage<claim_batch>(record.data, claimsFormat, counters);
        });
        applyRecord(m_state,
                    static_cast<std::int64_t>(record.offset),
                    record.timeMs,
                    claims ? std::span<const claim_record>(claims->records) : std::span<const claim_record>(),
                    now,
                    actions);
    }
    if (static_cast<std::uint64_t>(m_state.index.position) >= batch.next) {
        recordCaughtUp(m_state, startedAt);
    }
    for (const claim_decision &each : actions) {
        m_results[each.claim] = each;
    }
    if (now - m_forgottenAt >= forgetInterval) {
        forgetOld(m_state, now);
        m_forgottenAt = now;
    }
    m_decided.notify_all();
    m_queued.notify_one();
}

} // namespace pistachioquay
