// Caller port: requests of callers and of the own worker, sent to the node of a worker that the tree's routes name.
#include <algorithm>

#include "request/proxy/core.h"
#include "request/proxy/route_choice.h"

namespace pistachioquay::internal {

namespace {

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
    std::optional<http_response> runTries();
    bool openCall();
    void closeCall();
    try_end classify();
    bool isRetryAllowed(try_end last);
    http_response result(try_end last);
    http_response workerResponse();
    http_response failureResponse(try_end last);
    http_response noWorkerResponse(try_end last);
    http_response finished(http_response response);

    core &m_core;
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
    bool m_mayHaveRun = false;
    bool m_isBodyGone = false; // body bytes were passed on that cannot be sent again
    std::string m_detail; // how the last failed try ended
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
    ++m_core.counts.responses.at(std::min(response.head.status / 100, 5U));
    return response;
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
                             "no_configuration",
                             "this node has no configuration yet",
                             "send the request to another node, or publish a configuration");
    }
    if (!m_head.target.starts_with('/')) {
        return m_core.refuse(400,
                             node_outcome::NotRun,
                             "bad_target",
                             "the request target is not a path",
                             "send a target that starts with /");
    }
    if (m_arrived.depth >= deepestCall) {
        return m_core.refuse(508,
                             node_outcome::NotRun,
                             "too_deep",
                             "the call chain is more than 16 calls deep",
                             "check the services for a loop of calls");
    }
    return std::nullopt;
}

std::optional<http_response> outbound_request::checkRoute()
{
    const route_choice choice = chooseRoute(*m_config, m_head.method, pathOf(m_head.target));
    if (choice.matched == nullptr && choice.isMethodRefused) {
        http_response refused = m_core.refuse(405,
                                              node_outcome::NotRun,
                                              "method_not_allowed",
                                              "the route of this path does not accept " + m_head.method,
                                              "use one of: " + choice.allowedMethods);
        setHeader(refused.head.headers, "Allow", choice.allowedMethods);
        return refused;
    }
    if (choice.matched == nullptr) {
        return m_core.refuse(404,
                             node_outcome::NotRun,
                             "no_route",
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
    m_next.depth = m_arrived.depth + 1;
    m_next.service = m_route->service;
    m_next.version = std::to_string(m_config->version);
    m_deadline =
        now + std::min<milliseconds>(m_route->applied.deadline, m_arrived.timeLeft.value_or(milliseconds::max()));
    m_core.budgets.noteCall(m_route->service, now);
    return m_isHeld ? std::nullopt : runTries();
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
    m_call->provideLast({});
    return result(classify());
}

// Tries workers until there is a response to pass on, or, for a body that is not held, until a worker takes it (empty).
std::optional<http_response> outbound_request::runTries()
{
    try_end last = try_end::NoConnection;
    for (;;) {
        if (!openCall()) {
            return noWorkerResponse(last);
        }
        if (m_isHeld) {
            m_call->provideLast(m_body);
        } else if (m_call->awaitBodyWanted()) {
            return std::nullopt;
        }
        last = classify();
        if (!isRetryAllowed(last)) {
            return result(last);
        }
        closeCall();
        ++m_core.counts.retries;
    }
}

bool outbound_request::openCall()
{
    const std::shared_ptr<const worker_view> view = m_core.sources.workers();
    const auto chosen = view ? m_core.choice.choose(*view, m_route->service, m_tried) : std::nullopt;
    if (!chosen) {
        return false;
    }
    call_request request;
    request.target = chosen->peerAddress;
    request.head.method = m_head.method;
    request.head.target = m_head.target;
    request.head.bodyLength = m_head.bodyLength;
    // A body that cannot be sent again is sent only after the worker's node has admitted the request.
    request.head.expectsContinue = !m_isHeld;
    request.head.headers = forwardedHeaders(m_head.headers);
    request.deadline = m_deadline;
    m_next.attempt = m_arrived.attempt + static_cast<std::uint32_t>(m_tried.size());
    m_next.timeLeft = std::max(milliseconds(0), milliseconds(millisBetween(steadyNow(), m_deadline)));
    writeContext(m_next, request.head.headers);
    m_tried.push_back(chosen->nodeId);
    m_core.choice.begin(chosen->nodeId);
    m_call = std::make_unique<http_call>(m_core.pool, std::move(request), m_watch);
    return true;
}

void outbound_request::closeCall()
{
    if (m_call) {
        m_call.reset();
        m_response = nullptr;
        m_core.choice.end(m_tried.back());
    }
}

try_end outbound_request::classify()
{
    m_response = m_call->awaitHead();
    // A short response of an idempotent request is awaited whole, so that it can be requested again if it is cut.
    if (m_response != nullptr && m_next.isIdempotent && m_isHeld) {
        m_call->awaitSmallBody();
    }
    if (m_response != nullptr && m_call->failure() != call_failure::None) {
        ++m_core.counts.truncated;
        m_response = nullptr;
    }
    if (m_response == nullptr) {
        m_detail = failureName(m_call->failure());
        if (m_call->failure() == call_failure::Cancelled) {
            return try_end::CallerGone;
        }
        const bool isUnsent = m_call->progress() == call_progress::NoConnection;
        m_mayHaveRun = m_mayHaveRun || !isUnsent;
        return isUnsent ? try_end::NoConnection : try_end::Unknown;
    }
    if (findHeader(m_response->headers, requestIdHeader) != m_next.requestId) {
        m_detail = "the response belongs to another request";
        m_response = nullptr;
        m_mayHaveRun = true;
        return try_end::Unknown;
    }
    const auto outcome = findHeader(m_response->headers, outcomeHeader);
    if (outcome == outcomeName(node_outcome::NotRun)) {
        m_detail = "the worker's node did not run it";
        return try_end::NotRun;
    }
    m_mayHaveRun = true;
    if (outcome) {
        m_detail = "the worker's node does not know whether it ran";
        return try_end::Unknown;
    }
    return m_response->status == 503 ? try_end::WorkerBusy : try_end::Response;
}

bool outbound_request::isRetryAllowed(try_end last)
{
    retry_facts facts;
    facts.service = m_route->service;
    facts.isIdempotent = m_next.isIdempotent;
    facts.retries = m_route->applied.retries;
    facts.inheritedAttempts = m_arrived.attempt;
    facts.isBodyHeld = !m_isBodyGone;
    facts.deadline = m_deadline;
    const std::shared_ptr<const worker_view> view = m_core.sources.workers();
    if (!view || !m_core.choice.choose(*view, m_route->service, m_tried)) {
        return false;
    }
    const auto tries = static_cast<std::uint32_t>(m_tried.size());
    return mayRetry(facts, last, tries, m_core.budgets, steadyNow());
}

http_response outbound_request::result(try_end last)
{
    const bool isPassedOn = m_response != nullptr
        && (last == try_end::Response || last == try_end::WorkerBusy || last == try_end::Unknown
            || (last == try_end::NotRun && !m_mayHaveRun));
    return isPassedOn ? workerResponse() : failureResponse(last);
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

http_response outbound_request::failureResponse(try_end last)
{
    const bool isDeadline = m_call && m_call->failure() == call_failure::DeadlinePassed;
    closeCall();
    if (last == try_end::CallerGone) {
        return {};
    }
    const std::string kind = isDeadline ? "deadline" : "call_failed";
    if (!m_mayHaveRun) {
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

http_response outbound_request::noWorkerResponse(try_end last)
{
    if (!m_tried.empty()) {
        return failureResponse(last);
    }
    return finished(m_core.refuse(503,
                                  node_outcome::NotRun,
                                  "no_worker",
                                  "no worker of \"" + m_route->service + "\" is ready",
                                  "send the request again later, or start workers of the service"));
}

void outbound_request::onDone(bool isComplete)
{
    if (!isComplete && m_watch.isGone()) {
        ++m_core.counts.cancelled;
    }
    closeCall();
    m_core.inFlight.end();
}

} // namespace

exchange outboundExchange(core &shared, const request_head &head, const caller_watch &watch)
{
    const auto request = std::make_shared<outbound_request>(shared, head, watch);
    exchange steps;
    steps.onHead = [request] {
        return request->onHead();
    };
    steps.onBody = [request](std::string_view piece) {
        return request->onBody(piece);
    };
    steps.onEnd = [request] {
        return request->onEnd();
    };
    steps.onDone = [request](bool isComplete) {
        request->onDone(isComplete);
    };
    return steps;
}

} // namespace pistachioquay::internal
