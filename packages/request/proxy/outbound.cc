// Outbound handler: requests of callers and of this node's worker on the caller port, forwarded to the node of a worker
// of the service that the matching route names.
#include <algorithm>

#include <poll.h>

#include "request/proxy/route_choice.h"
#include "request/proxy/shared_state.h"

namespace pistachioquay::internal {

namespace {

// Whether the reason means that the node refuses all requests for some time.
bool refusesAllRequests(std::string_view reason)
{
    return reason == "draining" || reason == "worker-down" || reason == "not-accepting" || reason == "other-service";
}

// Returns the call outcome that routing records for a refusal. A refusal caused by the request itself counts as
// Cancelled, so that routing does not avoid healthy workers because of it.
call_outcome outcomeOfRefusal(std::string_view reason)
{
    if (reason == quarantinedReason || reason == besideSuspectReason) {
        return call_outcome::Cancelled;
    }
    return refusesAllRequests(reason) ? call_outcome::Draining : call_outcome::Refused;
}

std::optional<load_report> readLoad(const header_list &headers)
{
    const auto running = parseCount(findHeader(headers, runningHeader).value_or(""));
    const auto waiting = parseCount(findHeader(headers, waitingHeader).value_or(""));
    if (!running || !waiting) {
        return std::nullopt;
    }
    return load_report{static_cast<std::uint32_t>(*running), static_cast<std::uint32_t>(*waiting)};
}

class outbound_request
{
public:
    outbound_request(shared_state &shared, const request_head &head, const caller_watch &watch)
        : m_shared(shared)
        , m_head(head)
        , m_watch(watch)
        , m_received(readContext(head.headers))
        , m_isBodyBuffered(isBodyBuffered(head))
    {
        ++m_shared.counts.requests;
        m_shared.inFlight.begin();
    }

    std::optional<http_response> onHead();
    bool onBody(std::string_view piece);
    http_response onEnd();
    void onDone(bool isComplete);

private:
    std::optional<http_response> checkRequest();
    std::optional<http_response> checkRoute();
    std::optional<http_response> checkHopLimits(time_point now);
    std::optional<http_response> runAttempts();
    bool beginAttempt();
    void openCall();
    void closeCall();
    void classifyAttempt();
    void classifyResponse();
    void recordAttemptEnd(attempt_progress progress, call_outcome outcome);
    bool isRetryAllowed();
    bool waitBeforeRetry(milliseconds delay);
    http_response buildResponse();
    http_response workerResponse();
    http_response failureResponse();
    http_response noWorkerResponse();
    http_response finalizeResponse(http_response response);
    bool isKeyed() const;
    void reportSample(bool isComplete);

    shared_state &m_shared;
    const time_point m_receivedAt = steadyNow();
    int m_status = 0; // of the response to the caller
    request_head m_head;
    const caller_watch &m_watch;
    call_context m_received; // as the request arrived
    bool m_isBodyBuffered;
    std::shared_ptr<const compiled_config> m_config;
    const route *m_route = nullptr;
    call_context m_outgoing; // for the next hop
    time_point m_deadline;
    std::string m_body;
    std::vector<std::string> m_attemptedNodes; // node ids of all attempts
    attempt_history m_history;
    bool m_isBodyConsumed = false; // streamed body bytes were forwarded: no retry is possible
    bool m_isCallerDisconnected = false;
    bool m_isQuarantined = false; // the request crashed two workers: no worker runs it
    bool m_isKeyUnused = false; // a worker's node reported that no request with the key has run
    std::string m_failureDetail; // why the last attempt failed
    call_choice m_choice; // worker that `m_call` goes to
    call_result m_callResult; // of `m_call`, for routing
    time_point m_sentAt; // when the last body bytes were handed to `m_call`
    std::unique_ptr<http_call> m_call;
    const response_head *m_response = nullptr; // of `m_call`
};

http_response outbound_request::finalizeResponse(http_response response)
{
    if (!m_outgoing.requestId.empty()) {
        setHeader(response.head.headers, requestIdHeader, m_outgoing.requestId);
    }
    if (m_config) {
        setHeader(response.head.headers, versionHeader, std::to_string(m_config->version));
    }
    // Unless the claims exclude it, an earlier request with the same key may have run: `not-run` would be wrong for the
    // key.
    if (isKeyed() && !m_isKeyUnused && findHeader(response.head.headers, outcomeHeader)) {
        setHeader(response.head.headers, outcomeHeader, outcomeName(node_outcome::Unknown));
    }
    ++m_shared.counts.responses.at(std::min(response.head.status / 100, 5U));
    m_status = static_cast<int>(response.head.status);
    return response;
}

// Whether the request has an idempotency key that is claimed, so that retries by the caller do not run it twice.
bool outbound_request::isKeyed() const
{
    return m_shared.sources.claims && m_route != nullptr && !m_route->applied.isIdempotent
        && findHeader(m_head.headers, idempotencyKeyHeader);
}

std::optional<http_response> outbound_request::checkRequest()
{
    // While the node drains, the requests that still run on its worker may make calls. These carry a depth.
    if (m_shared.isDraining && (m_received.depth == 0 || m_shared.slots.load().running == 0)) {
        return m_shared.refuse(503,
                               node_outcome::NotRun,
                               "draining",
                               "this node shuts down",
                               "send the request to another node");
    }
    m_config = m_shared.sources.config();
    if (!m_config) {
        return m_shared.refuse(503,
                               node_outcome::NotRun,
                               "no-configuration",
                               "this node has no configuration yet",
                               "send the request to another node, or publish a configuration");
    }
    if (!m_head.target.starts_with('/')) {
        return m_shared.refuse(400,
                               node_outcome::NotRun,
                               "bad-target",
                               "the request target is not a path",
                               "send a target that starts with /");
    }
    return std::nullopt;
}

std::optional<http_response> outbound_request::checkRoute()
{
    const route_choice choice = chooseRoute(*m_config, m_head.method, pathOf(m_head.target));
    if (choice.matched == nullptr && choice.isMethodNotAllowed) {
        http_response refused = m_shared.refuse(405,
                                                node_outcome::NotRun,
                                                "method-not-allowed",
                                                "the route of this path does not accept " + m_head.method,
                                                "use one of: " + choice.allowedMethods);
        setHeader(refused.head.headers, "Allow", choice.allowedMethods);
        return refused;
    }
    if (choice.matched == nullptr) {
        return m_shared.refuse(404,
                               node_outcome::NotRun,
                               "no-route",
                               "no route matches this path",
                               "check the path, or publish a route for it");
    }
    m_route = choice.matched;
    return std::nullopt;
}

std::optional<http_response> outbound_request::onHead()
{
    const time_point now = steadyNow();
    auto refused = checkRequest();
    refused = refused ? std::move(refused) : checkRoute();
    if (refused) {
        return finalizeResponse(std::move(*refused));
    }
    thread_local random_generator generator = seededFromDevice();
    m_outgoing.requestId = toHex(randomId(generator));
    m_outgoing.workClass = m_route->applied.workClass;
    m_outgoing.isIdempotent = m_route->applied.isIdempotent;
    m_outgoing.depth = m_received.depth < maxDepth ? m_received.depth + 1 : maxDepth + 1;
    m_outgoing.service = m_route->service;
    m_outgoing.version = std::to_string(m_config->version);
    m_deadline = deadlineAfter(now, m_received.timeLeft, m_route->applied.deadline);
    if (auto refused = checkHopLimits(now)) {
        return finalizeResponse(std::move(*refused));
    }
    m_shared.dispatch.countRequest(m_route->service, now);
    return m_isBodyBuffered ? std::nullopt : runAttempts();
}

std::optional<http_response> outbound_request::checkHopLimits(time_point now)
{
    switch (checkHop(m_deadline, m_outgoing.depth, now)) {
    case hop_refusal::TooDeep:
        return m_shared.refuse(508,
                               node_outcome::NotRun,
                               "too-deep",
                               "the call chain is more than " + std::to_string(maxDepth) + " calls deep",
                               "check the services for a loop of calls");
    case hop_refusal::TooLittleTime:
        return m_shared.refuse(504,
                               node_outcome::NotRun,
                               "deadline",
                               "too little time is left for the request",
                               "raise X-Pq-Deadline-Ms, or deadline_ms in the policy");
    case hop_refusal::None:
        break;
    }
    return std::nullopt;
}

bool outbound_request::onBody(std::string_view piece)
{
    if (m_isBodyBuffered) {
        m_body += piece;
        return true;
    }
    m_isBodyConsumed = true;
    return m_call && m_call->send(piece);
}

http_response outbound_request::onEnd()
{
    if (m_isBodyBuffered) {
        return *runAttempts();
    }
    m_sentAt = steadyNow();
    m_call->provideLast({});
    classifyAttempt();
    return buildResponse();
}

// Attempts the request on one worker after another until there is a response to the caller. Returns nothing if the body
// is streamed and a worker's node is ready to receive it.
std::optional<http_response> outbound_request::runAttempts()
{
    while (beginAttempt()) {
        if (m_isBodyBuffered) {
            m_sentAt = steadyNow();
            m_call->provideLast(m_body);
        } else if (m_call->awaitBodyWanted()) {
            return std::nullopt;
        }
        classifyAttempt();
        if (!isRetryAllowed()) {
            break;
        }
    }
    return m_call ? buildResponse() : noWorkerResponse();
}

// Closes the previous call and opens one to another worker. Returns false, and keeps the previous call, if there is
// none.
bool outbound_request::beginAttempt()
{
    const pistachioquay::call_request callRequest{m_route->applied.workClass, m_attemptedNodes};
    call_choice next = m_shared.dispatch.begin(m_shared.sources.workers(), m_route->service, callRequest, steadyNow());
    if (!next.target) {
        return false;
    }
    if (m_call) {
        ++m_shared.counts.retries;
    }
    closeCall();
    m_choice = std::move(next);
    m_callResult = {call_outcome::Cancelled, {}, std::nullopt};
    m_attemptedNodes.push_back(m_choice.target->nodeId);
    openCall();
    return true;
}

void outbound_request::openCall()
{
    client_request request;
    request.target = m_choice.target->peerAddress;
    request.head.method = m_head.method;
    request.head.target = m_head.target;
    request.head.bodyLength = m_head.bodyLength;
    // A streamed body cannot be sent again, so it is sent only after the worker's node has admitted the request.
    request.head.expectsContinue = !m_isBodyBuffered;
    request.head.headers = forwardedHeaders(m_head.headers);
    request.deadline = m_deadline;
    m_outgoing.attempt = m_received.attempt + m_history.budgetedRetries;
    m_outgoing.timeLeft = milliseconds(timeForNextHop(m_deadline, steadyNow()));
    writeContext(m_outgoing, request.head.headers);
    m_call = std::make_unique<http_call>(m_shared.pool, std::move(request), m_watch);
}

void outbound_request::closeCall()
{
    if (m_call) {
        m_call.reset();
        m_response = nullptr;
        m_shared.dispatch.end(m_route->service, m_choice, m_callResult, steadyNow());
    }
}

void outbound_request::recordAttemptEnd(attempt_progress progress, call_outcome outcome)
{
    recordAttempt(m_history, progress);
    m_callResult.end = outcome;
}

// Waits for the response head and records how the attempt ended in `m_response`, `m_history` and `m_callResult`.
void outbound_request::classifyAttempt()
{
    m_response = m_call->awaitHead();
    m_callResult.latency = steadyNow() - m_sentAt;
    // Waits for the whole of a short response to an idempotent request, so that the request can be retried if the
    // response is truncated.
    if (m_response != nullptr && m_outgoing.isIdempotent && m_isBodyBuffered) {
        m_call->awaitSmallBody();
    }
    if (m_response != nullptr && m_call->failure() != call_failure::None) {
        ++m_shared.counts.truncated;
        m_response = nullptr;
    }
    if (m_response != nullptr) {
        classifyResponse();
        return;
    }
    m_failureDetail = failureName(m_call->failure());
    m_isCallerDisconnected = m_call->failure() == call_failure::Cancelled;
    const call_outcome failedOutcome = m_isCallerDisconnected ? call_outcome::Cancelled : call_outcome::NoValidResponse;
    switch (m_call->progress()) {
    case call_progress::NoConnection:
        recordAttemptEnd(attempt_progress::NoConnection,
                         m_isCallerDisconnected ? call_outcome::Cancelled : call_outcome::NoConnection);
        break;
    case call_progress::SentNoResponse:
        recordAttemptEnd(attempt_progress::SentNoResponse, failedOutcome);
        break;
    default:
        recordAttemptEnd(attempt_progress::PartialResponse, failedOutcome);
        break;
    }
}

void outbound_request::classifyResponse()
{
    const header_list &headers = m_response->headers;
    m_callResult.load = readLoad(headers);
    const auto outcome = findHeader(headers, outcomeHeader);
    m_isKeyUnused = m_isKeyUnused || findHeader(headers, keyOutcomeHeader) == outcomeName(node_outcome::NotRun);
    if (findHeader(headers, requestIdHeader) != m_outgoing.requestId) {
        m_failureDetail = "the response belongs to another request";
        m_response = nullptr;
        recordAttemptEnd(attempt_progress::Unknown, call_outcome::NoValidResponse);
    } else if (outcome == outcomeName(node_outcome::NotRun)) {
        const std::string_view reason = findHeader(headers, reasonHeader).value_or("");
        m_failureDetail = "the worker's node did not run it: " + std::string(reason);
        m_isQuarantined = reason == quarantinedReason;
        recordAttemptEnd(attempt_progress::NotRun, outcomeOfRefusal(reason));
    } else if (outcome) {
        m_failureDetail = "the worker's node does not know whether it ran";
        recordAttemptEnd(attempt_progress::Unknown, call_outcome::NoValidResponse);
    } else if (m_response->status == 503) {
        recordAttemptEnd(attempt_progress::WorkerUnavailable, call_outcome::Failed);
    } else {
        recordAttemptEnd(attempt_progress::WorkerResponse,
                         m_response->status >= 500 ? call_outcome::Failed : call_outcome::Completed);
    }
}

bool outbound_request::isRetryAllowed()
{
    if (m_isCallerDisconnected || m_isQuarantined) {
        return false;
    }
    retry_context context;
    context.isIdempotent = m_outgoing.isIdempotent;
    context.retries = m_route->applied.retries;
    context.inheritedAttempts = m_received.attempt;
    context.isBodyReplayable = !m_isBodyConsumed;
    context.deadline = m_deadline;
    const retry_decision decision = m_shared.dispatch.decide(m_route->service, context, m_history, steadyNow());
    return decision.verdict == retry_verdict::Retry && waitBeforeRetry(decision.delay);
}

// Waits for the retry delay. Returns false if the caller disconnects in that time.
bool outbound_request::waitBeforeRetry(milliseconds delay)
{
    pollfd watched{m_watch.fd(), POLLIN, 0};
    m_isCallerDisconnected = ::poll(&watched, 1, static_cast<int>(delay.count())) > 0;
    return !m_isCallerDisconnected;
}

http_response outbound_request::buildResponse()
{
    // If an earlier attempt may have run, the last attempt's `not-run` must not reach the caller.
    const bool isNotRunForLastAttemptOnly = m_history.last == attempt_progress::NotRun && m_history.mayHaveRun;
    return m_response != nullptr && !isNotRunForLastAttemptOnly ? workerResponse() : failureResponse();
}

http_response outbound_request::workerResponse()
{
    http_response response;
    response.head = {m_response->status, forwardedHeaders(m_response->headers), m_response->bodyLength};
    if (const auto outcome = findHeader(m_response->headers, outcomeHeader)) {
        setHeader(response.head.headers, outcomeHeader, *outcome);
    }
    setBody(response, m_call->takeWhole(), [this](std::span<char> buffer) {
        const read_result got = m_call->read(buffer);
        if (got.state == read_state::Cut) {
            ++m_shared.counts.truncated;
        }
        return got;
    });
    return finalizeResponse(std::move(response));
}

http_response outbound_request::failureResponse()
{
    const bool isDeadline = m_call && m_call->failure() == call_failure::DeadlinePassed;
    closeCall();
    if (m_isCallerDisconnected) {
        return {};
    }
    const std::string kind = isDeadline ? "deadline" : "call-failed";
    if (!m_history.mayHaveRun) {
        return finalizeResponse(
            m_shared.refuse(503,
                            node_outcome::NotRun,
                            kind,
                            "no worker of \"" + m_route->service + "\" took the request: " + m_failureDetail,
                            "send the request again"));
    }
    return finalizeResponse(
        m_shared.refuse(isDeadline ? 504 : 502,
                        node_outcome::Unknown,
                        kind,
                        "the request was sent to \"" + m_route->service + "\" and may have run: " + m_failureDetail,
                        "look up whether it took effect before sending it again"));
}

http_response outbound_request::noWorkerResponse()
{
    return finalizeResponse(m_shared.refuse(503,
                                            node_outcome::NotRun,
                                            "no-worker",
                                            "no worker of \"" + m_route->service + "\" is ready",
                                            "send the request again later, or start workers of the service"));
}

// Reports a finished request for the objectives of its service. A truncated response counts as failed. A request whose
// caller disconnected is not reported, since its outcome says nothing about the service.
void outbound_request::reportSample(bool isComplete)
{
    constexpr int badGateway = 502;
    const bool isCallerDisconnected = m_isCallerDisconnected || (!isComplete && m_watch.isGone());
    if (m_route == nullptr || isCallerDisconnected || !m_shared.sources.observe) {
        return;
    }
    m_shared.sources.observe({.service = m_route->service,
                              .workClass = m_route->applied.workClass,
                              .status = isComplete ? m_status : badGateway,
                              .latency = steadyNow() - m_receivedAt});
}

void outbound_request::onDone(bool isComplete)
{
    reportSample(isComplete);
    if (!isComplete && m_watch.isGone()) {
        ++m_shared.counts.cancelled;
    }
    closeCall();
    m_shared.inFlight.end();
}

} // namespace

exchange outboundExchange(shared_state &shared, const request_head &head, const caller_watch &watch)
{
    return makeExchange<outbound_request>(shared, head, watch);
}

} // namespace pistachioquay::internal
