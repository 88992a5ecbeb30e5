// Caller port: requests of callers and of the own worker, sent to the node of a worker that the tree's routes name.
#include <algorithm>

#include <poll.h>

#include "request/proxy/route_choice.h"
#include "request/proxy/shared_state.h"

namespace pistachioquay::internal {

namespace {

// Reasons of a node that refuses all work for some time.
bool isLasting(std::string_view reason)
{
    return reason == "draining" || reason == "worker-down" || reason == "not-accepting" || reason == "other-service";
}

// What a refusal says about the worker. A refusal because of the request itself says nothing: it must not make routing
// pass over healthy workers.
call_outcome endOfRefusal(std::string_view reason)
{
    if (reason == quarantinedReason || reason == besideSuspectReason) {
        return call_outcome::Cancelled;
    }
    return isLasting(reason) ? call_outcome::Draining : call_outcome::Refused;
}

std::optional<load_report> loadOf(const header_list &headers)
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
    outbound_request(core &shared, const request_head &head, const caller_watch &watch)
        : m_core(shared)
        , m_head(head)
        , m_watch(watch)
        , m_arrived(readContext(head.headers))
        , m_isHeld(isWhollyHeld(head))
    {
        ++m_core.counts.requests;
        m_core.inFlight.begin();
    }

    std::optional<http_response> onHead();
    bool onBody(std::string_view piece);
    http_response onEnd();
    void onDone(bool isComplete);

private:
    std::optional<http_response> checkRequest();
    std::optional<http_response> checkRoute();
    std::optional<http_response> checkReach(time_point now);
    std::optional<http_response> runTries();
    bool beginTry();
    void openCall();
    void closeCall();
    void classify();
    void classifyResponse();
    void noteEnd(attempt_progress progress, call_outcome end);
    bool isRetryAllowed();
    bool pauseFor(milliseconds delay);
    http_response result();
    http_response workerResponse();
    http_response failureResponse();
    http_response noWorkerResponse();
    http_response finished(http_response response);
    bool isKeyed() const;
    void observe(bool isComplete);

    core &m_core;
    const time_point m_arrivedAt = steadyNow();
    int m_status = 0; // of the response to the caller
    request_head m_head;
    const caller_watch &m_watch;
    call_context m_arrived;
    bool m_isHeld;
    std::shared_ptr<const compiled_config> m_config;
    const route *m_route = nullptr;
    call_context m_next; // what the next hop is told
    time_point m_deadline;
    std::string m_body;
    std::vector<std::string> m_tried; // node ids
    attempt_history m_history;
    bool m_isBodyGone = false; // body bytes were passed on that cannot be sent again
    bool m_isCallerGone = false;
    bool m_isQuarantined = false; // refused because it crashes workers: no worker runs it
    bool m_isKeyUnused = false; // a worker's node knows that no request with the key has run
    std::string m_detail; // how the last failed try ended
    call_choice m_choice; // worker of `m_call`
    call_result m_seen; // of `m_call`
    time_point m_sentAt; // when the whole request was handed over
    std::unique_ptr<http_call> m_call;
    const response_head *m_response = nullptr; // of `m_call`
};

http_response outbound_request::finished(http_response response)
{
    if (!m_next.requestId.empty()) {
        setHeader(response.head.headers, requestIdHeader, m_next.requestId);
    }
    if (m_config) {
        setHeader(response.head.headers, versionHeader, std::to_string(m_config->version));
    }
    // Without word from the claims an earlier request with the same key may have run, so `not-run` would mislead.
    if (isKeyed() && !m_isKeyUnused && findHeader(response.head.headers, outcomeHeader)) {
        setHeader(response.head.headers, outcomeHeader, outcomeName(node_outcome::Unknown));
    }
    ++m_core.counts.responses.at(std::min(response.head.status / 100, 5U));
    m_status = static_cast<int>(response.head.status);
    return response;
}

// A request whose repeats by the caller are recognised.
bool outbound_request::isKeyed() const
{
    return m_core.sources.claims && m_route != nullptr && !m_route->applied.isIdempotent
        && findHeader(m_head.headers, idempotencyKeyHeader);
}

std::optional<http_response> outbound_request::checkRequest()
{
    // While the node drains, the requests that still run on its own worker may need calls to end; these carry a depth.
    if (m_core.isDraining && (m_arrived.depth == 0 || m_core.slots.load().running == 0)) {
        return m_core.refuse(503,
                             node_outcome::NotRun,
                             "draining",
                             "this node shuts down",
                             "send the request to another node");
    }
    m_config = m_core.sources.config();
    if (!m_config) {
        return m_core.refuse(503,
                             node_outcome::NotRun,
                             "no-configuration",
                             "this node has no configuration yet",
                             "send the request to another node, or publish a configuration");
    }
    if (!m_head.target.starts_with('/')) {
        return m_core.refuse(400,
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
    if (choice.matched == nullptr && choice.isMethodRefused) {
        http_response refused = m_core.refuse(405,
                                              node_outcome::NotRun,
                                              "method-not-allowed",
                                              "the route of this path does not accept " + m_head.method,
                                              "use one of: " + choice.allowedMethods);
        setHeader(refused.head.headers, "Allow", choice.allowedMethods);
        return refused;
    }
    if (choice.matched == nullptr) {
        return m_core.refuse(404,
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
        return finished(std::move(*refused));
    }
    thread_local random_generator generator = seededFromDevice();
    m_next.requestId = toHex(randomId(generator));
    m_next.workClass = m_route->applied.workClass;
    m_next.isIdempotent = m_route->applied.isIdempotent;
    m_next.depth = m_arrived.depth < maxDepth ? m_arrived.depth + 1 : maxDepth + 1;
    m_next.service = m_route->service;
    m_next.version = std::to_string(m_config->version);
    m_deadline = deadlineAfter(now, m_arrived.timeLeft, m_route->applied.deadline);
    if (auto tooLate = checkReach(now)) {
        return finished(std::move(*tooLate));
    }
    m_core.dispatch.countRequest(m_route->service, now);
    return m_isHeld ? std::nullopt : runTries();
}

std::optional<http_response> outbound_request::checkReach(time_point now)
{
    switch (checkHop(m_deadline, m_next.depth, now)) {
    case hop_refusal::TooDeep:
        return m_core.refuse(508,
                             node_outcome::NotRun,
                             "too-deep",
                             "the call chain is more than " + std::to_string(maxDepth) + " calls deep",
                             "check the services for a loop of calls");
    case hop_refusal::TooLittleTime:
        return m_core.refuse(504,
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
    if (m_isHeld) {
        m_body += piece;
        return true;
    }
    m_isBodyGone = true;
    return m_call && m_call->send(piece);
}

http_response outbound_request::onEnd()
{
    if (m_isHeld) {
        return *runTries();
    }
    m_sentAt = steadyNow();
    m_call->provideLast({});
    classify();
    return result();
}

// Tries workers until there is a response to pass on, or, for a body that is not held, until a worker takes it (empty).
std::optional<http_response> outbound_request::runTries()
{
    while (beginTry()) {
        if (m_isHeld) {
            m_sentAt = steadyNow();
            m_call->provideLast(m_body);
        } else if (m_call->awaitBodyWanted()) {
            return std::nullopt;
        }
        classify();
        if (!isRetryAllowed()) {
            break;
        }
    }
    return m_call ? result() : noWorkerResponse();
}

// Closes the last call and opens one to another worker; false, with the last call kept, if there is none.
bool outbound_request::beginTry()
{
    const pistachioquay::call_request needed{m_route->applied.workClass, m_tried};
    call_choice next = m_core.dispatch.begin(m_core.sources.workers(), m_route->service, needed, steadyNow());
    if (!next.target) {
        return false;
    }
    if (m_call) {
        ++m_core.counts.retries;
    }
    closeCall();
    m_choice = std::move(next);
    m_seen = {call_outcome::Cancelled, {}, std::nullopt};
    m_tried.push_back(m_choice.target->nodeId);
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
    // A body that cannot be sent again is sent only after the worker's node has admitted the request.
    request.head.expectsContinue = !m_isHeld;
    request.head.headers = forwardedHeaders(m_head.headers);
    request.deadline = m_deadline;
    m_next.attempt = m_arrived.attempt + m_history.budgetedRetries;
    m_next.timeLeft = milliseconds(timeForNextHop(m_deadline, steadyNow()));
    writeContext(m_next, request.head.headers);
    m_call = std::make_unique<http_call>(m_core.pool, std::move(request), m_watch);
}

void outbound_request::closeCall()
{
    if (m_call) {
        m_call.reset();
        m_response = nullptr;
        m_core.dispatch.end(m_route->service, m_choice, m_seen, steadyNow());
    }
}

void outbound_request::noteEnd(attempt_progress progress, call_outcome end)
{
    recordAttempt(m_history, progress);
    m_seen.end = end;
}

// Sets what became of the call: `m_response`, `m_history` and `m_seen`.
void outbound_request::classify()
{
    m_response = m_call->awaitHead();
    m_seen.latency = steadyNow() - m_sentAt;
    // A short response of an idempotent request is awaited whole, so that it can be requested again if it is cut.
    if (m_response != nullptr && m_next.isIdempotent && m_isHeld) {
        m_call->awaitSmallBody();
    }
    if (m_response != nullptr && m_call->failure() != call_failure::None) {
        ++m_core.counts.truncated;
        m_response = nullptr;
    }
    if (m_response != nullptr) {
        classifyResponse();
        return;
    }
    m_detail = failureName(m_call->failure());
    m_isCallerGone = m_call->failure() == call_failure::Cancelled;
    const call_outcome broken = m_isCallerGone ? call_outcome::Cancelled : call_outcome::NoValidResponse;
    switch (m_call->progress()) {
    case call_progress::NoConnection:
        noteEnd(attempt_progress::NoConnection, m_isCallerGone ? call_outcome::Cancelled : call_outcome::NoConnection);
        break;
    case call_progress::SentNoResponse:
        noteEnd(attempt_progress::SentNoResponse, broken);
        break;
    default:
        noteEnd(attempt_progress::PartialResponse, broken);
        break;
    }
}

void outbound_request::classifyResponse()
{
    const header_list &headers = m_response->headers;
    m_seen.load = loadOf(headers);
    const auto outcome = findHeader(headers, outcomeHeader);
    m_isKeyUnused = m_isKeyUnused || findHeader(headers, keyOutcomeHeader) == outcomeName(node_outcome::NotRun);
    if (findHeader(headers, requestIdHeader) != m_next.requestId) {
        m_detail = "the response belongs to another request";
        m_response = nullptr;
        noteEnd(attempt_progress::Unknown, call_outcome::NoValidResponse);
    } else if (outcome == outcomeName(node_outcome::NotRun)) {
        const std::string_view reason = findHeader(headers, reasonHeader).value_or("");
        m_detail = "the worker's node did not run it: " + std::string(reason);
        m_isQuarantined = reason == quarantinedReason;
        noteEnd(attempt_progress::NotRun, endOfRefusal(reason));
    } else if (outcome) {
        m_detail = "the worker's node does not know whether it ran";
        noteEnd(attempt_progress::Unknown, call_outcome::NoValidResponse);
    } else if (m_response->status == 503) {
        noteEnd(attempt_progress::WorkerUnavailable, call_outcome::Failed);
    } else {
        noteEnd(attempt_progress::WorkerResponse,
                m_response->status >= 500 ? call_outcome::Failed : call_outcome::Completed);
    }
}

bool outbound_request::isRetryAllowed()
{
    if (m_isCallerGone || m_isQuarantined) {
        return false;
    }
    retry_context facts;
    facts.isIdempotent = m_next.isIdempotent;
    facts.retries = m_route->applied.retries;
    facts.inheritedAttempts = m_arrived.attempt;
    facts.isBodyReplayable = !m_isBodyGone;
    facts.deadline = m_deadline;
    const retry_decision decision = m_core.dispatch.decide(m_route->service, facts, m_history, steadyNow());
    return decision.verdict == retry_verdict::Retry && pauseFor(decision.delay);
}

// Waits before another try; false if the caller is gone.
bool outbound_request::pauseFor(milliseconds delay)
{
    pollfd watched{m_watch.fd(), POLLIN, 0};
    m_isCallerGone = ::poll(&watched, 1, static_cast<int>(delay.count())) > 0;
    return !m_isCallerGone;
}

http_response outbound_request::result()
{
    const bool isRefusalOnly = m_history.last == attempt_progress::NotRun && m_history.mayHaveRun;
    return m_response != nullptr && !isRefusalOnly ? workerResponse() : failureResponse();
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
            ++m_core.counts.truncated;
        }
        return got;
    });
    return finished(std::move(response));
}

http_response outbound_request::failureResponse()
{
    const bool isDeadline = m_call && m_call->failure() == call_failure::DeadlinePassed;
    closeCall();
    if (m_isCallerGone) {
        return {};
    }
    const std::string kind = isDeadline ? "deadline" : "call-failed";
    if (!m_history.mayHaveRun) {
        return finished(m_core.refuse(503,
                                      node_outcome::NotRun,
                                      kind,
                                      "no worker of \"" + m_route->service + "\" took the request: " + m_detail,
                                      "send the request again"));
    }
    return finished(m_core.refuse(isDeadline ? 504 : 502,
                                  node_outcome::Unknown,
                                  kind,
                                  "the request was sent to \"" + m_route->service + "\" and may have run: " + m_detail,
                                  "look up whether it took effect before sending it again"));
}

http_response outbound_request::noWorkerResponse()
{
    return finished(m_core.refuse(503,
                                  node_outcome::NotRun,
                                  "no-worker",
                                  "no worker of \"" + m_route->service + "\" is ready",
                                  "send the request again later, or start workers of the service"));
}

// Reports a finished request for the service's objectives. A response that was cut on the way counts as failed; a
// request whose caller has left says nothing about the service.
void outbound_request::observe(bool isComplete)
{
    constexpr int badGateway = 502;
    const bool hasLeft = m_isCallerGone || (!isComplete && m_watch.isGone());
    if (m_route == nullptr || hasLeft || !m_core.sources.observe) {
        return;
    }
    m_core.sources.observe({.service = m_route->service,
                            .workClass = m_route->applied.workClass,
                            .status = isComplete ? m_status : badGateway,
                            .latency = steadyNow() - m_arrivedAt});
}

void outbound_request::onDone(bool isComplete)
{
    observe(isComplete);
    if (!isComplete && m_watch.isGone()) {
        ++m_core.counts.cancelled;
    }
    closeCall();
    m_core.inFlight.end();
}

} // namespace

exchange outboundExchange(core &shared, const request_head &head, const caller_watch &watch)
{
    return makeExchange<outbound_request>(shared, head, watch);
}

} // namespace pistachioquay::internal
