#include "connection/log_client/log_response.h"

#include <algorithm>
#include <memory>

#include <jansson.h>
#include <orcania.h>

namespace pistachioquay::internal {

namespace {

struct json_deleter
{
    void operator()(json_t *value) const
    {
        json_decref(value);
    }
};
using json_holder = std::unique_ptr<json_t, json_deleter>;

boost::leaf::error_id corrupt(const std::string &what)
{
    return fail(error_kind::Corrupt,
                "the response of the log is not understood: " + what,
                "check that the address is that of the platform log and that nothing between alters responses");
}

result<json_holder> parse(std::string_view body)
{
    json_error_t where;
    json_holder root(json_loadb(body.data(), body.size(), JSON_REJECT_DUPLICATES, &where));
    if (!root || !json_is_object(root.get())) {
        return corrupt(root ? "no JSON object" : where.text);
    }
    return root;
}

result<std::int64_t> numberAt(const json_t *object, const char *key, std::int64_t least)
{
    const json_t *value = json_object_get(object, key);
    if (!json_is_integer(value) || json_integer_value(value) < least) {
        return corrupt("`" + std::string(key) + "` is missing or no valid number");
    }
    return json_integer_value(value);
}

bool isBase64Text(std::string_view text)
{
    const auto isDigit = [](char letter) {
        return (letter >= 'A' && letter <= 'Z') || (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9')
            || letter == '+' || letter == '/';
    };
    constexpr std::size_t maxPadding = 2;
    const std::size_t digits = std::min(text.find('='), text.size());
    const std::string_view padding = text.substr(digits);
    return text.size() % 4 == 0 && std::ranges::all_of(text.substr(0, digits), isDigit) && padding.size() <= maxPadding
        && std::ranges::count(padding, '=') == static_cast<std::ptrdiff_t>(padding.size());
}

result<std::string> decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    std::size_t size = 0;
    const auto *source = reinterpret_cast<const unsigned char *>(text.data());
    auto *target = reinterpret_cast<unsigned char *>(bytes.data());
    if (!isBase64Text(text) || o_base64_decode(source, text.size(), target, &size) == 0) {
        return corrupt("`data` is not base64");
    }
    bytes.resize(size);
    return bytes;
}

result<log_record> decodeRecord(const json_t *item)
{
    log_record record;
    BOOST_LEAF_AUTO(offset, numberAt(item, "offset", 1));
    BOOST_LEAF_ASSIGN(record.timeMs, numberAt(item, "time_ms", 0));
    record.offset = static_cast<std::uint64_t>(offset);
    const json_t *data = json_object_get(item, "data");
    if (!json_is_string(data)) {
        return corrupt("`data` is missing or no text");
    }
    BOOST_LEAF_ASSIGN(record.data, decodeBase64({json_string_value(data), json_string_length(data)}));
    return record;
}

// The offset at which the records of the response have to begin.
result<std::uint64_t> expectedStart(const log_batch &batch, const read_request &request)
{
    if (batch.first > batch.next) {
        return corrupt("`first` is greater than `next`");
    }
    if (!request.from) {
        return batch.first == batch.next ? batch.next : batch.next - 1;
    }
    if (*request.from > batch.next) {
        return corrupt("the stream ends at " + std::to_string(batch.next) + ", before the requested offset "
                       + std::to_string(*request.from));
    }
    return std::max(*request.from, batch.first);
}

result<void> checkRange(const log_batch &batch, const read_request &request)
{
    BOOST_LEAF_AUTO(expected, expectedStart(batch, request));
    if (batch.records.empty() && expected < batch.next && !request.from) {
        return corrupt("the last record is missing");
    }
    if (batch.records.size() > request.max) {
        return corrupt("more records than requested");
    }
    for (const log_record &record : batch.records) {
        if (record.offset != expected || record.offset >= batch.next) {
            return corrupt("offset " + std::to_string(record.offset) + " in place of " + std::to_string(expected));
        }
        ++expected;
    }
    return {};
}

} // namespace

result<std::uint64_t> decodeOffset(std::string_view body)
{
    BOOST_LEAF_AUTO(root, parse(body));
    BOOST_LEAF_AUTO(offset, numberAt(root.get(), "offset", 1));
    return static_cast<std::uint64_t>(offset);
}

result<log_batch> decodeBatch(std::string_view body, const read_request &request)
{
    log_batch batch;
    BOOST_LEAF_AUTO(root, parse(body));
    BOOST_LEAF_AUTO(first, numberAt(root.get(), "first", 1));
    BOOST_LEAF_AUTO(next, numberAt(root.get(), "next", 1));
    batch.first = static_cast<std::uint64_t>(first);
    batch.next = static_cast<std::uint64_t>(next);
    const json_t *records = json_object_get(root.get(), "records");
    if (!json_is_array(records)) {
        return corrupt("`records` is missing or no list");
    }
    for (std::size_t index = 0; index < json_array_size(records); ++index) {
        BOOST_LEAF_AUTO(record, decodeRecord(json_array_get(records, index)));
        batch.records.push_back(std::move(record));
    }
    BOOST_LEAF_CHECK(checkRange(batch, request));
    return batch;
}

} // namespace pistachioquay::internal
