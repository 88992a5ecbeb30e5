#include "process/mesh/outbound.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/mesh/caller_keys.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds defaultTimeLeft{10000}; // assumed if the request does not state it
constexpr milliseconds maxTimeLeft{24 * 3600 * 1000}; // larger values of the header count as this
constexpr unsigned maxNodesTried = 8; // nodes that one request is sent to
constexpr unsigned maxHandBacks = 2; // hand-backs of one request; later attempts set no wait limit
constexpr unsigned maxOverloadRefusals = 3; // refusals by nodes until the caller gets the refusal
constexpr std::size_t requestHeadBytes = 400; // approximate size of a request or a response without its body
constexpr std::int64_t noWorkerRetryMs = 300; // Retry-After while no worker of the service or no configuration is known
constexpr std::int64_t stoppingRetryMs = 600; // Retry-After of a stopping node, until its replacement accepts requests
constexpr double fallbackRunShare = 0.25; // assumed run time of an unmeasured route, as share of its latency target

bool isOverloadRefusal(const call_reply &reply)
{
    return reply.reason == "crowded" || reply.reason == "no-time" || reply.reason == "queue-full"
        || reply.reason == linkBookedReason;
}

bool isHandedBack(const call_reply &reply)
{
    return reply.kind == reply_kind::NotRun && reply.reason == handedBackReason;
}

} // namespace

outbound_handler::outbound_handler(mesh_context &context,
                                   inbound_handler &inbound,
                                   peer_links &links,
                                   allowance_keeper &allowances)
    : m_context(context)
    , m_inbound(inbound)
    , m_links(links)
    , m_allowances(allowances)
{
}

awaitable<whole_response> outbound_handler::serve(const whole_request &received, caller_connection &caller)
{
    request_context request;
    request.received = &received;
    request.caller = &caller;
    request.arrivedAt = steadyNow();
    request.cancellation = std::make_shared<cancellation_token>();
    ++m_openRequests;
    m_context.linkMeter.recordBytes(received.body.size() + requestHeadBytes, 0, request.arrivedAt);
    m_context.metrics.count("requests_total");
    if (auto refused = admit(request)) {
        logRequestEnd(request, *refused, "refused");
        --m_openRequests;
        co_return std::move(*refused);
    }
    caller.onDisconnect([cancellation = request.cancellation] {
        cancellation->cancel();
    });
    whole_response response = co_await forwardWithinAllowance(request);
    caller.onDisconnect(nullptr);
    m_context.linkMeter.recordBytes(0, response.body.size() + requestHeadBytes, steadyNow());
    m_context.metrics.observe("request_ms", msBetween(request.arrivedAt, steadyNow()));
    --m_openRequests;
    co_return response;
}

bool outbound_handler::mayOverlap(const whole_request &received) const
{
    const route_config *route =
        findRoute(*m_context.config.table, findHeader(received.headers, "Host").value_or(""), received.target);
    return route != nullptr && route->repeat == retry_policy::Retryable;
}

std::optional<whole_response> outbound_handler::admit(request_context &request)
{
    const mesh_headers &names = m_context.options.headers;
    const header_list &headers = request.received->headers;
    request.id = std::string(findHeader(headers, names.requestId).value_or(""));
    request.table = m_context.config.table;
    if (request.table->version == 0) {
        return makeRefusal(request, "no-configuration", noWorkerRetryMs);
    }
    if (request.id.empty()) {
        return makeFailure(request, 400, "no-request-id");
    }
    request.route = findRoute(*request.table, findHeader(headers, "Host").value_or(""), request.received->target);
    if (request.route == nullptr) {
        return makeFailure(request, 404, "no-route");
    }
    const route_config &route = *request.route;
    const auto stated = findHeader(headers, names.timeLeftMs);
    const auto parsed = stated ? parseCount(*stated) : std::nullopt;
    const milliseconds timeLeft =
        parsed ? milliseconds(std::min<std::uint64_t>(*parsed, maxTimeLeft.count())) : defaultTimeLeft;
    request.service = chooseTarget(m_splits, route);
    request.targetAt =
        request.arrivedAt + route.targetLatency - timeSinceFirstAttempt(m_callerTimeouts, route.name, timeLeft);
    request.requestDeadline = request.arrivedAt + std::min<milliseconds>(timeLeft, route.timeout);
    request.placement.route = route.name;
    const auto origin = m_origins.find(route.name);
    request.placement.origin = origin == m_origins.end() ? request_origin::Unknown : origin->second;
    if (auto refused = applyKey(request, request.table->accounts, route, isProven(m_context.freshness, bootNow()))) {
        return refused;
    }
    request.keyTable = request.table;
    request.placement.bytes = request.received->body.size();
    request.placement.targetMs = static_cast<double>(route.targetLatency.count());
    request.placement.fallbackRunMs = request.placement.targetMs * fallbackRunShare;
    // Calls that the own worker makes while it runs a request are still served during a shutdown: refusing one would
    // fail that request. A request that has too little time left to be retried is taken for such a call.
    const double timeLeftMs = msBetween(request.arrivedAt, request.requestDeadline);
    const bool mayBeFromWorker = m_inbound.runningCount() > 0
        && isFinalAttempt(msBetween(request.arrivedAt, request.targetAt), timeLeftMs, m_inbound.meanRunMs());
    const late_request late{request.arrivedAt,
                            request.requestDeadline,
                            route.targetLatency,
                            route.repeat == retry_policy::Retryable,
                            mayBeFromWorker};
    if (m_context.isStopping && !mayAcceptWhileStopping(m_context.stop, late)) {
        whole_response refused = makeRefusal(request, "stopping", stoppingRetryMs);
        refused.closesConnection = true;
        return refused;
    }
    if (crashSuspicion(request) == suspicion::Quarantined) {
        const fingerprint identity = crashFingerprint(*request.received, m_context.options.service);
        const std::int64_t quarantineLeftMs =
            quarantinedFor(m_context.crashes.quarantine, identity, crashClockMs(request.arrivedAt));
        m_context.log(log_line("outbound", "quarantined")
                          .add("id", request.id)
                          .add("request", toHex(identity))
                          .add("left_ms", quarantineLeftMs));
        return makeRefusal(request, quarantinedReason, quarantineLeftMs);
    }
    const retry_budget_limits limits = retryLimits(m_context);
    countRequest(m_context.retryBudgets, request.service, limits, request.arrivedAt);
    // A call of the own worker counts here also when its target has passed, as in a run that is already late.
    const bool isLikelyCall = !hasTimeToRetry(timeLeftMs, m_inbound.meanRunMs());
    if (isLikelyCall && request.service != m_context.options.service) {
        request.causedShare = m_inbound.repeatShare();
        recordCausedRetries(m_context.retryBudgets, request.service, limits, request.causedShare, request.arrivedAt);
    }
    return std::nullopt;
}

std::optional<whole_response> outbound_handler::applyKey(request_context &request,
                                                         const account_table &accounts,
                                                         const route_config &route,
                                                         bool isProven)
{
    const mesh_headers &names = m_context.options.headers;
    const key_decision key = checkKey(accounts, route.allowsAnonymous, request.received->headers, names, isProven);
    if (key.verdict == key_verdict::Rejected) {
        m_context.metrics.count("rejected_keys_total");
        whole_response response = makeFailure(request, 401, "unknown-key");
        response.headers.push_back({"WWW-Authenticate", names.authorizationScheme});
        return response;
    }
    if (key.verdict == key_verdict::Unproven) {
        return makeRefusal(request, "key-not-provable", proofRetryAfter(m_context.freshness).count());
    }
    request.clientAccount = key.account;
    request.placement.priority =
        key.account != nullptr ? key.account->priority.value_or(route.priority) : route.priority;
    return std::nullopt;
}

std::optional<whole_response> outbound_handler::applyKeyChange(request_context &request)
{
    if (request.keyTable == m_context.config.table) {
        return std::nullopt;
    }
    request.keyTable = m_context.config.table;
    const std::string_view host = findHeader(request.received->headers, "Host").value_or("");
    const route_config *route = findRoute(*request.keyTable, host, request.received->target);
    // The request was read while its key was provable, so only a version that took the key away speaks against it.
    return applyKey(request, request.keyTable->accounts, route != nullptr ? *route : *request.route, true);
}

awaitable<whole_response> outbound_handler::forward(request_context &request)
{
    call_reply last;
    last.kind = reply_kind::NotRun;
    last.reason = "no-worker";
    last.retryAfterMs = noWorkerRetryMs;
    request.placement.isOnTrial = drawTrial(m_context.rollouts, request.service, m_context.generator);
    for (unsigned tried = 0; tried < maxNodesTried; ++tried) {
        auto refused = applyKeyChange(request);
        if (refused && !request.mayHaveRun) {
            logRequestEnd(request, *refused, "refused");
            co_return std::move(*refused);
        }
        if (refused) {
            break; // the outcome of an earlier attempt counts
        }
        placement_choice choice = choosePlacement(request);
        if (!choice.nodeId && request.placement.isOnTrial) {
            returnTrial(m_context.rollouts, request.service);
            request.placement.isOnTrial = false;
            choice = choosePlacement(request);
        }
        if (!choice.nodeId) {
            break;
        }
        const shared_attempt first = makeAttempt(request, choice);
        request.placement.isOnTrial = false; // a hedge or a retry goes to a version that is known
        const shared_attempt attempt = co_await sendHedged(request, first, choice);
        recordAttemptEnd(request, *attempt);
        call_reply &reply = *attempt->reply;
        const bool isWorse = last.kind == reply_kind::Response && reply.kind != reply_kind::Response;
        if (!isWorse) {
            last = std::move(reply);
        }
        if (isFinal(last) || request.caller->isGone() || !mayRetry(request, last)) {
            break;
        }
    }
    whole_response response = finalResponse(request, last);
    logRequestEnd(request, response, request.caller->isGone() ? "caller-left" : replyName(last.kind));
    co_return response;
}

placement_choice outbound_handler::choosePlacement(request_context &request)
{
    const time_point now = steadyNow();
    refreshStaleWorkers(m_context, request.service, now);
    m_context.placement.linkLoad = m_context.linkMeter.load(m_context.options.linkBytesPerMs, now);
    request.placement.targetLeftMs = msBetween(now, request.targetAt);
    request.placement.timeLeftMs = msBetween(now, request.requestDeadline);
    return chooseWorker(m_context.placement, request.service, request.placement, now, m_context.generator);
}

outbound_handler::shared_attempt outbound_handler::makeAttempt(request_context &request,
                                                               const placement_choice &choice) const
{
    const time_point now = steadyNow();
    request.expectedRunMs = choice.expectedRunMs;
    const auto node = m_context.fleet.nodes.find(*choice.nodeId);
    const bool isOwn = *choice.nodeId == m_context.options.nodeId || node == m_context.fleet.nodes.end();
    recordSentRequest(m_context.placement, request.service, *choice.nodeId, request.placement.bytes);
    auto attempt = std::make_shared<request_attempt>();
    attempt->nodeId = *choice.nodeId;
    attempt->message = makeCallMessage(request, isOwn ? m_context.processId : node->second.record.process, now);
    attempt->message.typicalRunMs = std::llround(choice.typicalRunMs);
    const bool mayHandBack = request.handBacks < maxHandBacks && !peer_links::isLarge(request.received->body.size());
    if (choice.longestWaitMs && mayHandBack) {
        attempt->message.longestWaitMs = std::max<std::int64_t>(1, std::llround(*choice.longestWaitMs));
    }
    attempt->sentAt = now;
    attempt->requestDeadline = request.requestDeadline;
    return attempt;
}

void outbound_handler::recordAttemptEnd(request_context &request, const request_attempt &attempt)
{
    recordReply(request, attempt.nodeId, *attempt.reply);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun(attemptOutcome(*attempt.reply));
    const bool wasHandedBack = isHandedBack(*attempt.reply);
    if (wasHandedBack) {
        ++request.handBacks; // the node is not excluded: its report now shows the longer queue
    } else {
        request.placement.excluded.insert(attempt.nodeId);
    }
    const std::string_view outcome = wasHandedBack ? handedBackReason : replyName(attempt.reply->kind);
    request.attemptHistory += (request.attemptHistory.empty() ? "" : ",") + attempt.nodeId + ":" + std::string(outcome);
}

bool outbound_handler::mayRetry(request_context &request, const call_reply &reply)
{
    const time_point now = steadyNow();
    if (reply.kind == reply_kind::NotRun) {
        request.overloadRefusals += isOverloadRefusal(reply) ? 1 : 0;
        request.retryAfterMs =
            request.retryAfterMs == 0 ? reply.retryAfterMs : std::min(request.retryAfterMs, reply.retryAfterMs);
    } else {
        ++request.workersTried;
    }
    failed_attempt failed;
    failed.end = attemptOutcome(reply);
    failed.isRetryable = request.route->repeat == retry_policy::Retryable;
    failed.workersTried = request.workersTried;
    failed.maxWorkers = request.route->maxWorkers;
    failed.timeLeft = request.requestDeadline - now;
    failed.expectedRun = fromMs(request.expectedRunMs);
    if (!mayRetryElsewhere(failed)) {
        return false;
    }
    const bool isQuarantined = reply.reason == quarantinedReason || crashSuspicion(request) == suspicion::Quarantined;
    if (request.overloadRefusals >= maxOverloadRefusals || isQuarantined) {
        return false;
    }
    if (failed.end == attempt_outcome::NotRun) {
        return true; // no worker has received it, so the attempt does not use the retry budget
    }
    const bool isAllowed = tryAcquireServiceRetry(m_context.retryBudgets, request.service, retryLimits(m_context), now);
    m_context.metrics.count(isAllowed ? "resends_total" : "resends_denied_total");
    return isAllowed;
}

suspicion outbound_handler::crashSuspicion(const request_context &request) const
{
    const quarantine_state &quarantine = m_context.crashes.quarantine;
    if (quarantine.reports.empty()) {
        return suspicion::None;
    }
    return suspicionOf(quarantine,
                       crashFingerprint(*request.received, m_context.options.service),
                       crashClockMs(steadyNow()));
}

void outbound_handler::recordReply(const request_context &request, const std::string &nodeId, const call_reply &reply)
{
    const time_point now = steadyNow();
    if (reply.report != worker_report{}) {
        recordNodeResponse(m_context.fleet, nodeId, now);
        recordReport(m_context.placement, request.service, nodeId, reply.report, now);
    }
    if (reply.origin != request_origin::Unknown && reply.origin <= request_origin::Worker
        && (m_origins.size() < maxOriginRoutes || m_origins.contains(request.route->name))) {
        m_origins[request.route->name] = reply.origin;
    }
    const bool isOutOfRoom = reply.kind == reply_kind::NotRun && (isOverloadRefusal(reply) || isHandedBack(reply));
    if (isOutOfRoom || reply.kind == reply_kind::Response) {
        const auto waitedMs = isOutOfRoom ? std::nullopt : std::optional(static_cast<double>(reply.waitedMs));
        recordRoom(m_context.placement, request.service, nodeId, request.placement, waitedMs, now);
    }
    if (reply.kind == reply_kind::Response) {
        recordResponseSize(m_context.placement, request.route->name, reply.response.body.size());
    }
    if (reply.runMs > 0) {
        recordWorkerRunTime(m_context.placement, request.service, nodeId, request.route->name, reply.runMs, now);
    }
    if (reply.reason == "unreachable" || reply.reason == "worker-down" || reply.reason == "draining"
        || reply.reason == "link-lost" || reply.reason == "version-taken-back") {
        startBackoff(m_context.placement, request.service, nodeId, now);
    }
}

call_message
outbound_handler::makeCallMessage(const request_context &request, std::uint64_t expectedProcessId, time_point now) const
{
    call_message message;
    message.id = request.id;
    message.expectedProcessId = expectedProcessId;
    message.service = request.service;
    message.route = request.route->name;
    message.repeat = request.route->repeat;
    message.priority = request.placement.priority;
    message.targetLeftMs = millisBetween(now, request.targetAt);
    message.timeLeftMs = std::max<std::int64_t>(1, millisBetween(now, request.requestDeadline));
    message.repeatShare = request.workersTried > 0 ? 1.0 : request.causedShare;
    message.callerService = m_context.options.service;
    message.account = request.clientAccount != nullptr ? request.clientAccount->name : std::string();
    message.request = *request.received;
    if (request.keyTable->accounts.areKeysRequired) {
        eraseKeyHeaders(message.request.headers, m_context.options.headers);
    }
    return message;
}

} // namespace pistachioquay::internal
