// Guards tests of the system against a stand-in worker whose record misses a run, or whose faults do not happen.
#include <catch2/catch.hpp>

#include <thread>

#include "base/hash.h"
#include "testing/harness/cluster.h"
#include "testing/harness/http.h"
#include "testing/harness/json.h"
#include "testing/upstream/behaviour.h"
#include "testing/upstream/run_record.h"
#include "testing/upstream/slots.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds bound(10'000);

class started_worker
{
public:
    explicit started_worker(const std::vector<std::string> &arguments = {})
        : m_worker(requireValue([&] {
            return startUpstream(m_folder, "worker", arguments);
        }))
    {
    }
    const endpoint &address() const
    {
        return m_worker.address;
    }
    child_process &process()
    {
        return m_worker.process;
    }
    const temp_folder &folder() const
    {
        return m_folder;
    }
    void setBehaviour(std::string_view json) const
    {
        REQUIRE(httpPost(address(), "/test/behaviour", json).status == 200);
    }
    std::vector<run_entry> record() const
    {
        const auto entries = entriesFromJson(httpGet(address(), "/test/record").body);
        REQUIRE(entries);
        return *entries;
    }
    std::vector<run_entry> recordFile() const
    {
        return readRecordFile(m_worker.recordFile);
    }
    std::int64_t load(const char *key) const
    {
        return integerIn(parseJson(httpGet(address(), "/load").body).get(), key, -1);
    }

private:
    temp_folder m_folder;
    stand_in m_worker;
};

test_call callOf(const started_worker &worker, const http_headers &headers, milliseconds timeout = bound)
{
    test_call call;
    call.method = "POST";
    call.address = worker.address();
    call.path = "/work";
    call.headers = headers;
    call.timeout = timeout;
    return call;
}

// Starts a call that runs for `serviceMs` and waits until it holds a slot.
std::jthread runInBackground(const started_worker &worker, const std::string &serviceMs, http_answer &answer)
{
    std::jthread caller([&worker, &answer, serviceMs] {
        answer = httpCall(callOf(worker, {{"X-Test-Service-Ms", serviceMs}}));
    });
    REQUIRE(waitUntil(
        [&] {
            return worker.load("running") == 1;
        },
        bound));
    return caller;
}

} // namespace

TEST_CASE("a run is recorded with its ids and key, in memory and in the file")
{
    const started_worker worker;
    const http_headers headers = {{"X-Test-Request-Id", "t1"}, {"X-Pq-Request-Id", "n1"}, {"Idempotency-Key", "k1"}};
    const http_answer answer = httpPost(worker.address(), "/orders", "abc", headers);
    CHECK(headerOf(answer, "x-pq-request-id") == "n1");
    CHECK(headerOf(answer, "x-test-request-id") == "t1");
    const std::vector<run_entry> entries = worker.record();
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].request == run_request{"t1", "n1", "k1", "POST", "/orders"});
    REQUIRE(entries[0].end);
    CHECK(entries[0].end->status == 200);
    CHECK(entries[0].end->bytes == 3);
    CHECK(entries[0].end->isWhole);
    CHECK_FALSE(entries[0].end->isCancelled);
    CHECK(worker.recordFile() == entries);
}

TEST_CASE("the record survives a crash, and shows the runs that the crash cut off")
{
    started_worker worker;
    CHECK(httpCall(callOf(worker, {{"X-Test-Request-Id", "before"}})).isWhole);
    http_answer cut;
    {
        const std::jthread other = runInBackground(worker, "5000", cut);
        const http_answer crashed = httpCall(callOf(worker, {{"X-Test-Request-Id", "bad"}, {"X-Test-Crash", "1"}}));
        CHECK(crashed.status == 0);
    }
    CHECK_FALSE(cut.isWhole);
    CHECK(worker.process().waitForExit(bound) == exit_status{3, 0});
    const std::vector<run_entry> entries = worker.recordFile();
    REQUIRE(entries.size() == 3);
    CHECK(entries[0].end);
    CHECK_FALSE(entries[1].end);
    CHECK(entries[2].request.requestId == "bad");
    CHECK_FALSE(entries[2].end);
}

TEST_CASE("a restarted worker appends to the record of the crashed one")
{
    started_worker worker;
    httpCall(callOf(worker, {{"X-Test-Request-Id", "one"}}));
    worker.process().kill();
    const auto again = requireValue([&] {
        return startUpstreamAt(worker.folder(), "worker", worker.address());
    });
    httpCall(callOf(worker, {{"X-Test-Request-Id", "two"}}));
    const std::vector<run_entry> entries = worker.recordFile();
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].end);
    CHECK(entries[1].request.requestId == "two");
}

TEST_CASE("a large upload is counted and hashed whole")
{
    constexpr std::size_t bytes = 20'000'000;
    const started_worker worker;
    std::string body(bytes, 'x');
    body[bytes / 2] = 'y';
    const http_answer answer = httpPost(worker.address(), "/photos", body);
    const json_holder told = parseJson(answer.body);
    CHECK(integerIn(told.get(), "bytes", 0) == bytes);
    CHECK(textIn(told.get(), "hash", "") == toHex(hashBytes(body)));
}

TEST_CASE("a request beyond the slots waits or is refused without running")
{
    const bool isWaiting = GENERATE(true, false);
    const started_worker worker({"--slots=1", isWaiting ? "--overflow=wait" : "--overflow=refuse"});
    http_answer first;
    http_answer second;
    {
        const std::jthread caller = runInBackground(worker, "1000", first);
        second = httpCall(callOf(worker, {{"X-Test-Request-Id", "second"}}));
    }
    CHECK(first.status == 200);
    CHECK(second.status == (isWaiting ? 200 : 503));
    const std::vector<run_entry> entries = worker.record();
    REQUIRE(entries.size() == (isWaiting ? 2 : 1));
    if (isWaiting) {
        CHECK(entries[1].startMs >= entries[0].end->timeMs);
    }
}

TEST_CASE("a caller that goes away cancels its run and frees the slot")
{
    const started_worker worker({"--slots=1"});
    CHECK_FALSE(httpCall(callOf(worker, {{"X-Test-Service-Ms", "60000"}}, milliseconds(200))).isWhole);
    CHECK(waitUntil(
        [&] {
            return worker.load("running") == 0;
        },
        bound));
    const std::vector<run_entry> entries = worker.record();
    REQUIRE(entries.size() == 1);
    REQUIRE(entries[0].end);
    CHECK(entries[0].end->isCancelled);
    CHECK(httpCall(callOf(worker, {})).status == 200);
}

TEST_CASE("a caller that goes away while it waits for a slot leaves no run")
{
    const started_worker worker({"--slots=1"});
    http_answer first;
    const std::jthread caller = runInBackground(worker, "1000", first);
    CHECK_FALSE(httpCall(callOf(worker, {}, milliseconds(100))).isWhole);
    CHECK(waitUntil(
        [&] {
            return worker.load("waiting") == 0;
        },
        bound));
    CHECK(worker.record().size() == 1);
}

TEST_CASE("a truncated response is not whole, with and without a length")
{
    const started_worker worker;
    worker.setBehaviour(R"({"truncate": true})");
    const http_answer byLength = httpCall(callOf(worker, {}));
    CHECK(byLength.status == 200);
    CHECK_FALSE(byLength.isWhole);
    CHECK_FALSE(byLength.body.empty());
    worker.setBehaviour(R"({"chunked": true})");
    const http_answer byChunks = httpCall(callOf(worker, {}));
    CHECK(byChunks.status == 200);
    CHECK_FALSE(byChunks.isWhole);
    worker.setBehaviour(R"({"truncate": false})");
    CHECK(httpCall(callOf(worker, {})).isWhole);
}

TEST_CASE("responses stall, carry a foreign id or a status on demand")
{
    const started_worker worker;
    worker.setBehaviour(R"({"stall_ms": 300})");
    CHECK(httpCall(callOf(worker, {})).time >= milliseconds(300));
    worker.setBehaviour(R"({"stall_ms": 0, "swap_ids": true, "status": 500})");
    const http_answer swapped = httpCall(callOf(worker, {{"X-Pq-Request-Id", "n1"}}));
    CHECK(headerOf(swapped, "x-pq-request-id") == "n1-other");
    CHECK(swapped.status == 500);
    CHECK(httpPost(worker.address(), "/test/behaviour", R"({"slow": 2})").status == 400);
}

TEST_CASE("slowness and a cold start lengthen service times")
{
    const started_worker worker({"--cold-start-ms=60000", "--cold-factor=10"});
    CHECK(httpCall(callOf(worker, {{"X-Test-Service-Ms", "20"}})).time >= milliseconds(200));
    worker.setBehaviour(R"({"slowness": 3})");
    CHECK(httpCall(callOf(worker, {{"X-Test-Service-Ms", "10"}})).time >= milliseconds(300));
}

TEST_CASE("load reports are true, idle or late")
{
    const started_worker worker;
    http_answer answer;
    const std::jthread caller = runInBackground(worker, "2000", answer);
    worker.setBehaviour(R"({"load": "idle"})");
    CHECK(worker.load("running") == 0);
    worker.setBehaviour(R"({"load": "late", "load_lag_ms": 60000})");
    CHECK(worker.load("running") == 0);
    worker.setBehaviour(R"({"load": "true"})");
    CHECK(worker.load("running") == 1);
}

TEST_CASE("SIGTERM lets the running request end, refuses new ones and exits with 0")
{
    started_worker worker;
    http_answer running;
    {
        const std::jthread caller = runInBackground(worker, "1500", running);
        CHECK(worker.process().send(SIGTERM));
        CHECK(waitForHttp(worker.address(), "/health", 503, bound));
        CHECK(httpCall(callOf(worker, {})).status == 503);
    }
    CHECK(running.status == 200);
    CHECK(running.isWhole);
    CHECK(worker.process().waitForExit(bound) == exit_status{0, 0});
    CHECK(worker.recordFile().size() == 1);
}

TEST_CASE("waiting requests get slots in the order of arrival")
{
    slot_pool slots(1, true);
    const auto stays = [] {
        return false;
    };
    REQUIRE(slots.acquire(stays) == slot_answer::Acquired);
    std::vector<int> order;
    std::vector<std::jthread> waiters;
    waiters.reserve(3);
    for (int index = 0; index < 3; ++index) {
        waiters.emplace_back([&, index] {
            slots.acquire(stays);
            order.push_back(index);
            slots.release();
        });
        REQUIRE(waitUntil(
            [&] {
                return slots.load().waiting == static_cast<std::uint32_t>(index + 1);
            },
            bound));
    }
    slots.release();
    waiters.clear();
    CHECK(order == std::vector<int>{0, 1, 2});
}

TEST_CASE("service times repeat for a seed and keep their mean")
{
    constexpr int draws = 20'000;
    for (const service_shape shape : {service_shape::Fixed, service_shape::Exponential, service_shape::LogNormal}) {
        service_times one({10, shape}, 7);
        service_times two({10, shape}, 7);
        double sum = 0;
        for (int count = 0; count < draws; ++count) {
            const duration time = one.draw();
            REQUIRE(time == two.draw());
            sum += std::chrono::duration<double, std::milli>(time).count();
        }
        CHECK(sum / draws == Approx(10).epsilon(0.05));
    }
}
