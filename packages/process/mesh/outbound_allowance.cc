// The part of `outbound_handler` that keeps client accounts within their allowances.
#include "process/mesh/outbound.h"

namespace pistachioquay::internal {

namespace {

constexpr std::int64_t undecidedRetryMs = 300; // Retry-After while no desk answers; a lost one is replaced in this time
constexpr double maxRetrySpread =
    0.5; // share added to Retry-After at random, so that denied callers do not come at once

} // namespace

awaitable<whole_response> outbound_handler::forwardWithinAllowance(request_context &request)
{
    if (request.clientAccount == nullptr) {
        co_return co_await forward(request);
    }
    const token_outcome token = co_await m_allowances.acquire(*request.clientAccount, *request.cancellation);
    if (token.result == token_result::Granted) {
        whole_response response = co_await forward(request);
        if (!request.mayHaveRun && request.workersTried == 0) {
            m_allowances.giveBack(token);
        }
        co_return response;
    }
    std::uniform_real_distribution<double> spread(1, 1 + maxRetrySpread);
    const bool isOver = token.result == token_result::Denied;
    const double retryAfterMs =
        static_cast<double>(isOver ? token.retryAfterMs : undecidedRetryMs) * spread(m_context.generator);
    whole_response refused = makeRefusal(request,
                                         isOver ? "over-allowance" : "allowance-undecided",
                                         static_cast<std::int64_t>(retryAfterMs));
    refused.status = isOver ? 429 : refused.status;
    logRequestEnd(request, refused, request.caller->isGone() ? "caller-left" : "refused");
    co_return refused;
}

} // namespace pistachioquay::internal
