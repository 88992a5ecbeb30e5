#include "testing/platform_log/faults.h"

#include <algorithm>
#include <array>
#include <string>

#include "testing/harness/json.h"

namespace pistachioquay {

namespace {
constexpr std::array<std::string_view, 9> faultKeys = {"outage",
                                                       "refuse_ms",
                                                       "delay_ms",
                                                       "lose_responses",
                                                       "reject_appends",
                                                       "read_only",
                                                       "appends_per_s",
                                                       "truncate",
                                                       "garbage"};

bool namesOnlyFaults(json_t *object)
{
    const char *key = nullptr;
    json_t *value = nullptr;
    json_object_foreach(object, key, value)
    {
        if (std::ranges::find(faultKeys, std::string_view(key)) == faultKeys.end()) {
            return false;
        }
    }
    return true;
}
} // namespace

std::optional<log_faults> applyFaults(const log_faults &current, std::string_view json)
{
    const json_holder root = parseJson(json);
    if (!json_is_object(root.get()) || !namesOnlyFaults(root.get())) {
        return std::nullopt;
    }
    log_faults faults = current;
    faults.isOutage = flagIn(root.get(), "outage", current.isOutage);
    faults.refuseMs = integerIn(root.get(), "refuse_ms", current.refuseMs);
    faults.delayMs = integerIn(root.get(), "delay_ms", current.delayMs);
    faults.loseResponses = integerIn(root.get(), "lose_responses", current.loseResponses);
    faults.rejectsAppends = flagIn(root.get(), "reject_appends", current.rejectsAppends);
    faults.isReadOnly = flagIn(root.get(), "read_only", current.isReadOnly);
    faults.appendsPerSecond = numberIn(root.get(), "appends_per_s", current.appendsPerSecond);
    faults.truncatesResponses = flagIn(root.get(), "truncate", current.truncatesResponses);
    faults.sendsGarbage = flagIn(root.get(), "garbage", current.sendsGarbage);
    return faults;
}

bool append_rate::isAllowed(double perSecond, time_point now)
{
    if (perSecond <= 0) {
        return true;
    }
    const double full = std::max(perSecond, 1.0);
    const double waited = m_filledAt ? std::chrono::duration<double>(now - *m_filledAt).count() : 0.0;
    m_tokens = m_filledAt ? std::min(full, m_tokens + waited * perSecond) : full;
    m_filledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace pistachioquay
