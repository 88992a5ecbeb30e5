// Guards against frames that are cut, oversized or mixed up.
#include <catch2/catch.hpp>

#include <mutex>
#include <vector>

#include "connection/loop/frame_link.h"
#include "connection/loop/loop_fixture.h"
#include "testing/harness/raw_socket.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

struct received
{
    std::mutex mutex;
    std::vector<std::pair<int, std::string>> frames;
    std::string closedBecause;
};

template<class Predicate>
bool waitFor(received &seen, Predicate isDone)
{
    const time_point until = steadyNow() + longestWait;
    while (steadyNow() < until) {
        {
            const std::lock_guard guard(seen.mutex);
            if (isDone()) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

std::shared_ptr<frame_link> connectTo(loop_thread &loop, const endpoint &target, received &seen)
{
    link_handlers handlers;
    handlers.onFrame = [&seen](frame_link &, std::uint8_t kind, std::string_view payload) {
        const std::lock_guard guard(seen.mutex);
        seen.frames.emplace_back(kind, payload);
    };
    handlers.onClosed = [&seen](frame_link &, std::string_view reason) {
        const std::lock_guard guard(seen.mutex);
        seen.closedBecause = reason;
    };
    return loop.await(connectLink(loop.executor(), target, milliseconds(2000), std::move(handlers)));
}

} // namespace

TEST_CASE("frames arrive whole and in order, however the bytes are cut")
{
    raw_server server([](raw_connection &peer, int) {
        const std::string bytes =
            std::string("\0\0\0\3\1abc", 8) + std::string("\0\0\0\0\2", 5) + std::string("\0\0\0\1\3z", 6);
        for (const char byte : bytes) {
            peer.send({&byte, 1});
        }
        peer.receiveSome();
    });
    received seen;
    loop_thread loop;
    const auto link = connectTo(loop, server.address(), seen);
    REQUIRE(link);
    REQUIRE(waitFor(seen, [&] {
        return seen.frames.size() == 3;
    }));
    CHECK(seen.frames == std::vector<std::pair<int, std::string>>{{1, "abc"}, {2, ""}, {3, "z"}});
    loop.run([&] {
        link->close("test");
        return 0;
    });
}

TEST_CASE("a frame over the size limit ends the link, and a peer that goes away is noticed")
{
    raw_server server([](raw_connection &peer, int index) {
        if (index == 0) {
            peer.send(std::string("\xff\xff\xff\xff\1", 5));
            peer.receiveSome();
        }
    });
    loop_thread loop;
    for (const std::string_view wanted : {"size limit", "End of file"}) {
        received seen;
        const auto link = connectTo(loop, server.address(), seen);
        REQUIRE(link);
        CHECK(waitFor(seen, [&] {
            return seen.closedBecause.find(wanted) != std::string::npos;
        }));
    }
}

TEST_CASE("a closed port gives no link")
{
    const refusing_port closed;
    received seen;
    loop_thread loop;
    CHECK(connectTo(loop, closed.address(), seen) == nullptr);
}
