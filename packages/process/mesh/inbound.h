// Runs the calls for the node's own worker. A call waits in the request queue for a free slot of the worker, runs
// there, and leaves an entry in the deduplication table, so that a retransmission does not run it again. Private to the
// mesh library.
//
//   const call_reply reply = co_await inbound.handleCall(message, cancellation);
#pragma once

#include <algorithm>
#include <memory>
#include <unordered_map>

#include "connection/loop/http_client.h"
#include "process/mesh/context.h"
#include "process/mesh/worker_load.h"
#include "request/fair_share/fair_share.h"
#include "request/ledger/ledger.h"
#include "request/run_time/run_time.h"
#include "request/waiting/waiting.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class inbound_handler
{
public:
    explicit inbound_handler(mesh_context &context);

    // handleCall queues and runs a call and returns its outcome. `cancellation` cancels it: a queued call is removed,
    // and a running one is aborted if it is retryable.
    awaitable<call_reply> handleCall(call_message message, std::shared_ptr<cancellation_token> cancellation);
    // onWorkerChange adapts the request queue and the placement to the state of the worker and of the node.
    void onWorkerChange(time_point now);
    // onWorkerRestart attributes the responses that were lost shortly before to the end of the worker's last process.
    void onWorkerRestart(time_point now);
    // report returns the load report of the worker that other nodes receive.
    worker_report report(time_point now) const;
    // runTimes returns the measured run times by route, which other nodes receive.
    const run_time_estimates &runTimes() const
    {
        return m_runTimes;
    }
    // openCount returns the number of queued and running calls.
    std::size_t openCount() const
    {
        return m_queue.waiting.size() + m_queue.running.size();
    }
    std::size_t waitingCount() const
    {
        return m_queue.waiting.size();
    }
    std::size_t runningCount() const
    {
        return m_queue.running.size();
    }
    // meanRunMs returns the mean expected run time of the running calls.
    double meanRunMs() const
    {
        return meanActiveRunMs(m_queue);
    }
    // repeatShare returns the share of the running calls that are repeats.
    double repeatShare() const
    {
        return m_queue.running.empty() ? 0.0
                                       : std::min(1.0, m_runningRepeats / static_cast<double>(m_queue.running.size()));
    }
    const worker_load &workerLoad() const
    {
        return m_workerLoad;
    }
    const client_counts &connectionCounts() const
    {
        return m_workerClient.counts();
    }

private:
    // A call that is queued or running.
    struct open_call
    {
        explicit open_call(const net::any_io_executor &executor)
            : decided(executor)
            , ended(executor)
        {
        }
        async_event decided; // the queue has granted a slot or refused the call, or the call was cancelled
        async_event ended; // retransmissions wait for it to return the same reply
        bool isGranted = false;
        refused_request refusal;
        call_reply reply;
        std::string id;
    };

    awaitable<call_reply> joinOpenCall(const std::string &id, time_point until);
    awaitable<call_reply> runNewCall(const call_message &message,
                                     const std::shared_ptr<cancellation_token> &cancellation);
    awaitable<bool> awaitSlot(const call_message &message,
                              const queued_request &request,
                              const std::shared_ptr<open_call> &open,
                              const std::shared_ptr<cancellation_token> &cancellation,
                              call_reply &reply);
    awaitable<void> runOnWorker(const call_message &message,
                                time_point requestDeadline,
                                const std::shared_ptr<cancellation_token> &cancellation,
                                call_reply &reply);
    whole_request makeWorkerRequest(const call_message &message, time_point requestDeadline, time_point now) const;
    void evaluateWorkerResponse(const call_message &message, exchange_result result, double tookMs, call_reply &reply);
    void recordCancelledRun(const call_message &message, double tookMs, time_point now);
    void recordOutcome(bool isFailure);
    void recordRun(const call_message &message, bool isFailure, double tookMs);
    void dispatchQueued(time_point now);
    void refuseQueued(const std::vector<refused_request> &refused);
    void scheduleQueueCheck();
    void recordConnectFailure(exchange_end end, const std::string &detail);
    void recordRunEnd(const std::string &id, reply_kind kind, bool isLost);
    bool tryBeginRun(const call_message &message, call_reply &reply);
    awaitable<bool> hasWorkerCrashed();
    void announceCrash(const std::optional<crash_report> &report);

    mesh_context &m_context;
    async_http_client m_workerClient;
    request_queue m_queue;
    run_time_estimates m_runTimes;
    call_origins m_origins;
    flow_shares m_flows;
    worker_load m_workerLoad;
    deduplication_table<call_reply> m_deduplication;
    std::unordered_map<std::uint64_t, std::shared_ptr<open_call>> m_waitingCalls; // by ticket
    std::unordered_map<std::string, std::shared_ptr<open_call>> m_openCalls; // by id
    std::uint64_t m_lastTicket = 0;
    double m_runningRepeats = 0; // sum of `repeatShare` of the running calls
    double m_failureShare = 0;
    bool m_isProbing = false;
    exchange_end m_lastProbe = exchange_end::Complete;
    net::steady_timer m_queueTimer;
    std::optional<time_point> m_queueCheckAt;
};

} // namespace pistachioquay::internal
