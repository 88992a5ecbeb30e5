// Measures the own worker: how much others on its VM slow it down, and how many requests it runs well. Private to the
// mesh library.
//
//   const run_start start = load.beginRun(steadyNow());
//   co_await runOnWorker(message, reply);
//   load.endRun(start, message.route, reply, isCancelled, steadyNow());
//   queue.slots = load.slots(queue.waiting.size(), steadyNow());
#pragma once

#include "process/mesh/context.h"
#include "request/capacity/capacity.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class worker_load
{
public:
    explicit worker_load(mesh_context &context);

    // recordResponse reads the load header of a response of the worker.
    void recordResponse(const whole_response &response, time_point now);
    // beginRun and endRun surround the run of a request. `isCancelled`: the node has aborted it.
    run_start beginRun(time_point now);
    void
    endRun(const run_start &start, const std::string &route, const call_reply &reply, bool isCancelled, time_point now);
    // onWorkerChange adapts to the slots that the worker reports, and starts over for a new process of it.
    void onWorkerChange(time_point now);
    // slots returns the number of requests that may run now; `waiting` is the number that wait for a slot.
    std::uint32_t slots(std::size_t waiting, time_point now);
    // fillReport sets what other nodes learn about the worker's speed.
    void fillReport(worker_report &report, time_point now) const;
    // usableSlots returns the number of requests that the worker runs well; the reported slots unless
    // `learnsCapacity` is set.
    std::uint32_t usableSlots() const;
    const worker_capacity &capacity() const
    {
        return m_capacity;
    }

private:
    double slowdown(time_point now) const;

    mesh_context &m_context;
    worker_capacity m_capacity;
    std::string m_workerId; // of the process that was measured, with its start
    std::int64_t m_workerStartedMs = 0;
    double m_slowdown = 1.0; // as the worker last reported it
    time_point m_slowdownAt;
    time_point m_loggedAt; // last log line about the limit
};

} // namespace pistachioquay::internal
