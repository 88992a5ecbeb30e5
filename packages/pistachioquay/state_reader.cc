#include "pistachioquay/state_reader.h"

#include <algorithm>
#include <optional>

#include "version/fold/snapshot_search.h"

namespace pistachioquay {

namespace {

constexpr std::uint32_t recordsPerRead = 64;

boost::leaf::error_id expired(std::uint64_t position, std::uint64_t first)
{
    return fail(error_kind::NotFound,
                "records from " + std::to_string(position) + " to " + std::to_string(first - 1)
                    + " have expired and no snapshot covers them",
                "wait until a node has written a snapshot, then try again");
}

// Reads the kept records in [from, to) of the snapshot stream.
result<std::vector<std::string>> readParts(const log_access &log, std::uint64_t from, std::uint64_t to)
{
    std::vector<std::string> parts;
    while (from < to) {
        BOOST_LEAF_AUTO(batch, log.read(snapshotStream, from, static_cast<std::uint32_t>(to - from), milliseconds(0)));
        if (batch.records.empty()) {
            break;
        }
        for (log_record &record : batch.records) {
            parts.push_back(std::move(record.data));
        }
        from = batch.records.back().offset + 1;
    }
    return parts;
}

// The state from which the records can be folded, at a position of at most `mostPosition`.
result<fold_state> startState(const log_access &log, std::uint64_t first, std::uint64_t mostPosition)
{
    BOOST_LEAF_AUTO(stream, log.readLast(snapshotStream));
    const part_reader read = [&](std::uint64_t from, std::uint64_t to) {
        return readParts(log, from, to);
    };
    BOOST_LEAF_AUTO(found, findSnapshot(stream.first, stream.next, {first, mostPosition}, read));
    if (found) {
        return *std::move(found);
    }
    if (first > 1) {
        return expired(1, first);
    }
    return fold_state{};
}

void visitNothing(const log_record &, const fold_state &, const fold_verdict &)
{
}

result<log_state> foldToEnd(const log_access &log, log_state latest, const fold_visitor &visit)
{
    const std::uint64_t end = latest.next;
    while (latest.state.position < end && !latest.isStopped) {
        BOOST_LEAF_ASSIGN(latest, foldNext(log, std::move(latest), milliseconds(0), visit));
    }
    return latest;
}

result<log_state> readFrom(const log_access &log, std::uint64_t mostPosition, const fold_visitor &visit)
{
    log_state latest;
    BOOST_LEAF_AUTO(last, log.readLast(configStream));
    latest.first = last.first;
    latest.next = last.next;
    const std::uint64_t most = std::clamp(mostPosition, last.first, std::max(last.first, last.next));
    BOOST_LEAF_ASSIGN(latest.state, startState(log, last.first, most));
    return foldToEnd(log, std::move(latest), visit);
}

} // namespace

result<log_state> foldNext(const log_access &log, log_state latest, milliseconds wait, const fold_visitor &visit)
{
    BOOST_LEAF_AUTO(batch, log.read(configStream, latest.state.position, recordsPerRead, wait));
    latest.first = batch.first;
    latest.next = batch.next;
    if (batch.first > latest.state.position) {
        return expired(latest.state.position, batch.first);
    }
    const std::uint64_t before = latest.state.position;
    for (const log_record &record : batch.records) {
        fold_step step = foldRecord(std::move(latest.state), record.offset, record.data);
        latest.state = std::move(step.state);
        latest.isStopped = step.verdict.kind == verdict_kind::UnreadableSchema;
        visit(record, latest.state, step.verdict);
        if (latest.isStopped) {
            return latest;
        }
    }
    if (latest.state.position == before && before < batch.next) {
        return fail(error_kind::Unavailable,
                    "the platform log sent no record at offset " + std::to_string(before),
                    "wait for the platform log and try again");
    }
    return latest;
}

result<log_state> readLatest(const log_access &log)
{
    return readFrom(log, UINT64_MAX, visitNothing);
}

result<fold_state> readVersion(const log_access &log, std::uint64_t version)
{
    std::optional<fold_state> found;
    if (version == 0) {
        return fold_state{};
    }
    const fold_visitor keep = [&](const log_record &, const fold_state &state, const fold_verdict &) {
        if (!found && state.version == version) {
            found = state;
        }
    };
    BOOST_LEAF_AUTO(latest, readFrom(log, version + 1, keep));
    if (!found && latest.state.version == version) {
        found = std::move(latest.state);
    }
    if (!found) {
        return fail(error_kind::NotFound,
                    "there is no version " + std::to_string(version) + " that can be restored",
                    "choose an accepted version that `pistachioquay history` lists");
    }
    return *std::move(found);
}

result<log_state> readHistory(const log_access &log, std::uint64_t limit, const fold_visitor &visit)
{
    BOOST_LEAF_AUTO(last, log.readLast(configStream));
    const std::uint64_t wanted = last.next > limit ? last.next - limit : 1;
    auto early = attempt([&] {
        return readFrom(log, wanted, visit);
    });
    if (early) {
        return *std::move(early);
    }
    if (early.failure().kind != error_kind::NotFound) {
        return fail(early.failure());
    }
    return readFrom(log, UINT64_MAX, visit);
}

} // namespace pistachioquay
