// Guards against a client that reports a lost append as refused, or takes a damaged response for records. Each fault of
// the platform log is switched on in the stand-in.
#include <catch2/catch.hpp>

#include <thread>

#include "connection/log_client/log_client.h"
#include "testing/harness/cluster.h"
#include "testing/harness/http.h"
#include "testing/harness/raw_socket.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds noWait(0);
constexpr milliseconds bound(10'000);

class started_log
{
public:
    explicit started_log(const std::vector<std::string> &arguments = {})
        : m_log(requireValue([&] {
            return startPlatformLog(m_folder, "log", arguments);
        }))
    {
    }
    log_target target() const
    {
        return {m_log.address, milliseconds(5000)};
    }
    void setFaults(std::string_view json) const
    {
        REQUIRE(httpPost(m_log.address, "/test/faults", json).status == 200);
    }
    stand_in &process()
    {
        return m_log;
    }

private:
    temp_folder m_folder;
    stand_in m_log;
};

auto append(const log_target &target, std::string_view data)
{
    return attempt([&] {
        return appendRecord(target, "config", data);
    });
}

auto read(const log_target &target, std::uint64_t from, std::uint32_t max = 100, milliseconds wait = noWait)
{
    return attempt([&] {
        return readRecords(target, "config", from, max, wait);
    });
}

auto readLast(const log_target &target)
{
    return attempt([&] {
        return readLastRecord(target, "config");
    });
}

void checkNotAppended(const outcome<std::uint64_t> &tried, error_kind kind)
{
    REQUIRE_FALSE(tried);
    INFO(describe(tried.failure()));
    CHECK(tried.failure().kind == kind);
    CHECK(isCertainlyNotAppended(tried.failure()));
    CHECK_FALSE(tried.failure().remedy.empty());
}

void checkMaybeAppended(const outcome<std::uint64_t> &tried, error_kind kind)
{
    REQUIRE_FALSE(tried);
    INFO(describe(tried.failure()));
    CHECK(tried.failure().kind == kind);
    CHECK_FALSE(isCertainlyNotAppended(tried.failure()));
    CHECK_FALSE(tried.failure().remedy.empty());
}

} // namespace

TEST_CASE("appended records come back with contiguous offsets and all bytes")
{
    const started_log log;
    const std::string binary("\0\xff\n\"base64\"", 11);
    CHECK(*append(log.target(), "one") == 1);
    CHECK(*append(log.target(), binary) == 2);
    CHECK(*append(log.target(), "") == 3);
    const auto batch = read(log.target(), 1);
    REQUIRE(batch);
    CHECK(batch->first == 1);
    CHECK(batch->next == 4);
    REQUIRE(batch->records.size() == 3);
    CHECK(batch->records[0].data == "one");
    CHECK(batch->records[1].data == binary);
    CHECK(batch->records[2].data.empty());
    CHECK(batch->records[2].timeMs > 0);
}

TEST_CASE("any bytes survive the way through the log")
{
    const started_log log;
    const bool isKept = holds("an appended record is read back unchanged", 100, [&] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const auto offset = append(log.target(), bytes);
        RC_ASSERT(static_cast<bool>(offset));
        const auto batch = read(log.target(), *offset, 1);
        RC_ASSERT(static_cast<bool>(batch));
        RC_ASSERT(batch->records.front().data == bytes);
    });
    CHECK(isKept);
}

TEST_CASE("streams have offsets of their own")
{
    const started_log log;
    CHECK(*append(log.target(), "one") == 1);
    const auto other = attempt([&] {
        return appendRecord(log.target(), "snapshots", "two");
    });
    REQUIRE(other);
    CHECK(*other == 1);
}

TEST_CASE("the last record is found, and an empty stream has none")
{
    const started_log log;
    const auto empty = readLast(log.target());
    REQUIRE(empty);
    CHECK(*empty == log_batch{1, 1, {}});
    CHECK(append(log.target(), "one"));
    CHECK(append(log.target(), "two"));
    const auto last = readLast(log.target());
    REQUIRE(last);
    REQUIRE(last->records.size() == 1);
    CHECK(last->records.front().offset == 2);
    CHECK(last->records.front().data == "two");
}

TEST_CASE("a read returns at most the requested number of records")
{
    const started_log log;
    for (int count = 0; count < 5; ++count) {
        CHECK(append(log.target(), "record"));
    }
    const auto batch = read(log.target(), 2, 2);
    REQUIRE(batch);
    CHECK(batch->records.size() == 2);
    CHECK(batch->records.front().offset == 2);
    CHECK(batch->next == 6);
}

TEST_CASE("a long poll returns when a record arrives, and empty after its wait")
{
    const started_log log;
    const auto none = read(log.target(), 1, 10, milliseconds(50));
    REQUIRE(none);
    CHECK(none->records.empty());
    const std::jthread appender([&] {
        std::this_thread::sleep_for(milliseconds(100));
        append(log.target(), "late");
    });
    const time_point start = steadyNow();
    const auto batch = read(log.target(), 1, 10, milliseconds(30'000));
    REQUIRE(batch);
    CHECK(batch->records.size() == 1);
    CHECK(steadyNow() - start < bound);
}

TEST_CASE("a log that is not there certainly appended nothing")
{
    const log_target target{freeAddress(), milliseconds(1000)};
    checkNotAppended(append(target, "one"), error_kind::Unavailable);
    CHECK(read(target, 1).failure().kind == error_kind::Unavailable);
}

TEST_CASE("an outage certainly appends nothing and ends long polls")
{
    const started_log log;
    const std::jthread fault([&] {
        std::this_thread::sleep_for(milliseconds(100));
        log.setFaults(R"({"outage": true})");
    });
    const auto poll = read(log.target(), 1, 10, milliseconds(30'000));
    REQUIRE_FALSE(poll);
    CHECK(poll.failure().kind == error_kind::Unavailable);
    checkNotAppended(append(log.target(), "one"), error_kind::Unavailable);
    log.setFaults(R"({"outage": false})");
    CHECK(*append(log.target(), "one") == 1);
}

TEST_CASE("a port that is closed for a time certainly appended nothing, and the log keeps its records")
{
    const started_log log;
    CHECK(append(log.target(), "one"));
    log.setFaults(R"({"refuse_ms": 2000})");
    CHECK(waitUntil(
        [&] {
            return !waitForPort(log.target().address, noWait);
        },
        bound));
    checkNotAppended(append(log.target(), "two"), error_kind::Unavailable);
    REQUIRE(waitForPort(log.target().address, bound));
    CHECK(*append(log.target(), "two") == 2);
}

TEST_CASE("a slow log is a timeout, and its append may have taken effect")
{
    const started_log log;
    log.setFaults(R"({"delay_ms": 1300})");
    const log_target impatient{log.target().address, milliseconds(900)};
    checkMaybeAppended(append(impatient, "one"), error_kind::Timeout);
    const auto slowRead = read(impatient, 1);
    REQUIRE_FALSE(slowRead);
    INFO(describe(slowRead.failure()));
    CHECK(slowRead.failure().kind == error_kind::Timeout);
    log.setFaults(R"({"delay_ms": 0})");
    const auto later = read(log.target(), 1, 10, bound);
    REQUIRE(later);
    CHECK(later->records.size() == 1);
}

TEST_CASE("a lost response is a lost connection, and the append took effect")
{
    const started_log log;
    log.setFaults(R"({"lose_responses": 1})");
    checkMaybeAppended(append(log.target(), "one"), error_kind::Io);
    const auto batch = read(log.target(), 1);
    REQUIRE(batch);
    REQUIRE(batch->records.size() == 1);
    CHECK(batch->records.front().data == "one");
    CHECK(*append(log.target(), "two") == 2);
}

TEST_CASE("a response that ends early, wherever it does, leaves the append open")
{
    const std::string response = GENERATE(as<std::string>(),
                                          "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\": 1}",
                                          "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
                                          "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno");
    const bool isReset = GENERATE(false, true);
    std::size_t sentBytes = 0;
    testing::raw_server server([&](testing::raw_connection &peer, int) {
        if (!peer.receiveUntil("\r\n\r\nrecord").empty()) { // else the client has only tried to connect
            peer.send(response.substr(0, sentBytes));
            if (isReset) {
                peer.reset();
            }
        }
    });
    for (; sentBytes < response.size(); ++sentBytes) {
        CAPTURE(response, isReset, sentBytes);
        checkMaybeAppended(append({server.address(), milliseconds(5000)}, "record"), error_kind::Io);
    }
}

TEST_CASE("a log that is killed while it works leaves the append open")
{
    started_log log;
    log.setFaults(R"({"delay_ms": 5000})");
    const std::jthread killer([&] {
        std::this_thread::sleep_for(milliseconds(200));
        log.process().process.send(SIGKILL);
    });
    checkMaybeAppended(append(log.target(), "one"), error_kind::Io);
}

TEST_CASE("rejected, held and limited appends are certainly not in the log")
{
    const started_log log;
    log.setFaults(R"({"reject_appends": true})");
    checkNotAppended(append(log.target(), "one"), error_kind::InvalidArgument);
    log.setFaults(R"({"reject_appends": false, "read_only": true})");
    checkNotAppended(append(log.target(), "one"), error_kind::Unavailable);
    CHECK(read(log.target(), 1));
    log.setFaults(R"({"read_only": false, "appends_per_s": 0.001})");
    CHECK(append(log.target(), "one"));
    checkNotAppended(append(log.target(), "two"), error_kind::Unavailable);
    CHECK(readLast(log.target())->next == 2);
}

TEST_CASE("a record at the limit is accepted, and one above it is refused before it is sent")
{
    const started_log log;
    CHECK(append(log.target(), std::string(maxRecordBytes, 'x')));
    checkNotAppended(append(log.target(), std::string(maxRecordBytes + 1, 'x')), error_kind::InvalidArgument);
    const auto large = read(log.target(), 1);
    REQUIRE(large);
    CHECK(large->records.front().data.size() == maxRecordBytes);
}

TEST_CASE("wrong arguments are refused before anything is sent")
{
    const log_target target{freeAddress(), milliseconds(1000)};
    for (const std::string_view name : {"", "a/b", "a?b", "Config", "a b"}) {
        const auto tried = attempt([&] {
            return appendRecord(target, name, "x");
        });
        checkNotAppended(tried, error_kind::InvalidArgument);
    }
    CHECK(read(target, 0).failure().kind == error_kind::InvalidArgument);
    CHECK(read(target, 1, 0).failure().kind == error_kind::InvalidArgument);
}

TEST_CASE("responses that are cut off or no JSON are corrupt, not empty")
{
    const started_log log;
    CHECK(append(log.target(), "one"));
    log.setFaults(R"({"truncate": true})");
    CHECK(read(log.target(), 1).failure().kind == error_kind::Corrupt);
    log.setFaults(R"({"truncate": false, "garbage": true})");
    CHECK(read(log.target(), 1).failure().kind == error_kind::Corrupt);
    CHECK(readLast(log.target()).failure().kind == error_kind::Corrupt);
    checkMaybeAppended(append(log.target(), "two"), error_kind::Corrupt);
}

TEST_CASE("expired records show as a gap between the requested and the first offset")
{
    const started_log log({"--retention-ms=200"});
    CHECK(append(log.target(), "old"));
    CHECK(append(log.target(), "old"));
    CHECK(waitUntil(
        [&] {
            const auto batch = read(log.target(), 1);
            return batch && batch->first == 3 && batch->records.empty();
        },
        bound));
    CHECK(*readLast(log.target()) == log_batch{3, 3, {}});
    CHECK(*append(log.target(), "new") == 3);
}

TEST_CASE("a position beyond the end of the stream is corrupt")
{
    const started_log log;
    CHECK(read(log.target(), 7).failure().kind == error_kind::Corrupt);
}

TEST_CASE("many threads can use the client at once without losing or doubling a record")
{
    constexpr std::size_t threads = 8;
    constexpr std::size_t appendsEach = 20;
    const started_log log;
    {
        std::vector<std::jthread> appenders;
        appenders.reserve(threads);
        for (std::size_t index = 0; index < threads; ++index) {
            appenders.emplace_back([&] {
                for (std::size_t count = 0; count < appendsEach; ++count) {
                    append(log.target(), "record");
                }
            });
        }
    }
    const auto batch = read(log.target(), 1, 1000);
    REQUIRE(batch);
    CHECK(batch->records.size() == threads * appendsEach);
}
