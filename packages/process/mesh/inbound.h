// Calls for the own worker: they wait in the line, run on the worker, and leave an entry in the ledger. Private to the
// mesh library.
//
//   const call_reply reply = co_await inbound.run(message, control);
#pragma once

#include <memory>
#include <unordered_map>

#include "connection/loop/http_client.h"
#include "process/mesh/context.h"
#include "request/ledger/ledger.h"
#include "request/run_time/run_time.h"
#include "request/waiting/waiting.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class inbound_side
{
public:
    explicit inbound_side(mesh_context &context);

    // run takes a call and returns how it ended. `control` ends it early: a waiting call is dropped, and a running one
    // that may be repeated is broken off.
    awaitable<call_reply> run(call_message message, std::shared_ptr<cancellation_token> control);
    // onWorkerChange adapts the line to the state of the worker and of the node.
    void onWorkerChange(time_point now);
    // report returns what other nodes are told of the worker.
    worker_report report(time_point now) const;
    // runMs returns the run times by route that other nodes are told.
    const run_time_estimates &runs() const
    {
        return m_runs;
    }
    // openCount returns the number of calls that wait or run.
    std::size_t openCount() const
    {
        return m_line.waiting.size() + m_line.running.size();
    }
    std::size_t waitingCount() const
    {
        return m_line.waiting.size();
    }
    std::size_t runningCount() const
    {
        return m_line.running.size();
    }
    const client_counts &connectionCounts() const
    {
        return m_worker.counts();
    }

private:
    struct open_call
    {
        explicit open_call(const net::any_io_executor &executor)
            : decided(executor)
            , ended(executor)
        {
        }
        async_event decided; // granted or refused by the line
        async_event ended; // for repeats that wait for the response of this call
        bool isGranted = false;
        refused_request refusal;
        call_reply reply;
        std::string id;
    };

    awaitable<call_reply> joinOpen(const std::string &id, time_point until);
    awaitable<call_reply> runNew(const call_message &message, const std::shared_ptr<cancellation_token> &control);
    awaitable<bool> awaitSlot(const call_message &message,
                              const queued_request &request,
                              const std::shared_ptr<open_call> &open,
                              const std::shared_ptr<cancellation_token> &control,
                              call_reply &reply);
    awaitable<void> runOnWorker(const call_message &message,
                                time_point requestDeadline,
                                const std::shared_ptr<cancellation_token> &control,
                                call_reply &reply);
    whole_request workerRequest(const call_message &message, time_point requestDeadline, time_point now) const;
    void readWorkerResponse(const call_message &message, exchange_result got, double tookMs, call_reply &reply);
    void noteCancelled(const call_message &message, double tookMs, time_point now);
    void noteLoad(const whole_response &response, time_point now);
    void noteOutcome(bool isFailure);
    void pump(time_point now);
    void refuseTickets(const std::vector<refused_request> &refused);
    void scheduleCheck();
    call_reply notRun(const std::string &id, std::string_view reason) const;
    void noteConnectFailure(exchange_end end, const std::string &detail);

    mesh_context &m_context;
    async_http_client m_worker;
    request_queue m_line;
    run_time_estimates m_runs;
    deduplication_table<call_reply> m_ledger;
    std::unordered_map<std::uint64_t, std::shared_ptr<open_call>> m_waiting; // by ticket
    std::unordered_map<std::string, std::shared_ptr<open_call>> m_open; // by id
    std::uint64_t m_lastTicket = 0;
    double m_failureShare = 0;
    double m_slowdown = 1.0;
    time_point m_slowdownAt;
    net::steady_timer m_check;
    std::optional<time_point> m_checkAt;
};

} // namespace pistachioquay::internal
