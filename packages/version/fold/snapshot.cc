#include "version/fold/snapshot.h"

#include <algorithm>

#include "version/fold/archive.h"
#include "version/fold/edit_record.h"
#include "version/fold/envelope.h"
#include "version/tree/compile.h"

namespace pistachioquay {

namespace {

using internal::archive_reader;
using internal::archive_writer;
using internal::readNumber;

constexpr std::size_t partSize = std::size_t{900} * 1024;
constexpr std::uint32_t maxParts = 128;
constexpr std::size_t maxPendingSnapshots = 4;

template<class Map>
void writeCount(archive_writer &archive, const Map &map)
{
    archive(static_cast<std::uint32_t>(map.size()));
}

void writeValues(archive_writer &archive, const value_map &values)
{
    writeCount(archive, values);
    for (const auto &[key, value] : values) {
        internal::writeKey(archive, key);
        internal::writeScalar(archive, value);
    }
}

void writeTree(archive_writer &archive, const config_tree &tree)
{
    writeValues(archive, *tree.values);
    const auto places = placesOf(tree);
    writeCount(archive, places);
    for (const place &where : places) {
        internal::writePlace(archive, where);
        writeValues(archive, *valuesAt(tree, where));
    }
}

void readValues(archive_reader &archive, const place &where, std::vector<edit> &edits)
{
    const auto count = readNumber<std::uint32_t>(archive);
    for (std::uint32_t index = 0; index < count; ++index) {
        value_key key = internal::readKey(archive);
        edits.push_back(setValue({where, std::move(key)}, internal::readScalar(archive)));
    }
}

config_tree readTree(archive_reader &archive)
{
    std::vector<edit> edits;
    readValues(archive, {}, edits);
    const auto places = readNumber<std::uint32_t>(archive);
    for (std::uint32_t index = 0; index < places; ++index) {
        const place where = internal::readPlace(archive);
        edits.push_back(addPlace(where));
        readValues(archive, where, edits);
    }
    auto tree = attempt([&] {
        return applyEdits({}, edits);
    });
    if (!tree) {
        throw cereal::Exception("the tree has wrong values");
    }
    return *std::move(tree);
}

void writeChanges(archive_writer &archive, const std::map<tree_path, change_mark> &changes)
{
    writeCount(archive, changes);
    place last;
    for (const auto &[path, mark] : changes) {
        const bool isSamePlace = path.where == last;
        archive(static_cast<std::uint8_t>(isSamePlace));
        if (!isSamePlace) {
            internal::writePlace(archive, path.where);
            last = path.where;
        }
        internal::writeKey(archive, path.key);
        archive(mark.version, static_cast<std::uint8_t>(mark.isTombstone));
        internal::writeText(archive, mark.author);
    }
}

void readChanges(archive_reader &archive, fold_state &state)
{
    const auto count = readNumber<std::uint32_t>(archive);
    place where;
    for (std::uint32_t index = 0; index < count; ++index) {
        if (readNumber<std::uint8_t>(archive) == 0) {
            where = internal::readPlace(archive);
        }
        tree_path path{where, internal::readKey(archive)};
        change_mark mark;
        archive(mark.version);
        mark.isTombstone = readNumber<std::uint8_t>(archive) != 0;
        mark.author = internal::readText(archive);
        state.tombstones += mark.isTombstone ? 1 : 0;
        state.changes.emplace_hint(state.changes.end(), std::move(path), std::move(mark));
    }
}

void writeVerdict(archive_writer &archive, const fold_verdict &verdict)
{
    archive(static_cast<std::uint8_t>(verdict.kind), verdict.version, verdict.winnerVersion);
    for (const std::string &text : {verdict.path, verdict.winner, verdict.message, verdict.remedy}) {
        internal::writeText(archive, text);
    }
}

fold_verdict readVerdict(archive_reader &archive)
{
    fold_verdict verdict;
    const auto kind = readNumber<std::uint8_t>(archive);
    if (kind > static_cast<std::uint8_t>(verdict_kind::OutOfOrder)) {
        throw cereal::Exception("unknown kind of verdict");
    }
    verdict.kind = static_cast<verdict_kind>(kind);
    archive(verdict.version, verdict.winnerVersion);
    for (std::string *text : {&verdict.path, &verdict.winner, &verdict.message, &verdict.remedy}) {
        *text = internal::readText(archive);
    }
    return verdict;
}

void writePublishes(archive_writer &archive, const fold_state &state)
{
    writeCount(archive, state.publishOrder);
    for (const auto &[offset, publishId] : state.publishOrder) {
        archive(offset, publishId);
        writeVerdict(archive, state.publishes.at(publishId).verdict);
    }
}

void readPublishes(archive_reader &archive, fold_state &state)
{
    const auto count = readNumber<std::uint32_t>(archive);
    for (std::uint32_t index = 0; index < count; ++index) {
        publish_entry entry;
        hash128 publishId;
        archive(entry.offset, publishId);
        entry.verdict = readVerdict(archive);
        state.publishOrder[entry.offset] = publishId;
        state.publishes[publishId] = std::move(entry);
    }
}

std::string encodeState(const fold_state &state)
{
    const std::string body = internal::writeBody([&](archive_writer &archive) {
        archive(state.position, state.version, state.oldestBase);
        writeTree(archive, state.tree);
        writeChanges(archive, state.changes);
        writePublishes(archive, state);
    });
    return sealEnvelope(snapshotMagic, snapshotSchema, body);
}

boost::leaf::error_id corrupt(std::string_view what)
{
    return fail(error_kind::Corrupt, what, "take another snapshot, or read the log from its start");
}

result<std::string_view> open(std::uint32_t magic, std::string_view bytes)
{
    const envelope opened = openEnvelope(magic, snapshotSchema, bytes);
    if (opened.status == envelope_status::UnreadableSchema) {
        return fail(error_kind::UnreadableSchema,
                    "the snapshot has schema " + std::to_string(opened.schema) + ", but this program reads up to "
                        + std::to_string(snapshotSchema),
                    "install a newer pistachioquay");
    }
    if (opened.status != envelope_status::Good) {
        return corrupt("a part of a snapshot is truncated or corrupt");
    }
    return opened.body;
}

result<fold_state> decodeState(std::string_view bytes)
{
    BOOST_LEAF_AUTO(body, open(snapshotMagic, bytes));
    fold_state state;
    const bool isRead = internal::readBody(body, [&](archive_reader &archive) {
        archive(state.position, state.version, state.oldestBase);
        state.tree = readTree(archive);
        readChanges(archive, state);
        readPublishes(archive, state);
    });
    if (!isRead || state.version >= state.position) {
        return corrupt("a snapshot has a good hash but wrong contents");
    }
    BOOST_LEAF_CHECK(validateTree(state.tree));
    return state;
}

} // namespace

std::vector<std::string> encodeSnapshot(const fold_state &state)
{
    const std::string whole = encodeState(state);
    const hash128 hash = hashBytes(whole);
    const auto count = static_cast<std::uint32_t>((whole.size() + partSize - 1) / partSize);
    std::vector<std::string> parts;
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::string body = internal::writeBody([&](archive_writer &archive) {
            archive(state.position, hash, index, count);
            internal::writeText(archive, std::string_view(whole).substr(index * partSize, partSize));
        });
        parts.push_back(sealEnvelope(snapshotPartMagic, snapshotSchema, body));
    }
    return parts;
}

result<snapshot_part> decodeSnapshotPart(std::string_view bytes)
{
    BOOST_LEAF_AUTO(body, open(snapshotPartMagic, bytes));
    snapshot_part part;
    const bool isRead = internal::readBody(body, [&](archive_reader &archive) {
        archive(part.position, part.hash, part.index, part.count);
        part.data = internal::readText(archive, partSize);
    });
    if (!isRead || part.index >= part.count || part.count > maxParts) {
        return corrupt("a part of a snapshot has a good hash but wrong contents");
    }
    return part;
}

result<fold_state> assembleSnapshot(std::span<const snapshot_part> parts)
{
    std::vector<const snapshot_part *> ordered;
    for (const snapshot_part &part : parts) {
        ordered.push_back(&part);
    }
    std::ranges::sort(ordered, {}, &snapshot_part::index);
    std::string whole;
    for (std::size_t index = 0; index < ordered.size(); ++index) {
        const snapshot_part &part = *ordered[index];
        if (part.hash != ordered.front()->hash || part.position != ordered.front()->position) {
            return corrupt("parts of different snapshots are mixed");
        }
        if (part.index != index || part.count != ordered.size()) {
            return fail(error_kind::NotFound, "a part of the snapshot is missing", "read the other parts");
        }
        whole += part.data;
    }
    if (ordered.empty()) {
        return fail(error_kind::NotFound, "the snapshot has no parts", "read the parts");
    }
    if (hashBytes(whole) != ordered.front()->hash) {
        return corrupt("the hash of the joined parts differs");
    }
    BOOST_LEAF_AUTO(state, decodeState(whole));
    if (state.position != ordered.front()->position) {
        return corrupt("the position of the snapshot differs from that of its parts");
    }
    return state;
}

std::optional<fold_state> addSnapshotPart(snapshot_collector &collector, std::string_view bytes)
{
    auto part = attempt([&] {
        return decodeSnapshotPart(bytes);
    });
    if (!part) {
        return std::nullopt;
    }
    const snapshot_collector::snapshot_key key{part->position, part->hash, part->count};
    auto &parts = collector.pending[key];
    const std::uint32_t index = part->index;
    parts.insert_or_assign(index, *std::move(part));
    if (parts.size() == std::get<std::uint32_t>(key)) {
        std::vector<snapshot_part> complete;
        for (auto &[position, each] : parts) {
            complete.push_back(std::move(each));
        }
        collector.pending.erase(key);
        auto state = attempt([&] {
            return assembleSnapshot(complete);
        });
        return state ? std::optional(*std::move(state)) : std::nullopt;
    }
    if (collector.pending.size() > maxPendingSnapshots) {
        collector.pending.erase(collector.pending.begin());
    }
    return std::nullopt;
}

} // namespace pistachioquay
