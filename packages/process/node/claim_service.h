// Claims the keys of non-idempotent requests in stream `claims` of the log. Performs the I/O and the locking for
// the state of request/once/once.h: one thread appends batches of claim records, another reads the stream, and the
// threads that handle requests block until their claim is decided.
//
//   claim_service claims(target, [&] { return servesKeyedRequests(); });
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

// Contents of one record of stream `claims`.
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

// All functions except `start` and `stop` are thread safe.
class claim_service
{
public:
    // `isNeeded` returns whether the worker of this node serves non-idempotent routes. The stream is read only while it
    // returns true.
    claim_service(log_target target, std::function<bool()> isNeeded);
    ~claim_service();
    claim_service(const claim_service &) = delete;
    claim_service &operator=(const claim_service &) = delete;

    // start starts the two threads. Called once.
    void start();

    // stop stops them; the read or append that runs is finished or times out first. Can be repeated.
    void stop();

    // claim claims a key. Blocks until the request may run, must not run, or its deadline passes; never returns Wait.
    claim_decision claim(const hash128 &key, time_point deadline);

    // startRun, endRun, abandonRun and abandonUnsentRun call the functions of the same names in request/once/once.h.
    bool startRun(const hash128 &claim);
    void endRun(const hash128 &claim);
    key_outcome abandonRun(const hash128 &claim);
    key_outcome abandonUnsentRun(const hash128 &claim);

private:
    void runAppends(const std::stop_token &stop);
    void runReads(const std::stop_token &stop);
    void waitForQueuedRecords(const std::stop_token &stop);
    bool appendBatch();
    bool readBatch();
    void applyBatch(const log_batch &batch, time_point startedAt);

    log_target m_target;
    std::function<bool()> m_isNeeded;
    std::mutex m_mutex; // guards the members below, except m_threads
    std::condition_variable m_resultAdded;
    std::condition_variable_any m_recordQueued; // a claim record may be waiting to be appended
    at_most_once_state m_state;
    std::unordered_map<hash128, claim_decision, internal::hash128_hasher>
        m_results; // by claim, until the thread that waits for it removes it
    random_generator m_generator = seededFromDevice();
    time_point m_lastForgetAt;
    std::vector<std::jthread> m_threads;
};

} // namespace pistachioquay
