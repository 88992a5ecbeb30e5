// Rules for admitting a request that can no longer meet its target latency. The request queue of a worker applies them,
// and placement uses them to predict whether a worker would refuse a request.
#pragma once

namespace pistachioquay {

// Multiple of the expected run time that must fit before the target. Run times spread by about half of their mean: if a
// queue admits whatever is on time at the mean, all requests of a lasting overload wait until about half of them are
// late.
inline constexpr double onTimeRunMargin = 1.4;
inline constexpr double maxLateWaitRuns = 0.5; // longest wait of a late request, in its run times
inline constexpr double minRetryRuns = 1.5; // run times after which a retry finds a shorter queue
inline constexpr double maxRetryAfterShare = 1.0 / 3.0; // of the time left; upper bound of Retry-After

// hasTimeToRetry returns whether the caller of a request has enough time left to retry after a refusal, when the queue
// is expected to be shorter. Calls made by workers mostly have not. Thread safe.
constexpr bool hasTimeToRetry(double timeLeftMs, double meanActiveRunMs)
{
    return timeLeftMs * maxRetryAfterShare >= minRetryRuns * meanActiveRunMs;
}

// retryRunMs returns the mean run time that a retry would meet, given the one of the running requests at a worker. A
// slow worker must not take each retry for too late, and collect requests that miss their target there: a retry would
// go to a typical worker. `expectedRunMs` and `typicalRunMs` are the run times of the request there and at most
// workers; a typical run time of 0 is not known. Thread safe.
constexpr double retryRunMs(double meanActiveRunMs, double expectedRunMs, double typicalRunMs)
{
    const bool isSlow = typicalRunMs > 0 && typicalRunMs < expectedRunMs;
    return isSlow ? meanActiveRunMs * typicalRunMs / expectedRunMs : meanActiveRunMs;
}

// isFinalAttempt returns whether the request can still meet its target, but its caller would have too little time to
// retry after a refusal: the queue would be no shorter by then. Calls made by workers are usually of this kind; if one
// fails, the work that the calling worker has done is lost. Thread safe.
constexpr bool isFinalAttempt(double targetLeftMs, double timeLeftMs, double meanActiveRunMs)
{
    return targetLeftMs > 0 && !hasTimeToRetry(timeLeftMs, meanActiveRunMs);
}

} // namespace pistachioquay
