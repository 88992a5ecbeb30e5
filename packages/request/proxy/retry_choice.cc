#include "request/proxy/retry_choice.h"

namespace pistachioquay::internal {

namespace {

constexpr seconds budgetWindow{10};
constexpr std::uint64_t budgetDivisor = 10; // retries are at most a tenth of the calls
constexpr std::uint64_t budgetFloor = 5; // retries in a window that are always allowed
constexpr std::uint32_t mostUnrunTries = 4;

} // namespace

void retry_budgets::noteCall(const std::string &service, time_point now)
{
    const std::lock_guard guard(m_mutex);
    ++current(service, now).calls;
}

bool retry_budgets::take(const std::string &service, time_point now)
{
    const std::lock_guard guard(m_mutex);
    window &found = current(service, now);
    if (found.retries >= budgetFloor + (found.calls + found.callsBefore) / budgetDivisor) {
        return false;
    }
    ++found.retries;
    return true;
}

retry_budgets::window &retry_budgets::current(const std::string &service, time_point now)
{
    window &found = m_windows[service];
    if (now - found.startedAt > budgetWindow) {
        found = window{.startedAt = now, .callsBefore = found.calls};
    }
    return found;
}

bool mayRetry(const retry_facts &facts, try_end last, std::uint32_t triesMade, retry_budgets &budgets, time_point now)
{
    if (!facts.isBodyHeld || now >= facts.deadline) {
        return false;
    }
    switch (last) {
    case try_end::NotRun:
    case try_end::NoConnection:
        return triesMade < mostUnrunTries;
    case try_end::WorkerBusy:
    case try_end::Unknown:
        return facts.isIdempotent && facts.inheritedAttempts == 0 && triesMade <= facts.retries
            && budgets.take(facts.service, now);
    case try_end::Response:
    case try_end::CallerGone:
        break;
    }
    return false;
}

} // namespace pistachioquay::internal
