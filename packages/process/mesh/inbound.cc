#include "process/mesh/inbound.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ranges>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds responseSlack{80}; // beyond the time of a request, for the worker's own response at its end
constexpr milliseconds onceReuse{500}; // idle time of connections that a request which may not be repeated uses
constexpr milliseconds repeatableReuse{4000};
constexpr double outcomeWeight = 0.08; // weight of one request in the failure share
constexpr double hangingRuns = 3.0; // expected runs after which a cancelled run counts as failed
constexpr double slowdownHalfLifeMs = 300.0; // a worker's slowdown changes many times a second
constexpr unsigned localAttempts = 2; // on the own worker, after a kept connection turned out to be closed
constexpr milliseconds minCheckPause{5}; // between looks for requests that can no longer meet their target
constexpr std::uint32_t defaultSlots = 4; // until the worker has told its slots

// Fields of the load header: running, waiting, slots and, if given, the slowdown in percent.
std::vector<double> numbersOf(std::string_view text)
{
    std::vector<double> numbers;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        double value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + comma, value);
        if (parsed.ec != std::errc{}) {
            return {};
        }
        numbers.push_back(value);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return numbers;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

inbound_side::inbound_side(mesh_context &context)
    : m_context(context)
    , m_worker(context.executor, {.target = context.options.worker, .echoHeader = context.options.headers.requestId})
    , m_check(context.executor)
{
    m_line.slots = defaultSlots;
    m_line.closedReason = queue_refusal::WorkerDown;
}

call_reply inbound_side::notRun(const std::string &id, std::string_view reason) const
{
    call_reply reply;
    reply.id = id;
    reply.kind = reply_kind::NotRun;
    reply.reason = std::string(reason);
    return reply;
}

awaitable<call_reply> inbound_side::run(call_message message, std::shared_ptr<cancellation_token> control)
{
    const time_point now = steadyNow();
    call_reply reply;
    if (message.isRepeat && message.process != m_context.process) {
        reply.id = message.id;
        reply.reason = "node-restarted";
        co_return reply;
    }
    switch (m_ledger.begin(message.id, now)) {
    case deduplication_state::New:
        break;
    case deduplication_state::Open:
        co_return co_await joinOpen(message.id, now + milliseconds(message.timeLeftMs) + responseSlack);
    case deduplication_state::Completed:
        if (const call_reply *kept = m_ledger.response(message.id)) {
            co_return *kept;
        }
        reply.id = message.id;
        reply.reason = "response-not-kept";
        co_return reply;
    case deduplication_state::Void:
        co_return notRun(message.id, "void");
    }
    reply = co_await runNew(message, control);
    reply.id = message.id;
    reply.report = report(steadyNow());
    if (const auto known = m_runs.routes.find(message.route); known != m_runs.routes.end()) {
        reply.runMs = known->second.milliseconds;
    }
    if (reply.kind == reply_kind::NotRun && message.isRepeat) {
        m_ledger.markNeverRun(message.id, steadyNow());
    } else if (reply.kind == reply_kind::NotRun) {
        m_ledger.forget(message.id);
    } else {
        m_ledger.end(message.id, reply, reply.response.body.size() + 512, steadyNow());
    }
    co_return reply;
}

awaitable<call_reply> inbound_side::joinOpen(const std::string &id, time_point until)
{
    const auto found = m_open.find(id);
    if (found != m_open.end()) {
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

awaitable<call_reply> inbound_side::runNew(const call_message &message,
                                           const std::shared_ptr<cancellation_token> &control)
{
    const time_point now = steadyNow();
    if (message.service != m_context.options.service) {
        co_return notRun(message.id, "other-service");
    }
    const double fallbackMs =
        unmeasuredRunMs(static_cast<double>(message.typicalRunMs), static_cast<double>(message.targetLeftMs));
    queued_request request;
    request.ticket = ++m_lastTicket;
    request.priority = message.priority;
    request.arrivedAt = now;
    request.targetAt = now + milliseconds(message.targetLeftMs);
    request.requestDeadline = now + milliseconds(message.timeLeftMs);
    request.expectedRunMs = expectedRunMs(m_runs, message.route, fallbackMs);
    if (m_context.isStopping) {
        const auto twice = std::chrono::duration<double, std::milli>(2 * request.expectedRunMs);
        if (now + std::chrono::duration_cast<duration>(twice) > m_context.servesUntil) {
            co_return notRun(message.id, "draining");
        }
    }
    const auto open = std::make_shared<open_call>(m_context.executor);
    open->id = message.id;
    m_open[message.id] = open;
    call_reply reply;
    reply.id = message.id;
    if (co_await awaitSlot(message, request, open, control, reply)) {
        reply.waitedMs = millisBetween(now, steadyNow());
        co_await runOnWorker(message, request.requestDeadline, control, reply);
    }
    finish(m_line, request.ticket);
    pump(steadyNow());
    m_open.erase(message.id);
    open->reply = reply;
    open->ended.notify();
    co_return reply;
}

awaitable<bool> inbound_side::awaitSlot(const call_message &message,
                                        const queued_request &request,
                                        const std::shared_ptr<open_call> &open,
                                        const std::shared_ptr<cancellation_token> &control,
                                        call_reply &reply)
{
    const time_point now = steadyNow();
    const enqueue_result verdict = enqueue(m_line, request, now, m_context.generator);
    const auto allowedWaitMs = static_cast<double>(message.longestWaitMs);
    if (verdict.kind == enqueue_outcome::Wait && allowedWaitMs > 0 && verdict.expectedWaitMs > allowedWaitMs) {
        finish(m_line, request.ticket);
        reply.kind = reply_kind::NotRun;
        reply.reason = std::string(handedBackReason);
        m_context.metrics.count("inbound_handed_back_total");
        m_context.log(log_line("inbound", "handed-back")
                          .add("id", message.id)
                          .add("route", message.route)
                          .add("expected_wait_ms", verdict.expectedWaitMs)
                          .add("allowed_wait_ms", message.longestWaitMs)
                          .add("running", m_line.running.size())
                          .add("waiting", m_line.waiting.size()));
        co_return false;
    }
    if (verdict.kind == enqueue_outcome::Run) {
        open->isGranted = true;
        co_return true;
    }
    reply.kind = reply_kind::NotRun;
    queue_refusal reason = verdict.reason;
    reply.retryAfterMs = verdict.retryAfter.count();
    if (verdict.kind == enqueue_outcome::Wait) {
        m_waiting[request.ticket] = open;
        control->onCancel([open] {
            open->decided.notify();
        });
        scheduleCheck();
        co_await open->decided.waitUntil(request.requestDeadline);
        control->onCancel(nullptr);
        m_waiting.erase(request.ticket);
        if (open->isGranted) {
            co_return true;
        }
        reason = open->refusal.reason;
        reply.retryAfterMs = open->refusal.retryAfter.count();
    }
    reply.reason = control->isCancelled() ? "cancelled" : std::string(refusalName(reason));
    m_context.metrics.count("inbound_refused_total{reason=\"" + reply.reason + "\"}");
    m_context.log(log_line("inbound", "refused")
                      .add("id", message.id)
                      .add("route", message.route)
                      .add("reason", reply.reason)
                      .add("priority", message.priority)
                      .add("expected_wait_ms", verdict.expectedWaitMs)
                      .add("expected_run_ms", request.expectedRunMs)
                      .add("time_left_ms", message.timeLeftMs)
                      .add("running", m_line.running.size())
                      .add("waiting", m_line.waiting.size())
                      .add("waited_ms", millisBetween(now, steadyNow()))
                      .add("retry_after_ms", reply.retryAfterMs));
    co_return false;
}

whole_request inbound_side::workerRequest(const call_message &message, time_point requestDeadline, time_point now) const
{
    const mesh_headers &names = m_context.options.headers;
    whole_request request = message.request;
    request.headers = endToEndHeaders(message.request.headers);
    setHeader(request.headers,
              names.timeLeftMs,
              std::to_string(std::max<std::int64_t>(1, millisBetween(now, requestDeadline))));
    setHeader(request.headers, names.expectedWorker, m_context.worker.workerId);
    setHeader(request.headers, names.callerService, message.callerService);
    return request;
}

awaitable<void> inbound_side::runOnWorker(const call_message &message,
                                          time_point requestDeadline,
                                          const std::shared_ptr<cancellation_token> &control,
                                          call_reply &reply)
{
    const bool isRetryable = message.repeat == repeat_rule::Repeatable;
    const time_point begunAt = steadyNow();
    reply.kind = reply_kind::Unknown;
    for (unsigned attempt = 0; attempt < localAttempts; ++attempt) {
        const time_point startedAt = steadyNow();
        const whole_request request = workerRequest(message, requestDeadline, startedAt);
        exchange_options options;
        options.deadline = requestDeadline + responseSlack;
        options.maxIdleForReuse = attempt > 0 ? milliseconds{0} : isRetryable ? repeatableReuse : onceReuse;
        const auto own = std::make_shared<cancellation_token>();
        control->onCancel([own, isRetryable] {
            if (isRetryable) {
                own->cancel();
            }
        });
        exchange_result got = co_await m_worker.send(request, options, *own);
        control->onCancel(nullptr);
        const double tookMs = msBetween(startedAt, steadyNow());
        const bool mayTryAgain = isRetryable && got.end == exchange_end::Lost && got.wasReused;
        readWorkerResponse(message, std::move(got), tookMs, reply);
        if (!mayTryAgain || attempt + 1 == localAttempts) {
            break;
        }
    }
    m_context.log(log_line("inbound", "ran")
                      .add("id", message.id)
                      .add("route", message.route)
                      .add("worker", m_context.worker.workerId)
                      .add("outcome", replyName(reply.kind))
                      .add("reason", reply.reason)
                      .add("status", reply.response.status)
                      .add("waited_ms", reply.waitedMs)
                      .add("took_ms", msBetween(begunAt, steadyNow()))
                      .add("expected_ms", expectedRunMs(m_runs, message.route, 0))
                      .add("time_left_ms", message.timeLeftMs));
}

void inbound_side::readWorkerResponse(const call_message &message,
                                      exchange_result got,
                                      double tookMs,
                                      call_reply &reply)
{
    const time_point now = steadyNow();
    const mesh_headers &names = m_context.options.headers;
    reply.reason = std::string(endName(got.end));
    if (got.end == exchange_end::NotSent || got.end == exchange_end::Refused) {
        reply.kind = reply_kind::NotRun;
        noteConnectFailure(got.end, got.detail);
        return;
    }
    reply.kind = reply_kind::Unknown;
    if (got.end == exchange_end::Cancelled) {
        noteCancelled(message, tookMs, now);
        return;
    }
    if (got.end != exchange_end::Complete) {
        noteOutcome(true);
        return;
    }
    noteLoad(got.response, now);
    const bool isSigned = findHeader(got.response.headers, names.signature).has_value();
    const bool isOtherWorker = got.response.status == 421;
    if (findHeader(got.response.headers, names.notRun) || isOtherWorker) {
        reply.kind = reply_kind::RejectedByWorker;
        reply.reason = isOtherWorker ? "other-worker" : "worker-rejected";
        noteOutcome(true);
        return;
    }
    if (!isSigned) {
        reply.reason = "unsigned-response";
        noteOutcome(true);
        return;
    }
    reply.kind = reply_kind::Response;
    noteOutcome(got.response.status >= 500);
    if (isSuccess(got.response.status)) {
        recordRunTime(m_runs, message.route, tookMs, now);
        m_context.metrics.note("worker_run_ms", tookMs);
    }
    reply.response = std::move(got.response);
    reply.response.headers = endToEndHeaders(reply.response.headers);
}

// A run that was cancelled counts once it has taken longer than expected: a worker that hangs completes nothing else.
void inbound_side::noteCancelled(const call_message &message, double tookMs, time_point now)
{
    const double expected = expectedRunMs(m_runs, message.route, tookMs);
    if (tookMs > expected) {
        recordRunTime(m_runs, message.route, tookMs, now);
    }
    if (tookMs > hangingRuns * expected) {
        noteOutcome(true);
    }
}

void inbound_side::noteConnectFailure(exchange_end end, const std::string &detail)
{
    noteOutcome(true);
    if (recordUnreachable(m_context.worker)) {
        m_context.log(log_line("inbound", "worker-lost")
                          .add("worker", m_context.worker.workerId)
                          .add("end", endName(end))
                          .add("detail", detail));
        onWorkerChange(steadyNow());
    }
}

void inbound_side::noteLoad(const whole_response &response, time_point now)
{
    const auto header = findHeader(response.headers, m_context.options.headers.load);
    if (!header) {
        return;
    }
    const std::vector<double> numbers = numbersOf(*header);
    if (numbers.size() >= 4 && numbers[3] > 0) {
        m_slowdown = numbers[3] / 100.0;
        m_slowdownAt = now;
    }
}

void inbound_side::noteOutcome(bool isFailure)
{
    m_failureShare += outcomeWeight * ((isFailure ? 1.0 : 0.0) - m_failureShare);
}

worker_report inbound_side::report(time_point now) const
{
    worker_report report;
    report.running = static_cast<std::uint32_t>(m_line.running.size());
    report.waiting = static_cast<std::uint32_t>(m_line.waiting.size());
    for (std::uint32_t priority = 0; priority < reportedPriorities; ++priority) {
        report.waitMs.at(priority) = expectedWaitMs(m_line, priority, now);
    }
    report.meanActiveRunMs = meanActiveRunMs(m_line);
    report.failureShare = m_failureShare;
    report.slowdown = 1.0 + (m_slowdown - 1.0) * std::exp2(-msBetween(m_slowdownAt, now) / slowdownHalfLifeMs);
    report.linkLoad =
        std::max(m_context.link.load(m_context.options.linkBytesPerMs, now), reservedShare(m_context.room));
    return report;
}

void inbound_side::pump(time_point now)
{
    refuseTickets(removeUnservable(m_line, now, m_context.generator));
    for (auto ticket = startNext(m_line, now); ticket; ticket = startNext(m_line, now)) {
        const auto found = m_waiting.find(*ticket);
        if (found == m_waiting.end()) {
            finish(m_line, *ticket);
            continue;
        }
        found->second->isGranted = true;
        found->second->decided.notify();
    }
    scheduleCheck();
}

void inbound_side::refuseTickets(const std::vector<refused_request> &refused)
{
    for (const refused_request &ticket : refused) {
        const auto found = m_waiting.find(ticket.ticket);
        if (found != m_waiting.end()) {
            found->second->refusal = ticket;
            found->second->decided.notify();
        }
    }
}

void inbound_side::scheduleCheck()
{
    auto due = nextUnservableCheck(m_line);
    if (due) {
        due = std::max(*due, steadyNow() + minCheckPause);
    }
    if (!due || (m_checkAt && *m_checkAt <= *due && *m_checkAt > steadyNow())) {
        return;
    }
    m_checkAt = *due + milliseconds(1);
    m_check.expires_at(*m_checkAt);
    m_check.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            m_checkAt.reset();
            pump(steadyNow());
        }
    });
}

void inbound_side::onWorkerChange(time_point now)
{
    const worker_liveness &worker = m_context.worker;
    m_line.slots = worker.slots > 0 ? worker.slots : defaultSlots;
    if (worker.isLeaving || m_context.isWorkerClosed) {
        m_line.closedReason = queue_refusal::Draining;
    } else {
        m_line.closedReason = isAcceptingRequests(worker) ? queue_refusal::None : queue_refusal::WorkerDown;
    }
    if (worker.isUnreachable) {
        refuseTickets(removeAllQueued(m_line, queue_refusal::WorkerDown));
        m_worker.closeAll();
    }
    if (worker.isLeaving && now - worker.leavingSince > m_context.options.drainTime / 2) {
        refuseTickets(removeAllQueued(m_line, queue_refusal::Draining));
    }
    refreshWorkers(m_context, m_context.options.service, now);
    pump(now);
}

} // namespace pistachioquay::internal
