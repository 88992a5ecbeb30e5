// Claims of keyed requests in stream `claims` of the log: the edge around the decisions of `request/once`. Appends
// batches of claims on one thread and follows the stream on another; request threads wait here for their claim.
//
//   claims_duty claims(target, [&] { return servesKeyedRequests(); });
//   claims.start();
//   const claim_decision decided = claims.claim(key, deadline);   // blocks
//   if (decided.kind == claim_action::Run && claims.startRun(decided.claim)) ...
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "request/once/once.h"

namespace pistachioquay {

inline constexpr std::uint16_t claimsFormat = 1;

// One record of stream `claims`.
struct claim_batch
{
    std::vector<claim_record> records;

    friend bool operator==(const claim_batch &, const claim_batch &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(records);
    }
};

// All functions but `start` and `stop` are thread safe.
class claims_duty
{
public:
    // `isNeeded` tells whether the own worker has non-idempotent routes; without any the stream is not read.
    claims_duty(log_target target, std::function<bool()> isNeeded);
    ~claims_duty();
    claims_duty(const claims_duty &) = delete;
    claims_duty &operator=(const claims_duty &) = delete;

    void start();
    void stop();

    // claim claims a key and blocks until the request may run, must not run, or its deadline passes.
    claim_decision claim(const hash128 &key, time_point deadline);

    // startRun, endRun, abandonRun and abandonUnsentRun have the contracts of request/once/once.h.
    bool startRun(const hash128 &claim);
    void endRun(const hash128 &claim);
    key_outcome abandonRun(const hash128 &claim);
    key_outcome abandonUnsentRun(const hash128 &claim);

private:
    void runAppends(const std::stop_token &stop);
    void runReads(const std::stop_token &stop);
    void awaitRecords(const std::stop_token &stop);
    bool appendBatch();
    bool readOnce();
    void applyBatch(const log_batch &batch, time_point startedAt);

    log_target m_target;
    std::function<bool()> m_isNeeded;
    std::mutex m_mutex; // guards all below
    std::condition_variable m_decided;
    std::condition_variable_any m_queued; // records wait to be appended
    at_most_once_state m_state;
    std::unordered_map<hash128, claim_decision, internal::hash128_hasher>
        m_results; // by claim, until its thread takes it
    random_generator m_generator = seededFromDevice();
    time_point m_forgottenAt;
    std::vector<std::jthread> m_threads;
};

} // namespace pistachioquay
