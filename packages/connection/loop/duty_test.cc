// Guards against an unexpected error that ends the process or silently ends one of its duties.
#include <catch2/catch.hpp>

#include <stdexcept>
#include <vector>

#include <boost/asio/post.hpp>

#include "connection/loop/duty.h"

using namespace pistachioquay;

TEST_CASE("a duty that throws is reported and started again")
{
    net::io_context loop{1};
    int starts = 0;
    std::vector<std::string> reports;
    spawnDuty(
        loop.get_executor(),
        "reader",
        [&]() -> awaitable<void> {
            if (++starts < 3) {
                throw std::length_error("too long");
            }
            co_return;
        },
        [&](std::string_view name, std::string_view error) {
            reports.push_back(std::string(name) + ": " + std::string(error));
        });
    loop.run_for(seconds(10));
    CHECK(starts == 3);
    CHECK(reports == std::vector<std::string>{"reader: too long", "reader: too long"});
}

TEST_CASE("a handler that throws does not end the loop")
{
    net::io_context loop{1};
    bool hasRun = false;
    std::vector<std::string> reports;
    net::post(loop, [] {
        throw std::runtime_error("unexpected");
    });
    net::post(loop, [&] {
        hasRun = true;
    });
    runLoop(loop, [&](std::string_view, std::string_view error) {
        reports.emplace_back(error);
    });
    CHECK(hasRun);
    CHECK(reports == std::vector<std::string>{"unexpected"});
}
