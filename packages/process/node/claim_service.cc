#include "process/node/claim_service.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "connection/wire/codec.h"
#include "process/node/pause.h"

namespace pistachioquay {

namespace {

constexpr std::string_view claimsStream = "claims";
constexpr std::uint32_t maxReadRecords = 200;
constexpr milliseconds longPollTimeout{2000};
constexpr milliseconds neededCheckInterval{500};
constexpr milliseconds queueCheckInterval{2};
constexpr milliseconds readRetryInterval{200};
constexpr seconds forgetInterval{60};

} // namespace

claim_service::claim_service(log_target target, std::function<bool()> isNeeded)
    : m_target(std::move(target))
    , m_isNeeded(std::move(isNeeded))
{
}

claim_service::~claim_service()
{
    stop();
}

void claim_service::start()
{
    m_threads.emplace_back([this](const std::stop_token &stop) {
        runAppends(stop);
    });
    m_threads.emplace_back([this](const std::stop_token &stop) {
        runReads(stop);
    });
}

void claim_service::stop()
{
    std::ranges::for_each(m_threads, [](std::jthread &each) {
        each.request_stop();
    });
    m_threads.clear();
}

claim_decision claim_service::claim(const hash128 &key, time_point deadline)
{
    std::unique_lock guard(m_mutex);
    const hash128 claim = randomId(m_generator);
    const claim_decision begun = beginClaim(m_state, key, claim, deadline, steadyNow());
    if (begun.kind != claim_action::Wait) {
        return begun;
    }
    m_recordQueued.notify_one();
    m_resultAdded.wait_until(guard, deadline, [&] {
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

bool claim_service::startRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    return pistachioquay::startRun(m_state, claim, steadyNow());
}

void claim_service::endRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    pistachioquay::endRun(m_state, claim);
}

key_outcome claim_service::abandonRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    m_recordQueued.notify_one();
    return pistachioquay::abandonRun(m_state, claim);
}

key_outcome claim_service::abandonUnsentRun(const hash128 &claim)
{
    const std::lock_guard guard(m_mutex);
    m_recordQueued.notify_one();
    return pistachioquay::abandonUnsentRun(m_state, claim);
}

void claim_service::runAppends(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (!appendBatch()) {
            waitForQueuedRecords(stop);
        }
    }
}

// Blocks until a record is queued or in flight: polling every 2 ms would cost an idle node 0.5 % of a core. Then waits
// for `queueCheckInterval`.
void claim_service::waitForQueuedRecords(const std::stop_token &stop)
{
    {
        std::unique_lock guard(m_mutex);
        m_recordQueued.wait(guard, stop, [&] {
            return !m_state.queue.waiting.empty() || !m_state.queue.inFlight.empty();
        });
    }
    pauseFor(queueCheckInterval, stop);
}

bool claim_service::appendBatch()
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

void claim_service::runReads(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (!m_isNeeded()) {
            pauseFor(neededCheckInterval, stop);
        } else if (!readBatch()) {
            pauseFor(readRetryInterval, stop);
        }
    }
}

bool claim_service::readBatch()
{
    std::uint64_t position = 1;
    {
        const std::lock_guard guard(m_mutex);
        position = static_cast<std::uint64_t>(m_state.index.position);
    }
    const time_point startedAt = steadyNow();
    const auto batch = attempt([&] {
        return readRecords(m_target, claimsStream, position, maxReadRecords, longPollTimeout);
    });
    if (!batch) {
        VLOG(1) << "[claims] Cannot read stream `claims`. " << describe(batch.failure());
        return false;
    }
    applyBatch(*batch, startedAt);
    return true;
}

void claim_service::applyBatch(const log_batch &batch, time_point startedAt)
{
    const std::lock_guard guard(m_mutex);
    const time_point now = steadyNow();
    if (batch.first > static_cast<std::uint64_t>(m_state.index.position)) {
        restartReplay(m_state, static_cast<std::int64_t>(batch.first));
    }
    std::vector<claim_decision> actions;
    decode_counters counters;
    for (const log_record &record : batch.records) {
        // A malformed record is applied as an empty one: none of its claims can run, because a node runs a request
        // only after it has read its claim back.
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
    if (now - m_lastForgetAt >= forgetInterval) {
        forgetOld(m_state, now);
        m_lastForgetAt = now;
    }
    m_resultAdded.notify_all();
    m_recordQueued.notify_one();
}

} // namespace pistachioquay
