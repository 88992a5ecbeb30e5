#include "process/stopping/stopping.h"

namespace pistachioquay {

bool endsInTime(const stop_times &stop, const late_request &request)
{
    return request.latestEnd + answerMargin <= stop.exitAt;
}

bool mayAcceptWhileStopping(const stop_times &stop, const late_request &request)
{
    const bool isEarly = request.arrivedAt - stop.startedAt <= callerAcceptTime;
    if (!isEarly && !request.mayBeFromWorker) {
        return false;
    }
    const bool isLikelyInTime =
        isEarly && request.isRetryable && request.arrivedAt + runEstimateFactor * request.expectedTime <= stop.exitAt;
    return endsInTime(stop, request) || isLikelyInTime;
}

} // namespace pistachioquay
