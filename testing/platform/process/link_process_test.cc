// Tests the links between nodes with real processes: large responses that fill the link of a VM, beside small ones and
// a new version of the configuration.
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>

#include "base/milliseconds.h"
#include "testing/platform/platform_mesh.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

constexpr milliseconds startTimeout{8000};
constexpr milliseconds configApplyLimit{2000}; // as in the settings of the nodes
constexpr milliseconds targetLatency{1000}; // of all routes
constexpr double slowLinkMbps = 11;
constexpr double slowLinkBytesPerMs = slowLinkMbps * 125;
constexpr milliseconds refusalPause{50}; // of a caller after a refusal
constexpr std::size_t downloadBytes = 90'000;

const std::string download = "/orders/file?run=100&bytes=" + std::to_string(downloadBytes);

struct download_counts
{
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> other = 0; // neither the whole body nor a refusal with a time to come back
};

// Asks for downloads with twelve callers until `until`; each asks again as soon as it is served, or after a pause.
void loadLink(platform_mesh &mesh, time_point until, download_counts &counts)
{
    std::vector<std::future<void>> callers;
    constexpr int callerCount = 12;
    callers.reserve(callerCount);
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.push_back(std::async(std::launch::async, [&, caller] {
            for (int index = 0; steadyNow() < until; ++index) {
                const std::string id = "d-" + std::to_string(caller) + "-" + std::to_string(index);
                const caller_result got =
                    mesh.send("s1", {.id = id, .target = download, .timeLeft = milliseconds(2500)});
                const bool isWhole = got.response.status == 200 && got.response.body.size() == downloadBytes;
                const bool isRefused =
                    got.response.status == 503 && findHeader(got.response.headers, "Retry-After").has_value();
                ++(isWhole ? counts.served : isRefused ? counts.refused : counts.other);
                std::this_thread::sleep_for(isRefused ? refusalPause : milliseconds(0));
            }
        }));
    }
    std::ranges::for_each(callers, &std::future<void>::get);
}

} // namespace

TEST_CASE("downloads that fill the link of a VM delay neither small responses nor a new version")
{
    // a1 has the faster link, so it reads the store, and s1 gets new versions over the link that is full.
    platform_mesh mesh({{.name = "a1", .service = "orders", .dataCentre = "dc-1", .linkMbps = slowLinkMbps},
                        {.name = "s1", .service = "shop", .dataCentre = "dc-1", .linkMbps = slowLinkMbps - 1}});
    const std::vector<route_plan> routes = {{"/orders/", "orders"}, {"/small/", "orders"}};
    mesh.publish(1, routes);
    REQUIRE(mesh.waitReady(startTimeout));
    const auto statusOf = [&mesh](const std::string &target) {
        static int count = 0;
        return mesh.send("s1", {.id = "s-" + std::to_string(++count), .target = target}).response.status;
    };
    REQUIRE(waitUntil(
        [&] {
            return statusOf(download) == 200 && statusOf("/small/1") == 200;
        },
        startTimeout));
    download_counts counts;
    const time_point loadedFrom = steadyNow();
    auto load = std::async(std::launch::async, [&] {
        loadLink(mesh, loadedFrom + seconds(6), counts);
    });
    std::this_thread::sleep_for(seconds(2));

    std::vector<double> smallMs;
    for (int index = 0; index < 40; ++index) {
        const time_point sentAt = steadyNow();
        CHECK(statusOf("/small/1") == 200);
        smallMs.push_back(msBetween(sentAt, steadyNow()));
        std::this_thread::sleep_for(milliseconds(20));
    }
    // A queue of downloads up to their target would take about a second. The tenth allows for a busy machine.
    std::ranges::sort(smallMs);
    CHECK(smallMs[smallMs.size() * 9 / 10] < static_cast<double>(targetLatency.count()) / 5);

    std::vector<route_plan> changed = routes;
    for (int index = 0; index < 2000; ++index) {
        changed.push_back({"/r" + std::to_string(index * 7919 % 100'003) + "/", "orders"});
    }
    changed.push_back({"/added/", "orders"});
    mesh.publish(2, changed);
    const time_point publishedAt = steadyNow();
    CHECK(waitUntil(
        [&] {
            return statusOf("/added/1") == 200;
        },
        configApplyLimit));
    CHECK(msBetween(publishedAt, steadyNow()) < static_cast<double>(configApplyLimit.count()));

    load.get();
    INFO("served " << counts.served << ", refused " << counts.refused);
    CHECK(counts.other == 0);
    CHECK(counts.refused > 0);
    const double carriedBytes = slowLinkBytesPerMs * msBetween(loadedFrom, steadyNow());
    CHECK(static_cast<double>(counts.served * downloadBytes) <= carriedBytes);
    CHECK(static_cast<double>(counts.served * downloadBytes) >= carriedBytes / 2);
    CHECK(mesh.log("a1").find("link-booked") != std::string::npos);
}
