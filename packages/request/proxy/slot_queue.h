// Slots of this node's worker and the queue in front of them. Makes the admission decisions of request/admission usable
// from all connection threads, which block until their request is granted or refused. Private to the proxy.
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

// A ticket, or the reason of the refusal; neither if the caller disconnected while the request waited.
struct slot_grant
{
    std::uint64_t ticket = 0; // 0: none
    refusal_reason reason = refusal_reason::None;
};

// Requests that run on the worker, and lookup and interactive requests that wait for a slot.
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

    // acquire blocks until a slot is granted, the request is refused, or the caller disconnects.
    slot_grant acquire(const admission_request &request, const caller_watch &watch);
    // release frees a granted slot. The time since the grant enters the service-time estimate if `hasResponse`, that
    // is, if the worker responded.
    void release(std::uint64_t ticket, bool hasResponse);
    // drain refuses the waiting requests and all new ones.
    void drain();
    // setServiceNodes sets the nodes of the service in this data centre, which share its rate and concurrency limits.
    void setServiceNodes(std::span<const std::string_view> nodeIds);
    // load returns the numbers of running and waiting requests.
    slot_load load() const;

private:
    struct waiter
    {
        std::condition_variable changed;
        bool isDecided = false;
        refusal_reason reason = refusal_reason::None;
    };
    void notifyWaiters(const admission_events &events);

    mutable std::mutex m_mutex;
    admission_state m_state;
    std::map<std::uint64_t, waiter> m_waiters; // by ticket
};

} // namespace pistachioquay::internal
