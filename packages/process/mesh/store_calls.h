// Calls to the platform's store. Each response tells the era of the store; these functions notice a return of the store
// from a copy, and discard responses of an earlier era. Private to the mesh library.
//
//   context.onStoreReturn.push_back([this] { writeAgain(); });
//   const config_read read = co_await readConfig(context, m_position, wait);
//
// All parts of a node call the store through these functions, not through `mesh_platform`.
#pragma once

#include <optional>
#include <string>

#include "process/mesh/context.h"

namespace pistachioquay::internal {

// Functions of the same name in `mesh_platform`. Not thread safe: they run on the loop of the node.
awaitable<config_read> readConfig(mesh_context &context, std::optional<store_position> position, milliseconds wait);
awaitable<std::optional<std::uint64_t>> publishNodeRecord(mesh_context &context, std::string key, std::string value);
awaitable<std::optional<node_records_read>> readNodeRecords(mesh_context &context);
awaitable<std::optional<rollout_status_read>> readRolloutStatus(mesh_context &context, std::string service);
// Also empty if the state was recorded in another era than that of the position: the condition then says nothing.
awaitable<std::optional<std::uint64_t>>
writeRolloutStatus(mesh_context &context, rollout_status status, store_position position);

// applyToldEra applies the era of the store that another node has told in its record.
void applyToldEra(mesh_context &context, const node_record &record);

} // namespace pistachioquay::internal
