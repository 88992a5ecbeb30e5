#include "request/retry/deadline.h"

#include <algorithm>

namespace pistachioquay {

time_point deadlineAfter(time_point now, std::optional<milliseconds> callerTimeLeft, milliseconds policyDeadline)
{
    const milliseconds left = callerTimeLeft ? std::min(*callerTimeLeft, policyDeadline) : policyDeadline;
    return now + std::max(left, milliseconds(0));
}

milliseconds timeLeft(time_point deadline, time_point now)
{
    return std::max(milliseconds(0), std::chrono::floor<milliseconds>(deadline - now));
}

milliseconds timeForNextHop(time_point deadline, time_point now)
{
    return std::max(milliseconds(0), timeLeft(deadline, now) - hopMargin);
}

hop_refusal checkHop(time_point deadline, std::uint32_t depth, time_point now)
{
    if (depth > maxDepth) {
        return hop_refusal::TooDeep;
    }
    return timeLeft(deadline, now) < leastTimeLeft ? hop_refusal::TooLittleTime : hop_refusal::None;
}

} // namespace pistachioquay
