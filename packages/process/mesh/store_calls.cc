#include "process/mesh/store_calls.h"

#include <algorithm>

namespace pistachioquay::internal {

namespace {

void onReturn(mesh_context &context, std::optional<std::uint64_t> previous, std::string_view source)
{
    context.metrics.count("store_returns_total");
    context.log(log_line("store", "returned")
                    .add("era", *context.storeEras.current)
                    .add("previous", previous.value_or(0))
                    .add("source", source));
    std::ranges::for_each(context.onStoreReturn, [](const auto &function) {
        function();
    });
}

// Records the era of a response. Returns whether the response may be used.
bool recordResponse(mesh_context &context, std::uint64_t era, boot_time sentAt)
{
    const std::optional<std::uint64_t> previous = context.storeEras.current;
    switch (recordEra(context.storeEras, era, sentAt, bootNow())) {
    case era_change::Outdated:
        context.metrics.count("store_responses_outdated_total");
        context.log(log_line("store", "outdated-response").add("era", era).add("current", previous.value_or(0)));
        return false;
    case era_change::Returned:
        onReturn(context, previous, "store");
        return true;
    case era_change::None:
    case era_change::First:
        return true;
    }
    return false;
}

} // namespace

awaitable<config_read> readConfig(mesh_context &context, std::optional<store_position> position, milliseconds wait)
{
    const boot_time sentAt = bootNow();
    config_read read = co_await context.platform.readConfig(position, wait);
    if (read.isReached && !recordResponse(context, read.position.era, sentAt)) {
        co_return config_read{};
    }
    co_return read;
}

awaitable<std::optional<std::uint64_t>> publishNodeRecord(mesh_context &context, std::string key, std::string value)
{
    const boot_time sentAt = bootNow();
    const auto era = co_await context.platform.publishNodeRecord(std::move(key), std::move(value));
    const bool isUsable = era.has_value() && recordResponse(context, *era, sentAt);
    co_return isUsable ? era : std::nullopt;
}

awaitable<std::optional<node_records_read>> readNodeRecords(mesh_context &context)
{
    const boot_time sentAt = bootNow();
    auto read = co_await context.platform.readNodeRecords();
    if (read && !recordResponse(context, read->era, sentAt)) {
        co_return std::nullopt;
    }
    co_return read;
}

awaitable<std::optional<rollout_status_read>> readRolloutStatus(mesh_context &context, std::string service)
{
    const boot_time sentAt = bootNow();
    auto read = co_await context.platform.readRolloutStatus(std::move(service));
    if (read && !recordResponse(context, read->position.era, sentAt)) {
        co_return std::nullopt;
    }
    co_return read;
}

awaitable<std::optional<std::uint64_t>>
writeRolloutStatus(mesh_context &context, rollout_status status, store_position position)
{
    if (!isCurrent(context.storeEras, position.era)) {
        co_return std::nullopt;
    }
    const boot_time sentAt = bootNow();
    const auto era = co_await context.platform.writeRolloutStatus(std::move(status), position);
    const bool isUsable = era.has_value() && recordResponse(context, *era, sentAt) && era == position.era;
    co_return isUsable ? era : std::nullopt;
}

void applyToldEra(mesh_context &context, const node_record &record)
{
    const std::optional<std::uint64_t> previous = context.storeEras.current;
    if (recordToldEra(context.storeEras, record.storeEra, milliseconds(record.storeEraAgeMs), bootNow())) {
        onReturn(context, previous, record.nodeId);
    }
}

} // namespace pistachioquay::internal
