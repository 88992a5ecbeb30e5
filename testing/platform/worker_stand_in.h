// Stand-in for a worker of the users' platform: it announces itself to the node beside it, runs requests in a number of
// slots, and counts its runs by request id.
//
//   worker_stand_in worker({.id = "w-1", .service = "orders", .address = address, .control = nodeControl});
//   ...
//   worker.drain();
//   CHECK(worker.runs("r-1") == 1);
//
// The query of a request sets what happens: `run=MS` how long it runs, `fail=STATUS` a failure, `lose=1` a run whose
// connection is closed without a response. A worker that is told to hang runs every request for `hangTime`.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "connection/loop/http_client.h"
#include "connection/loop/http_server.h"
#include "connection/loop/loop_fixture.h"

namespace pistachioquay::testing {

inline constexpr milliseconds hangTime{2500};

struct worker_options
{
    std::string id;
    std::string service;
    std::string dataCentre;
    endpoint address;
    endpoint control; // of the node beside it
    endpoint announced; // where the node reaches it; the address itself if it has no port
    unsigned slots = 4;
    milliseconds noticeInterval{300};
};

// What a worker has seen of one request id.
struct seen_request
{
    unsigned runs = 0;
    std::string callerService;
    std::string expectedWorker;
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

    // drain announces that the worker leaves, and returns when the node has acknowledged it; false after `atMost`.
    bool drain(milliseconds atMost);
    // hang makes all further runs hang; `isHanging` false ends that.
    void hang(bool isHanging = true);
    // seen returns what is known of a request id.
    seen_request seen(const std::string &id) const;
    // lastStart returns when the last run began.
    time_point lastStart() const;
    // runsById returns how often each id ran.
    std::map<std::string, unsigned> runsById() const;
    // totalRuns returns the number of runs of all ids, and doubledRuns that of the ids that ran more than once.
    unsigned totalRuns() const;
    std::vector<std::string> doubledRuns() const;
    const worker_options &options() const
    {
        return m_options;
    }

private:
    bool listen();
    awaitable<whole_response> run(const whole_request &request, caller_connection &caller);
    awaitable<void> pause(milliseconds length);
    awaitable<void> announceLoop();
    awaitable<bool> announce(std::string state);

    worker_options m_options;
    std::int64_t m_startedMs;
    mutable std::mutex m_mutex; // guards the four below
    std::map<std::string, seen_request> m_seen;
    time_point m_lastStart;
    std::string m_state = "ready";
    bool m_isHanging = false;
    unsigned m_running = 0;
    std::uint64_t m_sequence = 0;
    bool m_isStopped = false;
    std::set<net::steady_timer *> m_pauses; // of runs and notices; belongs to the loop
    unsigned m_active = 0; // runs, and the loop of notices; belongs to the loop
    loop_thread m_loop;
    std::unique_ptr<async_http_server> m_server;
    std::unique_ptr<async_http_client> m_node;
};

} // namespace pistachioquay::testing
