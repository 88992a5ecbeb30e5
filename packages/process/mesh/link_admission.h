// Admission of calls by the capacity of the own VM's network link. Private to the mesh library.
//
//   if (auto refused = refuseForLink(context, message, request, waitMs, now)) co_return std::move(*refused);
#pragma once

#include <optional>

#include "process/mesh/context.h"
#include "request/waiting/waiting.h"

namespace pistachioquay::internal {

// refuseForLink returns the refusal of a call whose response would be late because of the link, or books the capacity
// for it. `waitMs` is the expected wait for a slot. Not thread safe: belongs to one loop.
std::optional<call_reply> refuseForLink(
    mesh_context &context, const call_message &message, const queued_request &request, double waitMs, time_point now);

} // namespace pistachioquay::internal
