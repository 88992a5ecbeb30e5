#include "testing/platform/store_stand_in.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace pistachioquay::testing {

namespace {

constexpr std::size_t newestPageRecords = 500; // records in one /log-newest response

constexpr milliseconds pollInterval{5}; // time between looks of a read that waits for a new record
constexpr seconds silentDelay{60}; // longer than any client waits for an answer
constexpr std::size_t lengthPrefixBytes = 4;

std::string bigEndian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned index = bytes; index > 0; --index) {
        text += static_cast<char>((value >> (8U * (index - 1))) & 0xffU);
    }
    return text;
}

std::uint64_t readBigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

std::string encodeBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

// Replaces each %XX by its byte.
std::string decodeQuery(const std::string &text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

// Returns the value of a query parameter, or an empty string if the target does not have it.
std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    std::string rest = query == std::string::npos ? std::string() : "&" + target.substr(query + 1);
    const auto at = rest.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    rest = rest.substr(at + name.size() + 2);
    return decodeQuery(rest.substr(0, rest.find('&')));
}

std::uint64_t numberParameter(const std::string &target, const std::string &name)
{
    return parseCount(parameter(target, name)).value_or(0);
}

whole_response jsonReply(unsigned status, const boost::json::value &value)
{
    return textReply(status, boost::json::serialize(value), "application/json");
}

} // namespace

store_stand_in::store_stand_in()
{
    m_server = std::make_unique<async_http_server>(m_loop.executor(),
                                                   async_http_server_options{.address = {"127.0.0.1", 0}},
                                                   [this](const whole_request &request, caller_connection &) {
                                                       return answer(request);
                                                   });
    const bool isStarted = m_loop.run([this] {
        return static_cast<bool>(attempt([this] {
            return m_server->start();
        }));
    });
    if (!isStarted) {
        throw std::runtime_error("the stand-in of the store cannot listen on a free port of 127.0.0.1");
    }
}

store_stand_in::~store_stand_in()
{
    m_loop.run([this] {
        m_server->stop();
        return 0;
    });
    m_loop.stop();
}

endpoint store_stand_in::address() const
{
    return m_server->address();
}

std::uint64_t store_stand_in::calls() const
{
    return m_calls;
}

void store_stand_in::setMode(store_mode mode)
{
    m_mode = mode;
}

void store_stand_in::appendRecord(topic_log &topic, std::string record)
{
    const std::size_t keyLength = record.empty() ? 0 : static_cast<unsigned char>(record.front());
    const std::string key = record.substr(1, keyLength);
    const std::string value = record.substr(1 + keyLength);
    if (value.empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = {value, topic.end()};
    }
    topic.records.push_back(std::move(record));
}

void store_stand_in::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_loop.run([&] {
        appendRecord(m_topics[topic], static_cast<char>(key.size()) + key + value);
        return 0;
    });
}

void store_stand_in::forget(const std::string &topic)
{
    m_loop.run([&] {
        topic_log &log = m_topics[topic];
        log.first = log.end();
        log.records.clear();
        return 0;
    });
}

void store_stand_in::takeCopy()
{
    m_loop.run([&] {
        m_copy = m_topics;
        return 0;
    });
}

void store_stand_in::returnFromCopy()
{
    m_loop.run([&] {
        // A waiting read refers to its topic.
        std::ranges::for_each(m_topics, [&](auto &topic) {
            const auto copied = m_copy.find(topic.first);
            topic.second = copied == m_copy.end() ? topic_log{} : copied->second;
        });
        ++m_era;
        m_mode = store_mode::Up;
        return 0;
    });
}

std::uint64_t store_stand_in::era() const
{
    return m_era;
}

void store_stand_in::setEraHeader(const std::string &text)
{
    m_loop.run([&] {
        m_eraHeader = text;
        return 0;
    });
}

std::vector<std::string> store_stand_in::keys(const std::string &topic)
{
    return m_loop.run([&] {
        std::vector<std::string> keys;
        std::ranges::transform(m_topics[topic].newest, std::back_inserter(keys), [](const auto &item) {
            return item.first;
        });
        return keys;
    });
}

std::string store_stand_in::newestValue(const std::string &topic, const std::string &key)
{
    return m_loop.run([&] {
        const topic_log &log = m_topics[topic];
        const auto found = log.newest.find(key);
        return found == log.newest.end() ? std::string() : found->second.first;
    });
}

whole_response store_stand_in::append(topic_log &topic, const std::string &body)
{
    const std::uint64_t offset = topic.end();
    std::string_view rest = body;
    while (rest.size() >= lengthPrefixBytes) {
        const std::size_t length = readBigEndian(rest.substr(0, lengthPrefixBytes));
        appendRecord(topic, std::string(rest.substr(lengthPrefixBytes, length)));
        rest.remove_prefix(std::min(rest.size(), lengthPrefixBytes + length));
    }
    return jsonReply(200, {{"offset", offset}, {"endOffset", topic.end()}});
}

awaitable<whole_response> store_stand_in::read(topic_log &topic, std::uint64_t from, milliseconds wait)
{
    const time_point until = steadyNow() + wait;
    const std::uint64_t era = m_era;
    while (topic.end() == from && steadyNow() < until && m_era == era && m_mode != store_mode::Away) {
        net::steady_timer pause(m_loop.executor(), pollInterval);
        co_await pause.async_wait(awaitResult);
    }
    if (m_era != era || m_mode == store_mode::Away) {
        co_return whole_response{}; // closes the connection
    }
    if (from < topic.first || from > topic.end()) {
        co_return jsonReply(410, {{"firstOffset", topic.first}});
    }
    std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.first, 8);
    for (std::uint64_t offset = from; offset < topic.end(); ++offset) {
        const std::string &record = topic.records[offset - topic.first];
        body += bigEndian(record.size(), lengthPrefixBytes) + record;
    }
    co_return textReply(200, std::move(body), "application/octet-stream");
}

whole_response store_stand_in::newest(const topic_log &topic, const std::string &after) const
{
    boost::json::array items;
    auto next = topic.newest.upper_bound(after);
    for (; next != topic.newest.end() && items.size() < newestPageRecords; ++next) {
        const auto &[key, entry] = *next;
        items.push_back({{"key", key}, {"value", encodeBase64(entry.first)}, {"offset", entry.second}});
    }
    const bool hasMore = next != topic.newest.end();
    return jsonReply(200, {{"items", items}, {"hasMore", hasMore}, {"endOffset", topic.end()}});
}

awaitable<whole_response> store_stand_in::answer(const whole_request &request)
{
    whole_response response = co_await execute(request);
    const std::string era = m_eraHeader.value_or(std::to_string(m_era));
    if (!era.empty()) {
        response.headers.push_back({"Store-Era", era});
    }
    co_return response;
}

awaitable<whole_response> store_stand_in::execute(const whole_request &request)
{
    ++m_calls;
    if (m_mode == store_mode::Away) {
        co_return whole_response{}; // closes the connection
    }
    if (m_mode == store_mode::Busy) {
        co_return textReply(503, "busy\n");
    }
    if (m_mode == store_mode::Silent) {
        net::steady_timer pause(m_loop.executor(), silentDelay);
        co_await pause.async_wait(awaitResult);
    }
    topic_log &topic = m_topics[parameter(request.target, "topic")];
    const std::string_view path = pathOf(request.target);
    whole_response response = textReply(404, "unknown call\n");
    const auto expectedEnd = parseCount(parameter(request.target, "at"));
    if (path == "/log-append" && expectedEnd && *expectedEnd != topic.end()) {
        response = jsonReply(412, {{"endOffset", topic.end()}});
    } else if (path == "/log-append") {
        response = append(topic, request.body);
    } else if (path == "/log-newest") {
        response = newest(topic, parameter(request.target, "after"));
    } else if (path == "/log-read") {
        const milliseconds wait(numberParameter(request.target, "waitMs"));
        response = co_await read(topic, numberParameter(request.target, "from"), wait);
    }
    if (m_mode == store_mode::LosesAnswers) {
        response.status = 0;
    }
    co_return response;
}

} // namespace pistachioquay::testing
