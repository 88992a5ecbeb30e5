#include "process/mesh/inbound.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "process/mesh/caller_keys.h"
#include "process/mesh/link_admission.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds responseSlack{80}; // wait for a response that the worker sends at the deadline
// Idle time up to which a connection to the worker is reused. A worker may close an idle connection without notice, and
// a request that is lost with it may have run; requests that must not be retried therefore have a lower limit.
constexpr milliseconds atMostOnceMaxIdle{500};
constexpr milliseconds retryableMaxIdle{4000};
constexpr std::size_t responseMemoryDivisor = 16; // share of the memory that one response may take
constexpr std::size_t bufferedMemoryDivisor = 4; // share of the memory for all responses that arrive
constexpr double outcomeWeight = 0.08; // weight of one request in the moving average of failures
constexpr double hungRunFactor = 3.0; // a run that is cancelled after this many expected run times counts as failed
constexpr unsigned maxWorkerAttempts = 2; // a second one if the reused connection turned out to be closed
constexpr milliseconds minQueueCheckInterval{5}; // time between checks for requests that cannot be served

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

inbound_handler::inbound_handler(mesh_context &context)
    : m_context(context)
    , m_workerClient(context.executor,
                     {.target = context.options.worker,
                      .echoHeader = context.options.headers.requestId,
                      .maxResponseBytes = context.options.memoryBytes / responseMemoryDivisor,
                      .maxBufferedBytes = context.options.memoryBytes / bufferedMemoryDivisor})
    , m_workerLoad(context)
    , m_queueTimer(context.executor)
{
    m_queue.slots = m_workerLoad.usableSlots();
    m_queue.closedReason = queue_refusal::WorkerDown;
}

awaitable<call_reply> inbound_handler::handleCall(call_message message,
                                                  std::shared_ptr<cancellation_token> cancellation)
{
    const time_point now = steadyNow();
    message = bounded(std::move(message));
    call_reply reply;
    if (message.isRetransmission && message.expectedProcessId != m_context.processId) {
        reply.id = message.id;
        reply.reason = "node-restarted";
        co_return reply;
    }
    switch (m_deduplication.begin(message.id, now)) {
    case deduplication_state::New:
        break;
    case deduplication_state::Open:
        co_return co_await joinOpenCall(message.id, now + milliseconds(message.timeLeftMs) + responseSlack);
    case deduplication_state::Completed:
        if (const call_reply *kept = m_deduplication.response(message.id)) {
            co_return *kept;
        }
        reply.id = message.id;
        reply.reason = "response-not-kept";
        co_return reply;
    case deduplication_state::Void:
        co_return makeNotRunReply(message.id, "void");
    }
    reply = co_await runNewCall(message, cancellation);
    reply.id = message.id;
    reply.report = report(steadyNow());
    reply.origin = originOf(m_origins, message.route);
    if (const auto known = m_runTimes.routes.find(message.route); known != m_runTimes.routes.end()) {
        reply.runMs = known->second.milliseconds;
    }
    if (reply.kind == reply_kind::NotRun && message.isRetransmission) {
        m_deduplication.markNeverRun(message.id, steadyNow());
    } else if (reply.kind == reply_kind::NotRun) {
        m_deduplication.forget(message.id);
    } else {
        m_deduplication.end(message.id, reply, reply.response.body.size() + 512, steadyNow());
    }
    co_return reply;
}

awaitable<call_reply> inbound_handler::joinOpenCall(const std::string &id, time_point until)
{
    const auto found = m_openCalls.find(id);
    if (found != m_openCalls.end()) {
        const std::shared_ptr<open_call> open = found->second;
        if (co_await open->ended.waitUntil(until)) {
            co_return open->reply;
        }
    }
    call_reply reply;
    reply.id = id;
    reply.reason = "no-response-in-time";
    co_return reply;
}

awaitable<call_reply> inbound_handler::runNewCall(const call_message &message,
                                                  const std::shared_ptr<cancellation_token> &cancellation)
{
    const time_point now = steadyNow();
    if (message.service != m_context.options.service) {
        co_return makeNotRunReply(message.id, "other-service");
    }
    if (!isPlausibleAccount(message.account)) {
        co_return makeNotRunReply(message.id, "implausible-account");
    }
    if (isVersionRefused(m_context)) {
        co_return makeNotRunReply(message.id, "version-taken-back");
    }
    const crash_tracker &crashes = m_context.crashes;
    if (!crashes.quarantine.reports.empty()
        && quarantinedFor(crashes.quarantine,
                          crashFingerprint(message.request, message.callerService),
                          crashClockMs(now))
            > 0) {
        co_return makeNotRunReply(message.id, quarantinedReason);
    }
    const double fallbackMs =
        unmeasuredRunMs(static_cast<double>(message.typicalRunMs), static_cast<double>(message.targetLeftMs));
    queued_request request;
    request.ticket = ++m_lastTicket;
    request.priority = message.priority;
    request.arrivedAt = now;
    request.targetAt = now + milliseconds(message.targetLeftMs);
    request.requestDeadline = now + milliseconds(message.timeLeftMs);
    request.expectedRunMs = expectedRunMs(m_runTimes, message.route, fallbackMs);
    request.typicalRunMs = static_cast<double>(message.typicalRunMs);
    const bool seemsTooSlow = now > latestStart(request);
    request.isProbe = seemsTooSlow && tryProbe(m_runTimes, message.route, now);
    recordOrigin(m_origins, message.route, message.callerService, now);
    request.origin = originOf(m_origins, message.route);
    const std::string &flow = message.account.empty() ? message.route : message.account;
    recordOffered(m_flows, flow, now);
    request.isUnderserved = isUnderserved(m_flows, flow);
    const late_request late{now, request.requestDeadline};
    if (m_context.isStopping && !endsInTime(m_context.stop, late)) {
        co_return makeNotRunReply(message.id, "draining");
    }
    const bool isRepeat = message.repeatShare >= 1.0;
    if (isRepeat && isOverdrawn(m_context.retryBudgets, retryLimits(m_context), now)) {
        m_context.metrics.count("inbound_refused_total{reason=\"retry-budget\"}");
        co_return makeNotRunReply(message.id, "retry-budget");
    }
    if (message.hasCrossedLink && isLargeRoute(m_context.linkBookings, message.route)) {
        const double waitMs = expectedWaitMs(m_queue, request.priority, now);
        if (auto refused = refuseForLink(m_context, message, request, waitMs, now)) {
            co_return std::move(*refused);
        }
    }
    const auto open = std::make_shared<open_call>(m_context.executor);
    open->id = message.id;
    m_openCalls[message.id] = open;
    call_reply reply;
    reply.id = message.id;
    if (co_await awaitSlot(message, request, open, cancellation, reply)) {
        recordServed(m_flows, flow, steadyNow());
        reply.waitedMs = millisBetween(now, steadyNow());
        m_runningRepeats += message.repeatShare;
        const run_start started = m_workerLoad.beginRun(steadyNow());
        co_await runOnWorker(message, request.requestDeadline, cancellation, reply);
        m_workerLoad.endRun(started, message.route, reply, cancellation->isCancelled(), steadyNow());
        m_runningRepeats -= message.repeatShare;
    }
    finish(m_queue, request.ticket);
    releaseBooking(m_context.linkBookings, message.id);
    dispatchQueued(steadyNow());
    m_openCalls.erase(message.id);
    open->reply = reply;
    open->ended.notify();
    co_return reply;
}

awaitable<bool> inbound_handler::awaitSlot(const call_message &message,
                                           const queued_request &request,
                                           const std::shared_ptr<open_call> &open,
                                           const std::shared_ptr<cancellation_token> &cancellation,
                                           call_reply &reply)
{
    const time_point now = steadyNow();
    const enqueue_result enqueued = enqueue(m_queue, request, now, m_context.generator);
    const auto allowedWaitMs = static_cast<double>(message.longestWaitMs);
    if (enqueued.kind == enqueue_outcome::Wait && allowedWaitMs > 0 && enqueued.expectedWaitMs > allowedWaitMs) {
        finish(m_queue, request.ticket);
        reply.kind = reply_kind::NotRun;
        reply.reason = std::string(handedBackReason);
        m_context.metrics.count("inbound_handed_back_total");
        m_context.log(log_line("inbound", "handed-back")
                          .add("id", message.id)
                          .add("route", message.route)
                          .add("expected_wait_ms", enqueued.expectedWaitMs)
                          .add("allowed_wait_ms", message.longestWaitMs)
                          .add("running", m_queue.running.size())
                          .add("waiting", m_queue.waiting.size()));
        co_return false;
    }
    if (enqueued.kind == enqueue_outcome::Run) {
        open->isGranted = true;
        co_return true;
    }
    reply.kind = reply_kind::NotRun;
    queue_refusal reason = enqueued.reason;
    reply.retryAfterMs = enqueued.retryAfter.count();
    if (enqueued.kind == enqueue_outcome::Wait) {
        m_waitingCalls[request.ticket] = open;
        cancellation->onCancel([open] {
            open->decided.notify();
        });
        scheduleQueueCheck();
        co_await open->decided.waitUntil(request.requestDeadline);
        cancellation->onCancel(nullptr);
        m_waitingCalls.erase(request.ticket);
        if (open->isGranted) {
            co_return true;
        }
        reason = open->refusal.reason;
        reply.retryAfterMs = open->refusal.retryAfter.count();
    }
    reply.reason = cancellation->isCancelled() ? "cancelled" : std::string(refusalName(reason));
    m_context.metrics.count("inbound_refused_total{reason=\"" + reply.reason + "\"}");
    m_context.log(log_line("inbound", "refused")
                      .add("id", message.id)
                      .add("route", message.route)
                      .add("reason", reply.reason)
                      .add("priority", message.priority)
                      .add("expected_wait_ms", enqueued.expectedWaitMs)
                      .add("expected_run_ms", request.expectedRunMs)
                      .add("time_left_ms", message.timeLeftMs)
                      .add("running", m_queue.running.size())
                      .add("waiting", m_queue.waiting.size())
                      .add("waited_ms", millisBetween(now, steadyNow()))
                      .add("retry_after_ms", reply.retryAfterMs));
    co_return false;
}

whole_request
inbound_handler::makeWorkerRequest(const call_message &message, time_point requestDeadline, time_point now) const
{
    const mesh_headers &names = m_context.options.headers;
    whole_request request = message.request;
    request.headers = endToEndHeaders(message.request.headers);
    setHeader(request.headers,
              names.timeLeftMs,
              std::to_string(std::max<std::int64_t>(1, millisBetween(now, requestDeadline))));
    setHeader(request.headers, names.expectedWorker, m_context.worker.workerId);
    setHeader(request.headers, names.callerService, message.callerService);
    if (m_context.config.table->accounts.areKeysRequired || !message.account.empty()) {
        eraseKeyHeaders(request.headers, names); // the node where the caller entered may know no accounts yet
    }
    if (!message.account.empty()) {
        setHeader(request.headers, names.account, message.account);
    }
    return request;
}

awaitable<void> inbound_handler::runOnWorker(const call_message &message,
                                             time_point requestDeadline,
                                             const std::shared_ptr<cancellation_token> &cancellation,
                                             call_reply &reply)
{
    const bool isRetryable = message.repeat == retry_policy::Retryable;
    const time_point firstStartedAt = steadyNow();
    std::string detail; // why the last attempt has no response
    reply.kind = reply_kind::Unknown;
    for (unsigned attempt = 0; attempt < maxWorkerAttempts; ++attempt) {
        const time_point startedAt = steadyNow();
        if (!tryBeginRun(message, reply)) {
            reply.kind = attempt == 0 ? reply_kind::NotRun : reply_kind::Unknown;
            break;
        }
        const whole_request request = makeWorkerRequest(message, requestDeadline, startedAt);
        exchange_options options;
        options.deadline = requestDeadline + responseSlack;
        options.maxIdleForReuse = attempt > 0 ? milliseconds{0} : isRetryable ? retryableMaxIdle : atMostOnceMaxIdle;
        options.onConnected = [this, &message] {
            recordSent(m_context.crashes, message.id);
        };
        const auto exchangeCancellation = std::make_shared<cancellation_token>();
        cancellation->onCancel([exchangeCancellation, isRetryable] {
            if (isRetryable) {
                exchangeCancellation->cancel();
            }
        });
        exchange_result result = co_await m_workerClient.send(request, options, *exchangeCancellation);
        cancellation->onCancel(nullptr);
        const double tookMs = msBetween(startedAt, steadyNow());
        const bool isLost = result.end == exchange_end::Lost;
        const bool mayRepeat = isLost && attempt + 1 < maxWorkerAttempts
            && mayRepeatOnWorker({isRetryable, result.wasReused, isAcceptingRequests(m_context.worker)})
            && tryAcquireServiceRetry(m_context.retryBudgets, message.service, retryLimits(m_context), steadyNow());
        detail = result.detail;
        const attempt_outcome earlier = attempt > 0 ? attemptOutcome(reply) : attempt_outcome::NotRun;
        evaluateWorkerResponse(message, std::move(result), tookMs, reply);
        recordRunEnd(message.id, reply.kind, isLost);
        if (combineOutcomes(earlier, attemptOutcome(reply)) == attempt_outcome::Unknown) {
            reply.kind = reply_kind::Unknown;
        }
        // The worker may have received the request although the connection was lost, so the second attempt is a retry.
        // Its connect also tells whether the worker has crashed.
        if (mayRepeat) {
            continue;
        }
        if (isLost) {
            const bool hasCrashed = co_await hasWorkerCrashed();
            reply.reason = hasCrashed ? "worker-crashed" : reply.reason;
        }
        break;
    }
    log_line ran("inbound", "ran");
    ran.add("id", message.id)
        .add("route", message.route)
        .add("worker", m_context.worker.workerId)
        .add("outcome", replyName(reply.kind))
        .add("reason", reply.reason)
        .add("status", reply.response.status)
        .add("waited_ms", reply.waitedMs)
        .add("took_ms", msBetween(firstStartedAt, steadyNow()))
        .add("expected_ms", expectedRunMs(m_runTimes, message.route, 0))
        .add("time_left_ms", message.timeLeftMs);
    if (!detail.empty()) {
        ran.add("detail", detail);
    }
    m_context.log(ran);
}

void inbound_handler::evaluateWorkerResponse(const call_message &message,
                                             exchange_result result,
                                             double tookMs,
                                             call_reply &reply)
{
    const time_point now = steadyNow();
    const mesh_headers &names = m_context.options.headers;
    reply.reason = std::string(endName(result.end));
    if (result.end == exchange_end::NotSent || result.end == exchange_end::Refused) {
        reply.kind = reply_kind::NotRun;
        recordConnectFailure(result.end, result.detail);
        return;
    }
    reply.kind = reply_kind::Unknown;
    if (result.end == exchange_end::Cancelled) {
        recordCancelledRun(message, tookMs, now);
        return;
    }
    if (result.end != exchange_end::Complete) {
        recordRun(message, true, tookMs);
        return;
    }
    m_workerLoad.recordResponse(result.response, now);
    const bool isSigned = findHeader(result.response.headers, names.signature).has_value();
    const bool isOtherWorker = result.response.status == 421;
    if (findHeader(result.response.headers, names.notRun) || isOtherWorker) {
        reply.kind = reply_kind::RejectedByWorker;
        reply.reason = isOtherWorker ? "other-worker" : "worker-rejected";
        recordRun(message, true, tookMs);
        return;
    }
    if (!isSigned) {
        reply.reason = "unsigned-response";
        recordRun(message, true, tookMs);
        return;
    }
    reply.kind = reply_kind::Response;
    recordOutcome(result.response.status >= 500);
    // A 504 tells that the caller's time was up, as on a route whose runs outlast its timeout: it can only count as
    // slow.
    const bool isFailure = result.response.status >= 500 && result.response.status != 504;
    countRun(m_context.counting, message.route, isFailure, tookMs / report(now).slowdown);
    if (isSuccess(result.response.status)) {
        recordRunTime(m_runTimes, message.route, tookMs, now);
        recordMeanBytes(m_context.linkBookings, message.route, result.response.body.size());
        m_context.metrics.observe("worker_run_ms", tookMs);
    }
    reply.response = std::move(result.response);
    reply.response.headers = endToEndHeaders(reply.response.headers);
}

// Records a cancelled run that has taken longer than expected. Without it a worker that hangs would keep its old run
// times, because it completes no requests.
void inbound_handler::recordCancelledRun(const call_message &message, double tookMs, time_point now)
{
    const double expected = expectedRunMs(m_runTimes, message.route, tookMs);
    if (tookMs > expected) {
        recordRunTime(m_runTimes, message.route, tookMs, now);
    }
    if (tookMs > hungRunFactor * expected) {
        recordOutcome(true);
    }
    countCancelledRun(m_context.counting, message.route, tookMs / report(now).slowdown);
}

// Records the outcome of a run, also for the roll-out of the service. The run time is compared there without the part
// that the worker attributes to its neighbours.
void inbound_handler::recordRun(const call_message &message, bool isFailure, double tookMs)
{
    recordOutcome(isFailure);
    countRun(m_context.counting, message.route, isFailure, tookMs / report(steadyNow()).slowdown);
}

void inbound_handler::recordConnectFailure(exchange_end end, const std::string &detail)
{
    recordOutcome(true);
    if (end == exchange_end::Refused && !m_context.worker.isLeaving) {
        announceCrash(recordWorkerCrash(m_context.crashes, randomId(m_context.generator), crashClockMs(steadyNow())));
    }
    if (recordUnreachable(m_context.worker)) {
        m_context.log(log_line("inbound", "worker-lost")
                          .add("worker", m_context.worker.workerId)
                          .add("end", endName(end))
                          .add("detail", detail));
        onWorkerChange(steadyNow());
    }
}

void inbound_handler::recordOutcome(bool isFailure)
{
    m_failureShare += outcomeWeight * ((isFailure ? 1.0 : 0.0) - m_failureShare);
}

worker_report inbound_handler::report(time_point now) const
{
    worker_report report;
    report.running = static_cast<std::uint32_t>(m_queue.running.size());
    report.waiting = static_cast<std::uint32_t>(m_queue.waiting.size());
    for (std::uint32_t priority = 0; priority < reportedPriorities; ++priority) {
        report.waitMs.at(priority) = expectedWaitMs(m_queue, priority, now);
    }
    report.meanActiveRunMs = meanActiveRunMs(m_queue);
    report.failureShare = m_failureShare;
    m_workerLoad.fillReport(report, now);
    report.linkLoad = std::max(m_context.linkMeter.load(m_context.options.linkBytesPerMs, now),
                               reservedShare(m_context.linkReservations));
    report.transferWaitMs = transferWaitMs(m_context.linkBookings, linkState(m_context, now));
    return report;
}

void inbound_handler::dispatchQueued(time_point now)
{
    m_queue.slots = m_workerLoad.slots(m_queue.waiting.size(), now);
    refuseQueued(removeUnservable(m_queue, now, m_context.generator));
    for (auto ticket = startNext(m_queue, now); ticket; ticket = startNext(m_queue, now)) {
        const auto found = m_waitingCalls.find(*ticket);
        if (found == m_waitingCalls.end()) {
            finish(m_queue, *ticket);
            continue;
        }
        found->second->isGranted = true;
        found->second->decided.notify();
    }
    scheduleQueueCheck();
}

void inbound_handler::refuseQueued(const std::vector<refused_request> &refused)
{
    for (const refused_request &request : refused) {
        const auto found = m_waitingCalls.find(request.ticket);
        if (found != m_waitingCalls.end()) {
            found->second->refusal = request;
            found->second->decided.notify();
        }
    }
}

void inbound_handler::scheduleQueueCheck()
{
    auto due = nextUnservableCheck(m_queue);
    if (due) {
        due = std::max(*due, steadyNow() + minQueueCheckInterval);
    }
    if (!due || (m_queueCheckAt && *m_queueCheckAt <= *due && *m_queueCheckAt > steadyNow())) {
        return;
    }
    m_queueCheckAt = *due + milliseconds(1);
    m_queueTimer.expires_at(*m_queueCheckAt);
    m_queueTimer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            m_queueCheckAt.reset();
            dispatchQueued(steadyNow());
        }
    });
}

void inbound_handler::onWorkerChange(time_point now)
{
    const worker_liveness &worker = m_context.worker;
    m_workerLoad.onWorkerChange(now);
    if (worker.isLeaving || m_context.isInboundClosed) {
        m_queue.closedReason = queue_refusal::Draining;
    } else {
        m_queue.closedReason = isAcceptingRequests(worker) ? queue_refusal::None : queue_refusal::WorkerDown;
    }
    if (worker.isUnreachable) {
        refuseQueued(removeAllQueued(m_queue, queue_refusal::WorkerDown));
        m_workerClient.closeAll();
    }
    if (worker.isLeaving && now - worker.leavingSince > m_context.options.drainTime / 2) {
        refuseQueued(removeAllQueued(m_queue, queue_refusal::Draining));
    }
    refreshWorkers(m_context, m_context.options.service, now);
    dispatchQueued(now);
}

} // namespace pistachioquay::internal
