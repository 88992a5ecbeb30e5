#include "request/resend/resend.h"

#include <algorithm>
#include <numeric>

namespace pistachioquay {

namespace {

// Steps may lie before the zero of the clock.
std::size_t slotOf(std::int64_t step)
{
    constexpr auto count = static_cast<std::int64_t>(budgetSteps);
    return static_cast<std::size_t>((step % count + count) % count);
}

resend_counts &currentStep(resend_window &window, const retry_budget_limits &limits, time_point now)
{
    const duration stepLength = std::max<duration>(limits.window / budgetSteps, milliseconds{1});
    const std::int64_t step = now.time_since_epoch() / stepLength;
    const std::int64_t passed = window.lastStep < 0 ? static_cast<std::int64_t>(budgetSteps) : step - window.lastStep;
    for (std::int64_t offset = 0; offset < std::min<std::int64_t>(passed, budgetSteps); ++offset) {
        window.steps.at(slotOf(step - offset)) = {};
    }
    window.lastStep = step;
    return window.steps.at(slotOf(step));
}

resend_counts totalOf(const resend_window &window)
{
    return std::accumulate(window.steps.begin(),
                           window.steps.end(),
                           resend_counts{},
                           [](resend_counts sum, const auto &step) {
                               return resend_counts{sum.requests + step.requests, sum.resends + step.resends};
                           });
}

bool takeShare(service_retry_budgets &budget,
               const std::string &service,
               const retry_budget_limits &limits,
               double share,
               time_point now)
{
    resend_window &window = budget.services[service];
    resend_counts &step = currentStep(window, limits, now);
    const resend_counts total = totalOf(window);
    const double fixedRetries = static_cast<double>(limits.fixedRetries) / std::max<std::uint32_t>(limits.nodes, 1);
    const double allowed = ownShare * share * (limits.ratio * total.requests + fixedRetries);
    if (total.resends + 1 > allowed) {
        return false;
    }
    ++step.resends;
    return true;
}

} // namespace

void countRequest(service_retry_budgets &budget,
                  const std::string &service,
                  const retry_budget_limits &limits,
                  time_point now)
{
    ++currentStep(budget.services[service], limits, now).requests;
}

bool tryAcquireServiceRetry(service_retry_budgets &budget,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now)
{
    return takeShare(budget, service, limits, 1.0, now);
}

bool tryAcquireServiceHedge(service_retry_budgets &budget,
                            const std::string &service,
                            const retry_budget_limits &limits,
                            time_point now)
{
    return takeShare(budget, service, limits, hedgeShare, now);
}

bool mayRetryElsewhere(const failed_attempt &facts)
{
    if (facts.timeLeft <= facts.expectedRun) {
        return false;
    }
    switch (facts.end) {
    case attempt_outcome::NotRun:
        return true;
    case attempt_outcome::RejectedByWorker:
        return facts.workersTried < facts.maxWorkers;
    case attempt_outcome::FailedResponse:
    case attempt_outcome::Unknown:
        return facts.isRetryable && facts.workersTried < facts.maxWorkers;
    }
    return false;
}

milliseconds rejectionRetryAfter(double expectedRunMs, double draw)
{
    const double wait = expectedRunMs * (rejectedReturnRuns + rejectedSpreadRuns * draw);
    return std::max(leastRejectedReturn, milliseconds(static_cast<std::int64_t>(wait)));
}

} // namespace pistachioquay
