// Stand-in for a worker of the users' platform: it sends heartbeats to the node beside it, simulates running requests
// in a number of slots, and counts the runs of each request id.
//
//   worker_stand_in worker({.id = "w-1", .service = "orders", .address = address, .control = nodeControl});
//   ...
//   worker.drain(milliseconds(4000));
//   CHECK(worker.seen("r-1").runs == 1);
//
// The query of a request selects its outcome: `run=MS` sets the duration of the run, `fail=STATUS` the status of the
// response, `bytes=N` the size of its body, `lose=1` closes the connection after the run without a response, and
// `crash=1` ends the worker. After hang(), every request runs for `hangDuration`.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "connection/loop/http_client.h"
#include "connection/loop/http_server.h"
#include "connection/loop/loop_fixture.h"

namespace pistachioquay::testing {

inline constexpr milliseconds hangDuration{2500};

struct worker_options
{
    std::string id;
    std::string service;
    std::string dataCentre;
    endpoint address;
    endpoint control; // control address of the node beside the worker
    endpoint announcedAddress; // address sent in heartbeats; `address` is sent instead if the port is 0
    unsigned slots = 4;
    std::string version = "v1"; // of its software
    unsigned failEvery = 0; // each such run fails with status 500; 0: none
    milliseconds noticeInterval{300};
    bool followsReplyAddress = true; // sends its heartbeats to the address that the node names in its responses
};

// The runs of one request id, and the details of the latest run.
struct seen_request
{
    unsigned runs = 0;
    std::string callerService;
    std::string expectedWorker;
    header_list headers;
    time_point startedAt;

    friend bool operator==(const seen_request &, const seen_request &) = default;
};

// All functions are thread safe.
class worker_stand_in
{
public:
    explicit worker_stand_in(worker_options options);
    ~worker_stand_in();
    worker_stand_in(const worker_stand_in &) = delete;
    worker_stand_in &operator=(const worker_stand_in &) = delete;

    // drain announces the state `draining` until the node acknowledges it; returns false if it has not after `atMost`.
    bool drain(milliseconds atMost);
    // leave stops the heartbeats, while the worker serves on, and sends a leave notice until the node acknowledges it;
    // returns false if it has not after `atMost`. Without `tellsStart`, the notice lacks the start time.
    bool leave(milliseconds atMost, bool tellsStart = true);
    // takeHeartbeat returns a heartbeat of the current state that is not sent. deliver sends it, as if it had been
    // delayed on its way, and returns whether the node acknowledged it.
    std::string takeHeartbeat();
    bool deliver(const std::string &heartbeat);
    // hasCrashed returns whether a request has ended the worker: it has closed its port and sends no heartbeats.
    bool hasCrashed() const
    {
        return m_hasCrashed;
    }
    // hang makes every later run take `hangDuration`; hang(false) restores the usual duration.
    void hang(bool isHanging = true);
    // seen returns the record of a request id; one with 0 runs if it never ran.
    seen_request seen(const std::string &id) const;
    // lastStart returns the time at which the latest run started.
    time_point lastStart() const;
    // runsById returns the number of runs of each request id.
    std::map<std::string, unsigned> runsById() const;
    // totalRuns returns the number of runs of all request ids together.
    unsigned totalRuns() const;
    // idsRunMoreThanOnce returns the request ids that ran more than once.
    std::vector<std::string> idsRunMoreThanOnce() const;
    const worker_options &options() const
    {
        return m_options;
    }

private:
    bool listen();
    awaitable<whole_response> run(const whole_request &request, caller_connection &caller);
    awaitable<void> pause(milliseconds length);
    awaitable<void> heartbeatLoop();
    awaitable<bool> announce(std::string state);
    std::string heartbeatBody(const std::string &state);
    awaitable<bool> post(std::string action, std::string body);
    awaitable<std::optional<whole_response>> postTo(async_http_client &node, std::string action, std::string body);
    void followReplyAddress(const whole_response &response);
    bool repeatUntilAcknowledged(milliseconds atMost, const std::function<bool()> &send);

    worker_options m_options;
    std::int64_t m_startedMs;
    mutable std::mutex m_mutex; // guards the next four members
    std::map<std::string, seen_request> m_seen;
    time_point m_lastStart;
    std::string m_state = "ready";
    bool m_isHanging = false;
    bool m_hasLeft = false; // used only in the loop
    std::atomic<bool> m_hasCrashed = false;
    unsigned m_running = 0;
    unsigned m_runCount = 0;
    std::uint64_t m_sequence = 0;
    bool m_isStopped = false;
    std::set<net::steady_timer *> m_sleepTimers; // of suspended runs and the heartbeat loop; used only in the loop
    unsigned m_activeCoroutines = 0; // suspended runs, and the heartbeat loop; used only in the loop
    loop_thread m_loop;
    std::unique_ptr<async_http_server> m_server;
    std::unique_ptr<async_http_client> m_node;
    std::shared_ptr<async_http_client> m_replyTo; // for heartbeats; empty: the control address. Used only in the loop
};

} // namespace pistachioquay::testing
