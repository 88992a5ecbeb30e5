// Guards the command line against taking a broken page of a node for its status.
#include <catch2/catch.hpp>

#include <atomic>

#include "pistachioquay/access.h"
#include "testing/harness/raw_socket.h"

using namespace pistachioquay;

TEST_CASE("a page that ends early, wherever it does, or has no length or an invalid head is an error")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    std::vector<std::string> pages = {"HTTP/1.1 200 OK\r\n\r\n{}",
                                      "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
                                      "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
                                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"};
    for (std::size_t sentBytes = 0; sentBytes < whole.size(); ++sentBytes) {
        pages.push_back(whole.substr(0, sentBytes));
    }
    std::atomic<std::size_t> page = 0;
    testing::raw_server node([&](testing::raw_connection &peer, int) {
        peer.receiveUntil("\r\n\r\n");
        peer.send(page < pages.size() ? pages[page] : whole);
    });
    const cli_access access = makeAccess({});
    for (; page < pages.size(); ++page) {
        CAPTURE(pages[page]);
        const auto status = attempt([&] {
            return access.fetchStatus(node.address());
        });
        REQUIRE_FALSE(status);
        CHECK(status.failure().kind == error_kind::Unavailable);
        CHECK_FALSE(attempt([&] {
            return access.fetchReport(node.address());
        }));
    }
    const auto status = attempt([&] {
        return access.fetchStatus(node.address());
    });
    REQUIRE(status);
    CHECK(*status == "{}");
}
