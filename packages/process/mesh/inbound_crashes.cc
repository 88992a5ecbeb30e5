// The part of `inbound_handler` that finds out which requests crash the worker.
#include "process/mesh/inbound.h"

#include <algorithm>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds probeTimeout{200}; // of the connect that tells a crashed worker from a lost response
constexpr milliseconds probePollInterval{1};

} // namespace

// Registers the run of a request at the worker; false, with the reason in `reply`, if a crash speaks against it.
bool inbound_handler::tryBeginRun(const call_message &message, call_reply &reply)
{
    const fingerprint request = crashFingerprint(message.request, message.callerService);
    const run_decision decision = tryBegin(m_context.crashes, message.id, request, crashClockMs(steadyNow()));
    if (decision == run_decision::Run) {
        return true;
    }
    reply.reason = decision == run_decision::Refuse ? quarantinedReason : "suspect-running";
    m_context.metrics.count("inbound_refused_total{reason=\"" + reply.reason + "\"}");
    m_context.log(log_line("inbound", "refused")
                      .add("id", message.id)
                      .add("route", message.route)
                      .add("reason", reply.reason)
                      .add("request", toHex(request)));
    return false;
}

// Updates what speaks for or against the request of a run that has ended. A refusal by the worker says nothing.
void inbound_handler::recordRunEnd(const std::string &id, reply_kind kind, bool isLost)
{
    const std::int64_t nowMs = crashClockMs(steadyNow());
    if (kind == reply_kind::Response) {
        crash_tracker &crashes = m_context.crashes;
        const auto run = crashes.running.find(id);
        const bool wasIsolated = run != crashes.running.end()
            && crashesOf(crashes.quarantine, run->second.request.request) >= crashes.quarantine.rules.isolateFrom;
        const std::vector<crash_report> changed = complete(crashes, id, nowMs);
        // The next crash could return the request to quarantine before gossip has told the other nodes.
        if (wasIsolated) {
            std::ranges::for_each(changed, m_context.announceCrash);
        }
    } else if (isLost) {
        recordLost(m_context.crashes, id, nowMs);
    } else {
        abandon(m_context.crashes, id);
    }
}

// Returns whether the worker has closed its port. Runs that end at the same time share one connect.
awaitable<bool> inbound_handler::hasWorkerCrashed()
{
    if (m_context.worker.isLeaving) {
        co_return false; // it exits as announced
    }
    if (!m_isProbing) {
        m_isProbing = true;
        m_lastProbe = co_await m_workerClient.probe(steadyNow() + probeTimeout);
        m_isProbing = false;
        if (m_lastProbe != exchange_end::Complete) {
            recordConnectFailure(m_lastProbe, "after a lost response");
        }
        co_return m_lastProbe == exchange_end::Refused;
    }
    net::steady_timer pause(m_context.executor);
    while (m_isProbing) {
        pause.expires_after(probePollInterval);
        co_await pause.async_wait(awaitResult);
    }
    co_return m_lastProbe == exchange_end::Refused;
}

void inbound_handler::announceCrash(const std::optional<crash_report> &report)
{
    if (!report) {
        return;
    }
    m_context.metrics.count("worker_crashes_total");
    m_context.log(log_line("inbound", "worker-crashed")
                      .add("worker", m_context.worker.workerId)
                      .add("crash", toHex(report->id))
                      .add("suspects", report->suspects.size())
                      .add("isolated", report->hasIsolated ? toHex(report->isolated) : ""));
    for (const suspect &each : report->suspects) {
        m_context.log(log_line("inbound", "suspected")
                          .add("crash", toHex(report->id))
                          .add("request", toHex(each.request))
                          .add("quarantined_ms",
                               quarantinedFor(m_context.crashes.quarantine, each.request, crashClockMs(steadyNow()))));
    }
    m_context.announceCrash(*report);
}

void inbound_handler::onWorkerRestart(time_point now)
{
    announceCrash(recordWorkerRestart(m_context.crashes, randomId(m_context.generator), crashClockMs(now)));
}

} // namespace pistachioquay::internal
