// Estimates behind the choice of a worker: load, latency relative to peers, ejection, pauses. Private to routing.
//
//   const double expected = internal::score(state, tracked, work_class::Interactive, now);
#pragma once

#include "request/routing/routing.h"

namespace pistachioquay::internal {

// score returns the expected time of a call relative to an idle, typical worker; smaller is better.
double score(const routing_state &state, const tracked_worker &tracked, work_class workClass, time_point now);

// isHeavy tells whether calls of the class share the few slots for long work.
bool isHeavy(work_class workClass);

// hasSpareSlot tells whether the worker is believed to have a free slot for a call of the class.
bool hasSpareSlot(const tracked_worker &tracked, work_class workClass, time_point now);

// noteLoad records the load that other nodes put on the worker, before the ending call is subtracted.
void noteLoad(tracked_worker &tracked, const std::optional<load_report> &load, time_point now);

// notePause passes the worker over for a while after a refusal or a failed connection.
void notePause(tracked_worker &tracked, call_outcome end, time_point now);

// noteLatency records a latency and renews the class median when due.
void noteLatency(routing_state &state, tracked_worker &tracked, work_class workClass, duration latency, time_point now);

// ejectIfSlow ejects the local worker at `index` if its latest calls of the class were slow and the share of ejected
// workers allows it.
void ejectIfSlow(routing_state &state, std::size_t index, work_class workClass, time_point now);

// endProbe takes the worker back after enough healthy probes, or sets the time of the next probe.
void endProbe(
    routing_state &state, tracked_worker &tracked, work_class workClass, const call_result &seen, time_point now);

// readmit ends an ejection.
void readmit(routing_state &state, tracked_worker &tracked);

// spillOf returns the entry of another data centre; null if there is none.
spill_target *spillOf(routing_state &state, std::string_view dataCentre);

// endSpill ends the accounting of a call to another data centre.
void endSpill(routing_state &state, const call_choice &choice, call_outcome end, time_point now);

// findTracked returns the index of the worker that was chosen, or the size of `workers` if it is forgotten.
std::size_t findTracked(const std::vector<tracked_worker> &workers, const call_choice &choice);

} // namespace pistachioquay::internal
