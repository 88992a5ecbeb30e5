// Decides whether a failed try is repeated on another worker. Private to the proxy.
//
//   if (mayRetry(facts, try_end::NotRun, tries, budgets, service, now)) tryNextWorker();
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace pistachioquay::internal {

// How one try ended.
enum class try_end
{
    Response, // a response of the worker
    WorkerBusy, // the worker itself responded 503
    NoConnection, // no byte reached the node
    NotRun, // the node said that the request was not run
    Unknown, // anything else: the request may have run
    CallerGone,
};

// Calls and retries of the last seconds for each service. All functions are thread safe.
class retry_budgets
{
public:
    // noteCall counts a request of the service.
    void noteCall(const std::string &service, time_point now);
    // take counts a retry; false if the retries would exceed 10% of the recent calls.
    bool take(const std::string &service, time_point now);

private:
    struct window
    {
        time_point startedAt;
        std::uint64_t calls = 0;
        std::uint64_t retries = 0;
        std::uint64_t callsBefore = 0; // of the window before
    };
    window &current(const std::string &service, time_point now);

    std::mutex m_mutex;
    std::map<std::string, window> m_windows;
};

// What the decision depends on, besides the end of the last try.
struct retry_facts
{
    std::string service;
    bool isIdempotent = false;
    std::uint32_t retries = 0; // of the policy
    std::uint32_t inheritedAttempts = 0;
    bool isBodyHeld = true;
    time_point deadline;
};

// mayRetry decides after a try. `triesMade` includes it. Takes from the budget if the repeat costs work. Thread safe.
bool mayRetry(const retry_facts &facts, try_end last, std::uint32_t triesMade, retry_budgets &budgets, time_point now);

} // namespace pistachioquay::internal
