#include "process/mesh/outbound.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachioquay::internal {

namespace {

constexpr milliseconds replySlack{150}; // beyond the time of a request, for the reply of the worker's node
constexpr milliseconds defaultTimeLeft{10000}; // of a request that does not tell
constexpr unsigned maxNodesAsked = 8; // for one request
constexpr unsigned maxHandBacks = 2; // of one request, then it waits where it is sent
constexpr unsigned maxLoadRefusals = 3; // nodes that refuse one request for lack of room before its caller is told
constexpr std::size_t requestHeadBytes = 400; // of a request or a response besides its body, about
constexpr std::int64_t noWorkerRetryMs = 300; // while no worker of the service is known
constexpr std::int64_t linkFullRetryMs = 150; // until a link that is full of uploads has room
constexpr std::int64_t stoppingRetryMs = 600; // until a node that is replaced takes requests again
constexpr double fallbackRunShare = 0.25; // of the target, as run time of a route that did not run yet
constexpr milliseconds resumePause{100}; // between attempts to reach a node again
constexpr milliseconds resumeWindow{1500}; // after which the fate of a request stays unknown

std::string retryAfterText(std::int64_t milliseconds)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(),
                  buffer.size(),
                  "%.3f",
                  static_cast<double>(std::max<std::int64_t>(milliseconds, 1)) / 1000.0);
    return buffer.data();
}

attempt_outcome sendEndOf(const call_reply &reply)
{
    switch (reply.kind) {
    case reply_kind::Response:
        return attempt_outcome::FailedResponse;
    case reply_kind::NotRun:
        return attempt_outcome::NotRun;
    case reply_kind::RejectedByWorker:
        return attempt_outcome::RejectedByWorker;
    case reply_kind::Unknown:
        return attempt_outcome::Unknown;
    }
    return attempt_outcome::Unknown;
}

bool isForLoad(const call_reply &reply)
{
    return reply.reason == "crowded" || reply.reason == "no-time" || reply.reason == "queue-full";
}

bool isHandedBack(const call_reply &reply)
{
    return reply.kind == reply_kind::NotRun && reply.reason == handedBackReason;
}

bool isFinal(const call_reply &reply)
{
    return reply.kind == reply_kind::Response && reply.response.status < 500;
}

} // namespace

outbound_side::outbound_side(mesh_context &context, inbound_side &inbound, peer_links &links)
    : m_context(context)
    , m_inbound(inbound)
    , m_links(links)
{
}

retry_budget_limits outbound_side::limits() const
{
    retry_budget_limits limits = m_context.options.resends;
    limits.nodes = static_cast<std::uint32_t>(m_context.fleet.nodes.size()) + 1;
    return limits;
}

awaitable<whole_response> outbound_side::serve(const whole_request &request, caller_connection &caller)
{
    job work;
    work.request = &request;
    work.caller = &caller;
    work.arrivedAt = steadyNow();
    work.control = std::make_shared<cancellation_token>();
    ++m_open;
    m_context.link.note(request.body.size() + requestHeadBytes, 0, work.arrivedAt);
    m_context.metrics.count("requests_total");
    if (auto refused = checkRequest(work)) {
        logEnd(work, *refused, "refused");
        --m_open;
        co_return std::move(*refused);
    }
    caller.onDisconnect([control = work.control] {
        control->cancel();
    });
    whole_response response = co_await forward(work);
    caller.onDisconnect(nullptr);
    m_context.link.note(0, response.body.size() + requestHeadBytes, steadyNow());
    m_context.metrics.note("request_ms", msBetween(work.arrivedAt, steadyNow()));
    --m_open;
    co_return response;
}

std::optional<whole_response> outbound_side::checkRequest(job &work)
{
    const mesh_headers &names = m_context.options.headers;
    const header_list &headers = work.request->headers;
    work.id = std::string(findHeader(headers, names.requestId).value_or(""));
    work.table = m_context.config.table;
    if (work.table->version == 0) {
        return refusal(work, "no-configuration", noWorkerRetryMs);
    }
    if (work.id.empty()) {
        return failure(work, 400, "no-request-id");
    }
    work.route = findRoute(*work.table, findHeader(headers, "Host").value_or(""), work.request->target);
    if (work.route == nullptr) {
        return failure(work, 404, "no-route");
    }
    const routed_path &route = *work.route;
    const auto stated = findHeader(headers, names.timeLeftMs);
    const auto parsed = stated ? parseCount(*stated) : std::nullopt;
    const milliseconds timeLeft = parsed ? milliseconds(*parsed) : defaultTimeLeft;
    work.service = chooseTarget(m_splits, route);
    work.targetAt = work.arrivedAt + route.targetLatency - timeSinceFirstAttempt(m_ages, route.name, timeLeft);
    work.requestDeadline = work.arrivedAt + std::min<milliseconds>(timeLeft, route.timeout);
    work.placement.route = route.name;
    work.placement.priority = route.priority;
    work.placement.bytes = work.request->body.size();
    work.placement.targetMs = static_cast<double>(route.targetLatency.count());
    work.placement.fallbackRunMs = work.placement.targetMs * fallbackRunShare;
    // While its own worker still runs requests, the calls that these make are served.
    const bool mayBeWorkers = m_inbound.runningCount() > 0
        && isFinalAttempt(msBetween(work.arrivedAt, work.targetAt),
                          msBetween(work.arrivedAt, work.requestDeadline),
                          m_inbound.report(work.arrivedAt).meanActiveRunMs);
    if (m_context.isRefusing && !mayBeWorkers) {
        whole_response refused = refusal(work, "stopping", stoppingRetryMs);
        refused.closesConnection = true;
        return refused;
    }
    countRequest(m_budget, work.service, limits(), work.arrivedAt);
    return std::nullopt;
}

awaitable<whole_response> outbound_side::forward(job &work)
{
    call_reply last;
    last.kind = reply_kind::NotRun;
    last.reason = "no-worker";
    last.retryAfterMs = noWorkerRetryMs;
    for (unsigned asked = 0; asked < maxNodesAsked; ++asked) {
        const placement_choice choice = choose(work);
        if (!choice.nodeId) {
            break;
        }
        const shared_copy copy = co_await sendHedged(work, copyFor(work, choice), choice);
        noteEnd(work, *copy);
        call_reply &reply = *copy->reply;
        const bool isWorse = last.kind == reply_kind::Response && reply.kind != reply_kind::Response;
        if (!isWorse) {
            last = std::move(reply);
        }
        if (isFinal(last) || work.caller->isGone() || !mayGoOn(work, last)) {
            break;
        }
    }
    whole_response response = finalResponse(work, last);
    logEnd(work, response, work.caller->isGone() ? "caller-left" : replyName(last.kind));
    co_return response;
}

placement_choice outbound_side::choose(job &work)
{
    const time_point now = steadyNow();
    keepWorkersFresh(m_context, work.service, now);
    m_context.placement.linkLoad = m_context.link.load(m_context.options.linkBytesPerMs, now);
    work.placement.targetLeftMs = msBetween(now, work.targetAt);
    work.placement.timeLeftMs = msBetween(now, work.requestDeadline);
    return chooseWorker(m_context.placement, work.service, work.placement, now, m_context.generator);
}

outbound_side::shared_copy outbound_side::copyFor(job &work, const placement_choice &choice) const
{
    const time_point now = steadyNow();
    work.expectedRunMs = choice.expectedRunMs;
    const auto node = m_context.fleet.nodes.find(*choice.nodeId);
    const bool isOwn = *choice.nodeId == m_context.options.nodeId || node == m_context.fleet.nodes.end();
    recordSentRequest(m_context.placement, work.service, *choice.nodeId, work.placement.bytes);
    auto copy = std::make_shared<sent_copy>();
    copy->nodeId = *choice.nodeId;
    copy->message = messageFor(work, isOwn ? m_context.process : node->second.record.process, now);
    copy->message.typicalRunMs = std::llround(choice.typicalRunMs);
    const bool mayHandBack = work.handBacks < maxHandBacks && !peer_links::isLarge(work.request->body.size());
    if (choice.longestWaitMs && mayHandBack) {
        copy->message.longestWaitMs = std::max<std::int64_t>(1, std::llround(*choice.longestWaitMs));
    }
    copy->sentAt = now;
    copy->requestDeadline = work.requestDeadline;
    return copy;
}

awaitable<outbound_side::shared_copy>
outbound_side::sendHedged(job &work, const shared_copy &first, const placement_choice &choice)
{
    hedge_candidate request;
    request.isRetryable = work.route->repeat == repeat_rule::Repeatable;
    request.workersTried = work.workersTried + 1;
    request.maxWorkers = work.route->maxWorkers;
    request.expectedWaitMs = choice.expectedWaitMs;
    request.expectedRunMs = choice.expectedRunMs;
    request.typicalRunMs = choice.typicalRunMs;
    request.targetLeftMs = work.placement.targetLeftMs;
    request.timeLeftMs = work.placement.timeLeftMs;
    const auto delay = hedgeDelay(request);
    work.control->onCancel([first] {
        first->control->cancel();
    });
    if (work.control->isCancelled()) {
        first->control->cancel();
    }
    if (!delay) {
        first->reply = co_await sendTo(*first);
        work.control->onCancel(nullptr);
        co_return first;
    }
    const auto changed = std::make_shared<async_event>(m_context.executor);
    launch(first, changed);
    co_await changed->waitUntil(first->sentAt + *delay);
    const bool isSlow = !first->reply && !work.control->isCancelled();
    const shared_copy second = isSlow ? hedge(work, *first) : nullptr;
    if (second) {
        launch(second, changed);
    }
    co_return co_await race(work, first, second, changed);
}

// Waits for the first reply that can be passed on, or for the end of both copies. `second` may be null.
awaitable<outbound_side::shared_copy> outbound_side::race(job &work,
                                                          const shared_copy &first,
                                                          const shared_copy &second,
                                                          const std::shared_ptr<async_event> &changed)
{
    std::vector<shared_copy> copies{first};
    if (second) {
        copies.push_back(second);
    }
    work.control->onCancel([copies] {
        for (const shared_copy &copy : copies) {
            copy->control->cancel();
        }
    });
    const auto isEnded = [](const shared_copy &copy) {
        return copy->reply.has_value();
    };
    const auto isWinner = [](const shared_copy &copy) {
        return copy->reply && isFinal(*copy->reply);
    };
    while (std::ranges::none_of(copies, isWinner) && !std::ranges::all_of(copies, isEnded)) {
        changed->reset();
        co_await changed->waitUntil(work.requestDeadline + replySlack * 2);
    }
    work.control->onCancel(nullptr);
    const auto winner = std::ranges::find_if(copies, isWinner);
    const shared_copy chosen = winner != copies.end() ? *winner : first;
    for (const shared_copy &copy : copies) {
        if (copy != chosen) {
            dropSlower(work, copy);
        }
    }
    co_return chosen;
}

// Chooses another worker for a copy; null if none has a free slot or the budget is spent.
outbound_side::shared_copy outbound_side::hedge(job &work, const sent_copy &first)
{
    const std::set<std::string> excluded = work.placement.excluded;
    work.placement.excluded.insert(first.nodeId);
    const placement_choice choice = choose(work);
    work.placement.excluded = excluded;
    if (!choice.nodeId || !maySendHedge({choice.expectedWaitMs, choice.expectedRunMs, work.placement.timeLeftMs})
        || !tryAcquireServiceHedge(m_budget, work.service, limits(), steadyNow())) {
        return nullptr;
    }
    m_context.metrics.count("hedges_total");
    m_context.log(log_line("outbound", "copy-sent")
                      .add("id", work.id)
                      .add("route", work.route->name)
                      .add("first", first.nodeId)
                      .add("second", *choice.nodeId)
                      .add("after_ms", msBetween(first.sentAt, steadyNow()))
                      .add("expected_wait_ms", choice.expectedWaitMs)
                      .add("expected_run_ms", choice.expectedRunMs));
    return copyFor(work, choice);
}

void outbound_side::launch(const shared_copy &copy, const std::shared_ptr<async_event> &changed)
{
    net::co_spawn(
        m_context.executor,
        [this, copy, changed]() -> awaitable<void> {
            copy->reply = co_await sendTo(*copy);
            changed->notify();
        },
        net::detached);
}

// The other copy had the response: ends this one, and counts its time against the worker.
void outbound_side::dropSlower(job &work, const shared_copy &copy)
{
    if (copy->reply) {
        noteEnd(work, *copy);
        work.workersTried += copy->reply->kind == reply_kind::NotRun ? 0 : 1;
        return;
    }
    const time_point now = steadyNow();
    copy->control->cancel();
    recordRunTimeLowerBound(m_context.placement,
                            work.service,
                            copy->nodeId,
                            work.route->name,
                            msBetween(copy->sentAt, now),
                            now);
    ++work.workersTried;
    work.trail += (work.trail.empty() ? "" : ",") + copy->nodeId + ":slower";
}

void outbound_side::noteEnd(job &work, const sent_copy &copy)
{
    learn(work, copy.nodeId, *copy.reply);
    const bool wasHandedBack = isHandedBack(*copy.reply);
    if (wasHandedBack) {
        ++work.handBacks; // the node stays a choice, with what it has told of its line
    } else {
        work.placement.excluded.insert(copy.nodeId);
    }
    const std::string_view outcome = wasHandedBack ? handedBackReason : replyName(copy.reply->kind);
    work.trail += (work.trail.empty() ? "" : ",") + copy.nodeId + ":" + std::string(outcome);
}

bool outbound_side::mayGoOn(job &work, const call_reply &reply)
{
    const time_point now = steadyNow();
    if (reply.kind == reply_kind::NotRun) {
        work.refusals += isForLoad(reply) ? 1 : 0;
        work.retryAfterMs =
            work.retryAfterMs == 0 ? reply.retryAfterMs : std::min(work.retryAfterMs, reply.retryAfterMs);
    } else {
        ++work.workersTried;
    }
    failed_attempt facts;
    facts.end = sendEndOf(reply);
    facts.isRetryable = work.route->repeat == repeat_rule::Repeatable;
    facts.workersTried = work.workersTried;
    facts.maxWorkers = work.route->maxWorkers;
    facts.timeLeft = work.requestDeadline - now;
    facts.expectedRun = fromMs(work.expectedRunMs);
    if (!mayRetryElsewhere(facts)) {
        return false;
    }
    if (work.refusals >= maxLoadRefusals) {
        return false;
    }
    if (facts.end == attempt_outcome::NotRun) {
        return true; // no worker saw it, so what the budget gave for this send is still there
    }
    const bool isAllowed = tryAcquireServiceRetry(m_budget, work.service, limits(), now);
    m_context.metrics.count(isAllowed ? "resends_total" : "resends_denied_total");
    return isAllowed;
}

void outbound_side::learn(const job &work, const std::string &nodeId, const call_reply &reply)
{
    const time_point now = steadyNow();
    if (reply.report != worker_report{}) {
        recordNodeResponse(m_context.fleet, nodeId, now);
        recordReport(m_context.placement, work.service, nodeId, reply.report, now);
    }
    if (reply.runMs > 0) {
        recordWorkerRunTime(m_context.placement, work.service, nodeId, work.route->name, reply.runMs, now);
    }
    if (reply.reason == "unreachable" || reply.reason == "worker-down" || reply.reason == "draining"
        || reply.reason == "link-lost") {
        startBackoff(m_context.placement, work.service, nodeId, now);
    }
}

call_message outbound_side::messageFor(const job &work, std::uint64_t process, time_point now) const
{
    call_message message;
    message.id = work.id;
    message.process = process;
    message.service = work.service;
    message.route = work.route->name;
    message.repeat = work.route->repeat;
    message.priority = work.route->priority;
    message.targetLeftMs = millisBetween(now, work.targetAt);
    message.timeLeftMs = std::max<std::int64_t>(1, millisBetween(now, work.requestDeadline));
    message.callerService = m_context.options.service;
    message.request = *work.request;
    return message;
}

awaitable<call_reply> outbound_side::sendTo(const sent_copy &copy)
{
    if (copy.nodeId == m_context.options.nodeId) {
        co_return co_await m_inbound.run(copy.message, copy.control);
    }
    const auto found = m_context.fleet.nodes.find(copy.nodeId);
    if (found == m_context.fleet.nodes.end()) {
        call_reply gone;
        gone.kind = reply_kind::NotRun;
        gone.reason = "unreachable";
        co_return gone;
    }
    const known_node node = found->second;
    co_return co_await sendRemote(copy, node);
}

awaitable<call_reply> outbound_side::sendRemote(const sent_copy &copy, const known_node &node)
{
    const call_message &message = copy.message;
    const endpoint target = node.record.peer;
    if (peer_links::isLarge(message.request.body.size())) {
        const peer_end room = co_await m_links.reserve(target, message.id, message.request.body.size(), *copy.control);
        if (room != peer_end::Replied) {
            call_reply refused;
            refused.id = message.id;
            refused.kind = reply_kind::NotRun;
            refused.reason = room == peer_end::LinkLost || room == peer_end::TimedOut ? "unreachable" : "link-full";
            refused.retryAfterMs = linkFullRetryMs;
            co_return refused;
        }
    }
    peer_result got = co_await m_links.call(target, message, copy.requestDeadline + replySlack, *copy.control);
    call_reply reply;
    reply.id = message.id;
    switch (got.end) {
    case peer_end::Replied:
        co_return std::move(got.reply);
    case peer_end::NotSent:
        reply.kind = reply_kind::NotRun;
        reply.reason = "unreachable";
        co_return reply;
    case peer_end::LinkLost:
        if (message.repeat == repeat_rule::AtMostOnce) {
            co_return co_await resume(copy, target);
        }
        reply.reason = "link-lost";
        co_return reply;
    case peer_end::TimedOut:
        reply.reason = "timed-out";
        co_return reply;
    case peer_end::Cancelled:
        reply.reason = "cancelled";
        co_return reply;
    }
    co_return reply;
}

// Sends a request that may run only once again to the same process of the same node, which knows whether it has it.
awaitable<call_reply> outbound_side::resume(const sent_copy &copy, const endpoint &target)
{
    call_message message = copy.message;
    message.isRepeat = true;
    call_reply reply;
    reply.id = message.id;
    reply.reason = "link-lost";
    const time_point until = std::min(copy.requestDeadline, steadyNow() + resumeWindow);
    while (steadyNow() < until && !copy.control->isCancelled()) {
        message.timeLeftMs = std::max<std::int64_t>(1, millisBetween(steadyNow(), copy.requestDeadline));
        peer_result got = co_await m_links.call(target, message, copy.requestDeadline + replySlack, *copy.control);
        if (got.end == peer_end::Replied) {
            co_return std::move(got.reply);
        }
        if (got.end == peer_end::TimedOut || got.end == peer_end::Cancelled) {
            break;
        }
        net::steady_timer pause(m_context.executor, resumePause);
        co_await pause.async_wait(awaitResult);
    }
    co_return reply;
}

whole_response outbound_side::finalResponse(const job &work, const call_reply &reply)
{
    switch (reply.kind) {
    case reply_kind::Response:
        return reply.response;
    case reply_kind::NotRun:
    case reply_kind::RejectedByWorker: {
        const bool mayHaveRun =
            work.trail.find(":unknown") != std::string::npos || work.trail.find(":response") != std::string::npos;
        if (mayHaveRun) {
            return failure(work, 502, reply.reason);
        }
        if (reply.kind == reply_kind::RejectedByWorker) {
            std::uniform_real_distribution<double> draw(0, 1);
            const milliseconds wait = rejectionRetryAfter(work.expectedRunMs, draw(m_context.generator));
            return refusal(work, reply.reason, wait.count());
        }
        const std::int64_t named = work.retryAfterMs > 0 ? work.retryAfterMs : reply.retryAfterMs;
        return refusal(work, reply.reason, named > 0 ? named : noWorkerRetryMs);
    }
    case reply_kind::Unknown:
        return failure(work, steadyNow() >= work.requestDeadline ? 504 : 502, reply.reason);
    }
    return failure(work, 502, reply.reason);
}

whole_response outbound_side::refusal(const job &work, std::string_view reason, std::int64_t retryAfterMs)
{
    whole_response response = textReply(503, "not run: " + std::string(reason) + "\n");
    response.headers.push_back({"Retry-After", retryAfterText(retryAfterMs)});
    if (!work.id.empty()) {
        response.headers.push_back({m_context.options.headers.requestId, work.id});
    }
    m_context.metrics.count("refused_total{reason=\"" + std::string(reason) + "\"}");
    return response;
}

whole_response outbound_side::failure(const job &work, unsigned status, std::string_view reason)
{
    whole_response response = textReply(status, std::string(reason) + "\n");
    if (!work.id.empty()) {
        response.headers.push_back({m_context.options.headers.requestId, work.id});
    }
    m_context.metrics.count("failed_total{reason=\"" + std::string(reason) + "\"}");
    return response;
}

void outbound_side::logEnd(const job &work, const whole_response &response, std::string_view outcome)
{
    const time_point now = steadyNow();
    m_context.metrics.count("responses_total{status=\"" + std::to_string(response.status) + "\"}");
    log_line line("outbound", "ended");
    line.add("id", work.id)
        .add("route", work.route != nullptr ? std::string_view(work.route->name) : std::string_view("-"))
        .add("service", work.service)
        .add("status", response.status)
        .add("outcome", outcome)
        .add("version", work.table ? work.table->version : 0)
        .add("took_ms", msBetween(work.arrivedAt, now))
        .add("from", work.request->sender);
    if (work.route != nullptr) {
        line.add("target_left_ms", millisBetween(work.arrivedAt, work.targetAt))
            .add("time_left_ms", millisBetween(work.arrivedAt, work.requestDeadline))
            .add("nodes", work.trail);
    } else {
        line.add("path", work.request->target).add("host", findHeader(work.request->headers, "Host").value_or(""));
    }
    if (response.status >= 500) {
        line.add("reason", std::string_view(response.body).substr(0, response.body.find('\n')).substr(0, 60));
    }
    m_context.log(line);
}

} // namespace pistachioquay::internal
