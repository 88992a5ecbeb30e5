#include "request/proxy/node_headers.h"

#include <limits>
#include <memory>

#include <jansson.h>

namespace pistachioquay::internal {

namespace {

constexpr std::string_view nodeHeaderPrefix = "X-Pq-";
constexpr std::uint64_t maxTimeLeftMs = 3600UL * 1000;

std::string headerText(const header_list &headers, std::string_view name)
{
    return std::string(findHeader(headers, name).value_or(""));
}

std::uint32_t headerCount(const header_list &headers, std::string_view name)
{
    constexpr std::uint32_t maxCount = std::numeric_limits<std::uint32_t>::max();
    const auto text = findHeader(headers, name);
    if (!text) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(parseCount(*text).value_or(maxCount), maxCount));
}

} // namespace

std::string_view outcomeName(node_outcome outcome)
{
    return outcome == node_outcome::NotRun ? "not-run" : "unknown";
}

call_context readContext(const header_list &headers)
{
    call_context context;
    context.requestId = headerText(headers, requestIdHeader);
    if (const auto left = parseCount(headerText(headers, deadlineHeader))) {
        context.timeLeft = milliseconds(std::min(*left, maxTimeLeftMs));
    }
    context.workClass = classFromName(headerText(headers, classHeader));
    context.isIdempotent = headerText(headers, idempotentHeader) == "true";
    context.attempt = headerCount(headers, attemptCountHeader);
    context.depth = headerCount(headers, depthHeader);
    context.service = headerText(headers, serviceHeader);
    context.version = headerText(headers, versionHeader);
    return context;
}

void writeContext(const call_context &context, header_list &headers)
{
    const auto add = [&](std::string_view name, std::string value) {
        headers.push_back({std::string(name), std::move(value)});
    };
    add(requestIdHeader, context.requestId);
    add(deadlineHeader, std::to_string(context.timeLeft.value_or(milliseconds(0)).count()));
    add(classHeader, std::string(className(context.workClass.value_or(work_class::Interactive))));
    add(idempotentHeader, context.isIdempotent ? "true" : "false");
    add(attemptCountHeader, std::to_string(context.attempt));
    add(depthHeader, std::to_string(context.depth));
    add(serviceHeader, context.service);
    add(versionHeader, context.version);
}

header_list forwardedHeaders(const header_list &headers)
{
    header_list kept = endToEndHeaders(headers);
    std::erase_if(kept, [](const header_field &field) {
        return isSameHeaderName(std::string_view(field.name).substr(0, nodeHeaderPrefix.size()), nodeHeaderPrefix);
    });
    return kept;
}

bool isBodyBuffered(const request_head &head)
{
    return head.bodyLength && *head.bodyLength <= maxBufferedBodyBytes;
}

http_response nodeError(
    unsigned status, node_outcome outcome, std::string_view kind, std::string_view message, std::string_view remedy)
{
    json_t *const body = json_object();
    json_object_set_new(body, "error", json_stringn(kind.data(), kind.size()));
    json_object_set_new(body, "message", json_stringn(message.data(), message.size()));
    json_object_set_new(body, "remedy", json_stringn(remedy.data(), remedy.size()));
    const std::unique_ptr<char, decltype(&::free)> text(json_dumps(body, JSON_COMPACT), &::free);
    json_decref(body);
    http_response response = textResponse(status, "application/json", text ? text.get() : "{}");
    setHeader(response.head.headers, outcomeHeader, outcomeName(outcome));
    setHeader(response.head.headers, reasonHeader, kind);
    return response;
}

} // namespace pistachioquay::internal
