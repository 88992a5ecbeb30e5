// The part of `outbound_handler` that ends a request: its response, refusal or failure, and the log line.
#include "process/mesh/outbound.h"

#include <algorithm>
#include <cstdio>

namespace pistachioquay::internal {

namespace {

constexpr std::int64_t noWorkerRetryMs = 300; // Retry-After while no worker of the service or no configuration is known

std::string retryAfterText(std::int64_t milliseconds)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(),
                  buffer.size(),
                  "%.3f",
                  static_cast<double>(std::max<std::int64_t>(milliseconds, 1)) / 1000.0);
    return buffer.data();
}

} // namespace

whole_response outbound_handler::finalResponse(const request_context &request, call_reply &reply)
{
    switch (reply.kind) {
    case reply_kind::Response:
        return std::move(reply.response);
    case reply_kind::NotRun:
    case reply_kind::RejectedByWorker: {
        if (request.mayHaveRun) {
            return makeFailure(request, 502, reply.reason);
        }
        if (reply.kind == reply_kind::RejectedByWorker) {
            std::uniform_real_distribution<double> draw(0, 1);
            const milliseconds wait = rejectionRetryAfter(request.expectedRunMs, draw(m_context.generator));
            return makeRefusal(request, reply.reason, wait.count());
        }
        const std::int64_t retryAfterMs = request.retryAfterMs > 0 ? request.retryAfterMs : reply.retryAfterMs;
        return makeRefusal(request, reply.reason, retryAfterMs > 0 ? retryAfterMs : noWorkerRetryMs);
    }
    case reply_kind::Unknown:
        return makeFailure(request, steadyNow() >= request.requestDeadline ? 504 : 502, reply.reason);
    }
    return makeFailure(request, 502, reply.reason);
}

whole_response
outbound_handler::makeRefusal(const request_context &request, std::string_view reason, std::int64_t retryAfterMs)
{
    whole_response response = textReply(503, "not run: " + std::string(reason) + "\n");
    response.headers.push_back({"Retry-After", retryAfterText(retryAfterMs)});
    if (!request.id.empty()) {
        response.headers.push_back({m_context.options.headers.requestId, request.id});
    }
    m_context.metrics.count("refused_total{reason=\"" + std::string(reason) + "\"}");
    return response;
}

whole_response outbound_handler::makeFailure(const request_context &request, unsigned status, std::string_view reason)
{
    whole_response response = textReply(status, std::string(reason) + "\n");
    if (!request.id.empty()) {
        response.headers.push_back({m_context.options.headers.requestId, request.id});
    }
    m_context.metrics.count("failed_total{reason=\"" + std::string(reason) + "\"}");
    return response;
}

void outbound_handler::logRequestEnd(const request_context &request,
                                     const whole_response &response,
                                     std::string_view outcome)
{
    const time_point now = steadyNow();
    m_context.metrics.count("responses_total{status=\"" + std::to_string(response.status) + "\"}");
    log_line line("outbound", "ended");
    line.add("id", request.id)
        .add("route", request.route != nullptr ? std::string_view(request.route->name) : std::string_view("-"))
        .add("service", request.service)
        .add("status", response.status)
        .add("outcome", outcome)
        .add("version", request.table ? request.table->version : 0)
        .add("took_ms", msBetween(request.arrivedAt, now))
        .add("from", request.received->sender);
    if (request.route != nullptr) {
        line.add("target_left_ms", millisBetween(request.arrivedAt, request.targetAt))
            .add("time_left_ms", millisBetween(request.arrivedAt, request.requestDeadline))
            .add("nodes", request.attemptHistory);
    } else {
        line.add("path", request.received->target)
            .add("host", findHeader(request.received->headers, "Host").value_or(""));
    }
    if (response.status >= 500) {
        line.add("reason", std::string_view(response.body).substr(0, response.body.find('\n')).substr(0, 60));
    }
    m_context.log(line);
}

} // namespace pistachioquay::internal
