// Slots of the own worker and the queue in front of them: the admission decisions, guarded for the connection threads.
// Private to the proxy.
//
//   const slot_grant grant = slots.acquire({work_class::Interactive, deadline}, watch);
//   if (grant.ticket != 0) { run(); slots.release(grant.ticket, true); }
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <span>

#include "connection/http/caller_watch.h"
#include "request/admission/admission.h"

namespace pistachioquay::internal {

// A ticket, or why there is none; neither if the caller is gone.
struct slot_grant
{
    std::uint64_t ticket = 0;
    refusal_reason reason = refusal_reason::None;
};

struct slot_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

// All functions are thread safe.
class slot_queue
{
public:
    slot_queue(std::uint32_t slots, std::string_view nodeId);

    // acquire blocks until the request is granted or refused, or the caller is gone.
    slot_grant acquire(const admission_request &request, const caller_watch &watch);
    // release frees a granted slot; `hasResponse` if the worker responded.
    void release(std::uint64_t ticket, bool hasResponse);
    // drain refuses what waits and all that comes.
    void drain();
    // observe tells the limits which nodes the service has.
    void observe(std::span<const std::string_view> nodeIds);
    // load returns what runs and waits now.
    slot_load load() const;

private:
    struct waiter
    {
        std::condition_variable changed;
        bool isDecided = false;
        refusal_reason reason = refusal_reason::None;
    };
    void wake(const admission_events &events);

    mutable std::mutex m_mutex;
    admission_state m_state;
    std::map<std::uint64_t, waiter> m_waiters; // by ticket
};

} // namespace pistachioquay::internal
