// Inbound handler: requests of other nodes on the peer port, for this node's worker.
#include "request/proxy/shared_state.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds defaultTimeLeft{10000}; // without a readable X-Pq-Deadline-Ms

class inbound_request
{
public:
    inbound_request(shared_state &shared, const request_head &head, const caller_watch &watch)
        : m_shared(shared)
        , m_head(head)
        , m_watch(watch)
        , m_context(readContext(head.headers))
        , m_deadline(steadyNow() + m_context.timeLeft.value_or(defaultTimeLeft))
        , m_isBodyBuffered(isBodyBuffered(head))
    {
        ++m_shared.counts.inboundRequests;
        m_shared.inFlight.begin();
    }

    std::optional<http_response> onHead();
    bool onBody(std::string_view piece);
    http_response onEnd();
    void onDone(bool isComplete);

private:
    std::optional<http_response> checkRequest();
    std::optional<http_response> admitRequest();
    std::optional<http_response> startRun();
    std::optional<http_response> checkQuarantine();
    std::optional<http_response> claimKey();
    std::optional<http_response> acquireSlot();
    http_response claimRefusalResponse(key_outcome outcome);
    http_response withKeyOutcome(http_response response, key_outcome outcome);
    void endClaim();
    void releaseSlot();
    void openCall();
    http_response forwardResponse();
    http_response failureResponse();
    http_response withNodeHeaders(http_response response);

    shared_state &m_shared;
    request_head m_head;
    const caller_watch &m_watch;
    call_context m_context;
    time_point m_deadline;
    bool m_isBodyBuffered;
    std::uint64_t m_ticket = 0; // of the slot; 0: none
    bool m_hasResponse = false;
    std::optional<hash128> m_claim; // of a request with an Idempotency-Key, once the claim holds the key
    bool m_isClaimRunning = false; // `startRun` succeeded; `endRun` or `abandonUnsentRun` is due
    bool m_isCrashTracked = false; // registered with the crash guard
    std::string m_body;
    std::unique_ptr<http_call> m_call;
};

http_response inbound_request::withNodeHeaders(http_response response)
{
    const slot_load load = m_shared.slots.load();
    header_list &headers = response.head.headers;
    setHeader(headers, requestIdHeader, m_context.requestId);
    setHeader(headers, versionHeader, m_context.version);
    setHeader(headers, runningHeader, std::to_string(load.running));
    setHeader(headers, waitingHeader, std::to_string(load.waiting));
    return response;
}

std::optional<http_response> inbound_request::checkRequest()
{
    if (m_context.requestId.empty()) {
        return m_shared.refuse(400,
                               node_outcome::NotRun,
                               "no-request-id",
                               "the request carries no X-Pq-Request-Id",
                               "send requests of callers to the caller port");
    }
    if (m_context.service != m_shared.options.service) {
        return m_shared.refuse(503,
                               node_outcome::NotRun,
                               "other-service",
                               "this node serves \"" + m_shared.options.service + "\", not \"" + m_context.service
                                   + "\"",
                               "send the request to a node of the service");
    }
    if (m_shared.isDraining || !m_shared.sources.isAccepting()) {
        return m_shared.refuse(503,
                               node_outcome::NotRun,
                               m_shared.isDraining ? "draining" : "not-accepting",
                               "this node takes no new work",
                               "send the request to another node of the service");
    }
    return std::nullopt;
}

// Claims the idempotency key if there is one, then acquires a slot. Returns a response if the request must not run.
std::optional<http_response> inbound_request::admitRequest()
{
    if (auto refused = claimKey()) {
        return refused;
    }
    auto refused = acquireSlot();
    if (!refused) {
        refused = checkQuarantine();
    }
    if (refused && m_claim) {
        return withKeyOutcome(std::move(*refused), m_shared.sources.claims->abandonRun(*m_claim));
    }
    return refused ? std::move(refused) : startRun();
}

// Refuses a request that crashed two workers, and a suspect of a crash while another suspect runs on this worker.
std::optional<http_response> inbound_request::checkQuarantine()
{
    const auto key = findHeader(m_head.headers, idempotencyKeyHeader);
    const run_decision verdict =
        m_shared.crashes.tryBegin(m_context.requestId,
                                  fingerprintOf(m_head.method, m_head.target, key.value_or(""), m_body));
    m_isCrashTracked = verdict == run_decision::Run;
    if (m_isCrashTracked) {
        return std::nullopt;
    }
    releaseSlot();
    if (verdict == run_decision::RunElsewhere) {
        return m_shared.refuse(503,
                               node_outcome::NotRun,
                               std::string(besideSuspectReason),
                               "the request ran when a worker died, and another such request runs here",
                               "send the request to another node of the service, or later");
    }
    return m_shared.refuse(503,
                           node_outcome::NotRun,
                           std::string(quarantinedReason),
                           "the request crashed two workers and is refused for 10 minutes",
                           "correct the request, or the service before it is sent again");
}

std::optional<http_response> inbound_request::startRun()
{
    if (!m_claim) {
        return std::nullopt;
    }
    m_isClaimRunning = m_shared.sources.claims->startRun(*m_claim);
    if (!m_isClaimRunning) {
        releaseSlot();
        return claimRefusalResponse(m_shared.sources.claims->abandonRun(*m_claim));
    }
    return std::nullopt;
}

std::optional<http_response> inbound_request::claimKey()
{
    const auto key = findHeader(m_head.headers, idempotencyKeyHeader);
    if (!key || m_context.isIdempotent || !m_shared.sources.claims) {
        return std::nullopt;
    }
    const claim_decision claimed = m_shared.sources.claims->claim(keyOf(m_context.service, *key), m_deadline);
    if (claimed.kind == claim_action::Run) {
        m_claim = claimed.claim;
        return std::nullopt;
    }
    return claimRefusalResponse(claimed.outcome);
}

// Returns the response to a request that must not run because of its key. `outcome` covers all requests with the key.
http_response inbound_request::claimRefusalResponse(key_outcome outcome)
{
    switch (outcome) {
    case key_outcome::NotRun:
        return withKeyOutcome(m_shared.refuse(503,
                                              node_outcome::NotRun,
                                              "claim-late",
                                              "the claim of the Idempotency-Key came too late for the deadline",
                                              "send the request again with the same key"),
                              outcome);
    case key_outcome::Running:
        return m_shared.refuse(409,
                               node_outcome::Unknown,
                               "key-running",
                               "a request with this Idempotency-Key is running",
                               "send it again later with the same key; it will not run twice");
    case key_outcome::Ran:
        return m_shared.refuse(409,
                               node_outcome::Unknown,
                               "key-ran",
                               "a request with this Idempotency-Key has run; its response is not kept",
                               "look up the result at the service");
    case key_outcome::Unknown:
        break;
    }
    return m_shared.refuse(503,
                           node_outcome::Unknown,
                           "key-unknown",
                           "it is not known whether a request with this Idempotency-Key has run",
                           "send it again later with the same key; it will not run twice");
}

// Adds the key's outcome to the response to a request that was not run. Unless no request with the key has run, the
// response is replaced by one that reports that outcome.
http_response inbound_request::withKeyOutcome(http_response response, key_outcome outcome)
{
    if (outcome == key_outcome::NotRun) {
        setHeader(response.head.headers, keyOutcomeHeader, outcomeName(node_outcome::NotRun));
        return response;
    }
    return claimRefusalResponse(outcome);
}

// Ends the claim after the worker responded or was lost. The key never runs again.
void inbound_request::endClaim()
{
    if (std::exchange(m_isClaimRunning, false)) {
        m_shared.sources.claims->endRun(*m_claim);
    }
}

std::optional<http_response> inbound_request::acquireSlot()
{
    const std::shared_ptr<const compiled_config> config = m_shared.sources.config();
    const route *const matched = config ? findRoute(*config, m_head.method, m_head.target) : nullptr;
    admission_request request;
    request.workClass = m_context.workClass.value_or(work_class::Interactive);
    request.deadline = m_deadline;
    if (matched != nullptr && matched->service == m_shared.options.service) {
        request.limitName = matched->limitName;
        request.bound = {matched->bound.requestsPerSecond, matched->bound.concurrency};
    }
    const slot_grant grant = m_shared.slots.acquire(request, m_watch);
    m_ticket = grant.ticket;
    if (m_ticket != 0) {
        return std::nullopt;
    }
    if (grant.reason == refusal_reason::None) {
        return http_response{};
    }
    const bool isLimit = grant.reason == refusal_reason::RateLimit || grant.reason == refusal_reason::ConcurrencyLimit;
    return m_shared.refuse(isLimit ? 429 : 503,
                           node_outcome::NotRun,
                           std::string(refusalName(grant.reason)),
                           "the worker's node did not admit the request",
                           isLimit ? "send it later, or raise the limit of the route"
                                   : "send it to another node of the service, or later");
}

void inbound_request::releaseSlot()
{
    if (m_ticket != 0) {
        m_shared.slots.release(std::exchange(m_ticket, 0), m_hasResponse);
    }
}

void inbound_request::openCall()
{
    client_request request;
    request.target = m_shared.options.upstream;
    request.head.method = m_head.method;
    request.head.target = m_head.target;
    request.head.bodyLength = m_head.bodyLength;
    request.head.headers = forwardedHeaders(m_head.headers);
    request.deadline = m_deadline;
    call_context next = m_context;
    next.timeLeft = std::max(milliseconds(0), milliseconds(millisBetween(steadyNow(), m_deadline)));
    writeContext(next, request.head.headers);
    m_call = std::make_unique<http_call>(m_shared.pool, std::move(request), m_watch);
}

std::optional<http_response> inbound_request::onHead()
{
    if (auto refused = checkRequest()) {
        return withNodeHeaders(std::move(*refused));
    }
    if (m_isBodyBuffered) {
        return std::nullopt;
    }
    if (auto refused = admitRequest()) {
        return withNodeHeaders(std::move(*refused));
    }
    openCall();
    if (!m_call->awaitBodyWanted() && m_call->failure() != call_failure::None) {
        return failureResponse();
    }
    return std::nullopt;
}

bool inbound_request::onBody(std::string_view piece)
{
    if (!m_isBodyBuffered) {
        return m_call->send(piece);
    }
    m_body += piece;
    return true;
}

http_response inbound_request::onEnd()
{
    if (m_isBodyBuffered) {
        if (auto refused = admitRequest()) {
            return withNodeHeaders(std::move(*refused));
        }
        openCall();
    }
    m_call->provideLast(m_body);
    return forwardResponse();
}

http_response inbound_request::forwardResponse()
{
    const response_head *const head = m_call->awaitHead();
    if (head == nullptr || m_call->failure() != call_failure::None) {
        return failureResponse();
    }
    const auto workerRequestId = findHeader(head->headers, requestIdHeader);
    if (workerRequestId && *workerRequestId != m_context.requestId) {
        m_call.reset();
        return withNodeHeaders(m_shared.refuse(502,
                                               node_outcome::Unknown,
                                               "crossed-response",
                                               "the worker responded to another request",
                                               "check the worker; look up whether the request took effect"));
    }
    m_hasResponse = true;
    m_shared.crashes.complete(m_context.requestId);
    http_response response;
    response.head = {head->status, forwardedHeaders(head->headers), head->bodyLength};
    setBody(response, m_call->takeWhole(), [this](std::span<char> buffer) {
        const read_result got = m_call->read(buffer);
        if (got.state == read_state::Cut) {
            ++m_shared.counts.truncated;
        }
        if (got.state != read_state::Data) {
            releaseSlot();
        }
        return got;
    });
    response = withNodeHeaders(std::move(response));
    if (m_call->progress() == call_progress::Complete) {
        releaseSlot();
    }
    return response;
}

http_response inbound_request::failureResponse()
{
    const std::string detail(failureName(m_call->failure()));
    const bool isDeadline = m_call->failure() == call_failure::DeadlinePassed;
    const bool isUnsent = m_call->progress() == call_progress::NoConnection;
    const bool isConnectionLost = m_call->failure() != call_failure::Cancelled && !isDeadline && !isUnsent;
    const bool isCrash = isConnectionLost && m_shared.crashes.recordLostResponse(m_context.requestId);
    releaseSlot();
    if (m_call->failure() == call_failure::Cancelled) {
        return {};
    }
    if (isUnsent && std::exchange(m_isClaimRunning, false)) {
        const key_outcome outcome = m_shared.sources.claims->abandonUnsentRun(*m_claim);
        if (outcome != key_outcome::NotRun) {
            return withNodeHeaders(claimRefusalResponse(outcome));
        }
    }
    if (isUnsent) {
        return withNodeHeaders(m_shared.refuse(503,
                                               node_outcome::NotRun,
                                               "worker-down",
                                               "the worker was not reached: " + detail,
                                               "check that the worker runs"));
    }
    return withNodeHeaders(m_shared.refuse(isDeadline ? 504 : 502,
                                           node_outcome::Unknown,
                                           isDeadline ? "deadline" : (isCrash ? "worker-died" : "response-lost"),
                                           "the request was sent to the worker, but there is no response: " + detail,
                                           "look up whether the request took effect before sending it again"));
}

void inbound_request::onDone(bool isComplete)
{
    if (!isComplete && m_watch.isGone()) {
        ++m_shared.counts.cancelled;
    }
    m_call.reset();
    if (m_isCrashTracked) {
        m_shared.crashes.abandon(m_context.requestId);
    }
    endClaim();
    releaseSlot();
    m_shared.inFlight.end();
}

} // namespace

exchange inboundExchange(shared_state &shared, const request_head &head, const caller_watch &watch)
{
    return makeExchange<inbound_request>(shared, head, watch);
}

} // namespace pistachioquay::internal
