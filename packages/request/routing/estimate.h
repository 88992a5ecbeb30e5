// Estimates for the choice of a worker: load, latency relative to other workers, ejection, backoff. Private to routing.
//
//   const double expected = internal::score(state, tracked, work_class::Interactive, now);
#pragma once

#include "request/routing/routing.h"

namespace pistachioquay::internal {

// score returns the expected duration of a call relative to an idle worker of median latency; smaller is better.
double score(const routing_state &state, const tracked_worker &tracked, work_class workClass, time_point now);

// isHeavy returns whether calls of the class are limited to the share of slots for heavy requests.
bool isHeavy(work_class workClass);

// hasSpareSlot returns whether the worker is expected to have a free slot for a call of the class.
bool hasSpareSlot(const tracked_worker &tracked, work_class workClass, time_point now);

// recordLoad subtracts this node's own calls from a load report and records the rest as the load from other nodes. Call
// it while the ended call still counts as outstanding.
void recordLoad(tracked_worker &tracked, const std::optional<load_report> &load, time_point now);

// updateBackoff starts a backoff after a refusal or a failed connection; a response of the worker resets the reconnect
// delay.
void updateBackoff(tracked_worker &tracked, call_outcome end, time_point now);

// recordLatency adds a latency sample and recomputes the median of the class after every few samples.
void recordLatency(
    routing_state &state, tracked_worker &tracked, work_class workClass, duration latency, time_point now);

// ejectIfSlow ejects the local worker at `index` if its latest calls of the class were slow and no more than the
// allowed share of workers would be ejected.
void ejectIfSlow(routing_state &state, std::size_t index, work_class workClass, time_point now);

// recordProbeEnd readmits the worker after enough healthy probes, or schedules the next probe.
void recordProbeEnd(
    routing_state &state, tracked_worker &tracked, work_class workClass, const call_result &result, time_point now);

// readmit ends the ejection of a worker and drops its latency samples.
void readmit(routing_state &state, tracked_worker &tracked);

// findSpillTarget returns the entry of another data centre, or null if there is none.
spill_target *findSpillTarget(routing_state &state, std::string_view dataCentre);

// recordSpillEnd ends the accounting of a call to another data centre. It starts a backoff if the call was refused or
// its connection failed.
void recordSpillEnd(routing_state &state, const call_choice &choice, call_outcome end, time_point now);

// findTracked returns the index of the chosen worker, or the size of `workers` if it is no longer tracked.
std::size_t findTracked(const std::vector<tracked_worker> &workers, const call_choice &choice);

} // namespace pistachioquay::internal
