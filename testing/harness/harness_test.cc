// Guards process tests against false results of their own tools: processes that outlive a test, ports that are not
// free, and settings that the daemon would refuse.
#include <catch2/catch.hpp>

#include <unistd.h>

#include <set>

#include "testing/harness/cluster.h"
#include "testing/harness/http.h"
#include "testing/harness/http_responses.h"

using namespace pistachioquay;

namespace {
constexpr milliseconds bound(10'000);
} // namespace

TEST_CASE("a started platform log responds and ends with 0 on SIGTERM")
{
    const temp_folder folder;
    auto log = requireValue([&] {
        return startPlatformLog(folder, "log");
    });
    CHECK(httpPost(log.address, "/v1/streams/config/records", "x").body == R"({"offset": 1})");
    CHECK(log.process.send(SIGTERM));
    CHECK(log.process.waitForExit(bound) == exit_status{0, 0});
    CHECK_FALSE(log.process.isRunning());
}

TEST_CASE("a stopped process neither responds nor counts as ended, and goes on after SIGCONT")
{
    const temp_folder folder;
    auto worker = requireValue([&] {
        return startUpstream(folder, "worker");
    });
    CHECK(worker.process.send(SIGSTOP));
    test_call call;
    call.address = worker.address;
    call.path = "/health";
    call.timeout = milliseconds(100);
    CHECK_FALSE(httpCall(call).isWhole);
    CHECK(worker.process.isRunning());
    CHECK(worker.process.send(SIGCONT));
    CHECK(waitForHttp(worker.address, "/health", 200, bound));
}

TEST_CASE("a process does not outlive its object")
{
    const temp_folder folder;
    pid_t pid = 0;
    {
        const auto worker = requireValue([&] {
            return startUpstream(folder, "worker");
        });
        pid = worker.process.pid();
        REQUIRE(::kill(pid, 0) == 0);
    }
    CHECK(::kill(pid, 0) != 0);
}

TEST_CASE("a killed process reports its signal")
{
    const temp_folder folder;
    auto worker = requireValue([&] {
        return startUpstream(folder, "worker");
    });
    CHECK(worker.process.send(SIGKILL));
    CHECK(worker.process.waitForExit(bound) == exit_status{0, SIGKILL});
    CHECK_FALSE(worker.process.send(SIGTERM));
}

TEST_CASE("a program that is missing or cannot listen is an error with its log")
{
    const temp_folder folder;
    CHECK_FALSE(attempt([&] {
        return startProcess({folder.file("missing"), {}, folder.file("log")});
    }));
    const auto first = requireValue([&] {
        return startUpstream(folder, "first");
    });
    auto second = requireValue([&] {
        return startProcess(
            {programPath("testing/upstream/upstream"), {"--address=" + toText(first.address)}, folder.file("second")});
    });
    CHECK(second.waitForExit(bound) == exit_status{1, 0});
    CHECK(second.log().find("cannot listen") != std::string::npos);
}

TEST_CASE("no free address is given twice")
{
    constexpr std::size_t count = 50;
    std::set<std::uint16_t> seen;
    for (std::size_t round = 0; round < 4; ++round) {
        for (const endpoint &address : freeAddresses(count)) {
            CHECK(seen.insert(address.port).second);
        }
    }
}

TEST_CASE("a child has a process group of its own, so that the end of the tests' shell does not end it when paused")
{
    const temp_folder folder;
    auto child = requireValue([&] {
        return startProcess({"/bin/sleep", {"30"}, folder.file("log")});
    });
    CHECK(waitUntil(
        [&] {
            return getpgid(child.pid()) == child.pid();
        },
        milliseconds(5000)));
}

TEST_CASE("a program that gives its ports back does not run out of them")
{
    constexpr std::size_t count = 200;
    for (std::size_t round = 0; round < 6; ++round) {
        const address_lease lease(count);
        CHECK(lease[count - 1].port != 0);
    }
    CHECK_THROWS_AS(freeAddresses(10'000), std::runtime_error);
}

TEST_CASE("node settings survive the way to TOML and back")
{
    node_settings settings = makeNodeSettings("be-1", "orders", 18, freeAddress(), freeAddress());
    settings.seeds = freeAddresses(2);
    settings.drainTimeout = milliseconds(1234);
    const node_settings read = requireValue([&] {
        return readNodeSettings(toToml(settings));
    });
    CHECK(read == settings);
}

TEST_CASE("an HTTP call returns status, headers in lower case, and body")
{
    const temp_folder folder;
    const auto worker = requireValue([&] {
        return startUpstream(folder, "worker");
    });
    const http_answer answer = httpPost(worker.address, "/x", "body", {{"X-Pq-Request-Id", "r1"}});
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(headerOf(answer, "x-pq-request-id") == "r1");
    CHECK(answer.body.find(R"("bytes":4)") != std::string::npos);
}

TEST_CASE("an HTTP call whose response ends early, wherever it does, is not whole")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n";
    const std::string response = GENERATE_COPY(as<std::string>(),
                                               head + "Connection: close\r\n\r\n",
                                               head + "Content-Length: 2\r\n\r\nok",
                                               "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 0\r\n\r\n");
    testing::raw_server server(testing::sendsPartByIndex(response));
    for (std::size_t sentBytes = 0; sentBytes <= response.size(); ++sentBytes) {
        CAPTURE(response, sentBytes);
        CHECK(httpGet(server.address(), "/").isWhole == (sentBytes == response.size()));
    }
}
