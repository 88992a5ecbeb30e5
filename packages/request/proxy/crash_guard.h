// Requests that run on the own worker, watched for those that crash it: the quarantine decisions, guarded for the
// connection threads. Private to the proxy.
//
//   if (const auto refused = guard.begin(requestId, print); refused != run_decision::Run) return refuse(refused);
//   ...
//   guard.completed(requestId);                       // the worker responded
//   if (guard.lostResponse(requestId)) ...            // blocks until the other nodes know of the crash
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/random.h"
#include "request/quarantine/quarantine.h"

namespace pistachioquay::internal {

// How the guard learns of and tells about crashes; both may be empty, then no crash is ever reported.
struct crash_sources
{
    std::function<bool()> isWorkerPortClosed; // whether the worker's port is closed
    std::function<void(const std::vector<crash_report> &)> spread; // returns when the other nodes have the reports
};

// All functions are thread safe.
class crash_guard
{
public:
    explicit crash_guard(crash_sources sources);

    // begin adds a request to those that run if it may run now.
    run_decision begin(const std::string &requestId, const fingerprint &print);
    // completed removes a request that ran to its response; a suspect is cleared by it.
    void completed(const std::string &requestId);
    // abandoned removes a request that ended in any other way.
    void abandoned(const std::string &requestId);
    // lostResponse tells whether the request was in flight when the worker died. Then it returns only after the other
    // nodes of the service know, at most `maxHoldBack` later, so that a repeat by the caller finds them warned.
    bool lostResponse(const std::string &requestId);
    // merge takes over reports of other nodes.
    void merge(std::span<const crash_report> reports);

private:
    struct run
    {
        fingerprint print;
        bool isReported = false; // part of a crash report already
    };
    std::vector<fingerprint> runningPrints() const;
    std::vector<crash_report> reportOnce(const std::string &requestId);

    crash_sources m_sources;
    std::mutex m_mutex; // guards all below
    std::condition_variable m_changed;
    quarantine_state m_state;
    std::map<std::string, run> m_running; // by request id
    unsigned m_spreading = 0; // reports on their way to the other nodes
    random_generator m_generator = seededFromDevice();
};

} // namespace pistachioquay::internal
