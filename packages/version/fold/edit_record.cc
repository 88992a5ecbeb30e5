#include "version/fold/edit_record.h"

#include "version/fold/archive.h"

namespace pistachioquay {

namespace {

using internal::archive_reader;
using internal::archive_writer;
using internal::readNumber;

void writeEdit(archive_writer &archive, const edit &change)
{
    archive(static_cast<std::uint8_t>(change.kind));
    internal::writePlace(archive, change.path.where);
    internal::writeKey(archive, change.path.key);
    if (change.kind == edit_kind::SetValue) {
        internal::writeScalar(archive, change.value);
    }
}

edit readEdit(archive_reader &archive)
{
    edit change;
    const auto kind = readNumber<std::uint8_t>(archive);
    if (kind > static_cast<std::uint8_t>(edit_kind::RemovePlace)) {
        throw cereal::Exception("unknown kind of edit");
    }
    change.kind = static_cast<edit_kind>(kind);
    change.path.where = internal::readPlace(archive);
    change.path.key = internal::readKey(archive);
    if (change.kind == edit_kind::SetValue) {
        change.value = internal::readScalar(archive);
    }
    return change;
}

edit_record readRecord(archive_reader &archive)
{
    edit_record record;
    archive(record.publishId, record.base);
    record.author = internal::readText(archive, maxAuthorSize);
    const auto count = readNumber<std::uint32_t>(archive);
    for (std::uint32_t index = 0; index < count; ++index) {
        record.edits.push_back(readEdit(archive));
    }
    return record;
}

} // namespace

std::string encodeRecord(const edit_record &record)
{
    const std::string body = internal::writeBody([&](archive_writer &archive) {
        archive(record.publishId, record.base);
        internal::writeText(archive, std::string_view(record.author).substr(0, maxAuthorSize));
        archive(static_cast<std::uint32_t>(record.edits.size()));
        for (const edit &change : record.edits) {
            writeEdit(archive, change);
        }
    });
    return sealEnvelope(recordMagic, recordSchema, body);
}

decoded_record decodeRecord(std::string_view bytes)
{
    decoded_record decoded;
    if (bytes.size() > maxRecordSize) {
        return decoded;
    }
    const envelope opened = openEnvelope(recordMagic, recordSchema, bytes);
    decoded.schema = opened.schema;
    decoded.status = opened.status;
    if (opened.status != envelope_status::Good) {
        return decoded;
    }
    const bool isRead = internal::readBody(opened.body, [&](archive_reader &archive) {
        decoded.record = readRecord(archive);
    });
    if (!isRead) {
        decoded.status = envelope_status::Malformed;
        decoded.record = {};
    }
    return decoded;
}

} // namespace pistachioquay
