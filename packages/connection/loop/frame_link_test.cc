// Guards against frames that are truncated, oversized or out of order.
#include <catch2/catch.hpp>

#include <atomic>

#include <mutex>
#include <stdexcept>
#include <vector>

#include "connection/loop/frame_link.h"
#include "connection/loop/loop_fixture.h"
#include "testing/harness/raw_socket.h"

using namespace pistachioquay;
using namespace pistachioquay::testing;

namespace {

struct received_frames
{
    std::mutex mutex;
    std::vector<std::pair<int, std::string>> frames;
    std::string closeReason;
};

template<class Predicate>
bool waitFor(received_frames &received, Predicate isDone)
{
    const time_point until = steadyNow() + longestWait;
    while (steadyNow() < until) {
        {
            const std::lock_guard guard(received.mutex);
            if (isDone()) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

std::shared_ptr<frame_link> connectTo(loop_thread &loop, const endpoint &target, received_frames &received)
{
    link_handlers handlers;
    handlers.onFrame = [&received](frame_link &, std::uint8_t kind, std::string_view payload) {
        const std::lock_guard guard(received.mutex);
        received.frames.emplace_back(kind, payload);
    };
    handlers.onClosed = [&received](frame_link &, std::string_view reason) {
        const std::lock_guard guard(received.mutex);
        received.closeReason = reason;
    };
    return loop.await(connectLink(loop.executor(), target, milliseconds(2000), std::move(handlers)));
}

} // namespace

TEST_CASE("frames that arrive one byte at a time are reassembled in order")
{
    raw_server server([](raw_connection &peer, int) {
        const std::string bytes =
            std::string("\0\0\0\3\1abc", 8) + std::string("\0\0\0\0\2", 5) + std::string("\0\0\0\1\3z", 6);
        for (const char byte : bytes) {
            peer.send({&byte, 1});
        }
        peer.receiveSome();
    });
    received_frames received;
    loop_thread loop;
    const auto link = connectTo(loop, server.address(), received);
    REQUIRE(link);
    REQUIRE(waitFor(received, [&] {
        return received.frames.size() == 3;
    }));
    CHECK(received.frames == std::vector<std::pair<int, std::string>>{{1, "abc"}, {2, ""}, {3, "z"}});
    loop.run([&] {
        link->close("test");
        return 0;
    });
}

TEST_CASE("a link closes when the peer sends a frame over the size limit or closes the connection")
{
    raw_server server([](raw_connection &peer, int index) {
        if (index == 0) {
            peer.send(std::string("\xff\xff\xff\xff\1", 5));
            peer.receiveSome();
        }
    });
    loop_thread loop;
    for (const std::string_view expectedReason : {"size limit", "End of file"}) {
        received_frames received;
        const auto link = connectTo(loop, server.address(), received);
        REQUIRE(link);
        CHECK(waitFor(received, [&] {
            return received.closeReason.find(expectedReason) != std::string::npos;
        }));
    }
}

TEST_CASE("a frame that ends early, wherever it does, is not delivered, and the link closes")
{
    const std::string whole("\0\0\0\2\1ok", 7);
    const std::string cut("\0\0\0\6\1answer", 11);
    const bool isReset = GENERATE(false, true);
    std::atomic<bool> isFirstReceived = false;
    raw_server server([&](raw_connection &peer, int index) {
        peer.send(whole + cut.substr(0, static_cast<std::size_t>(index)));
        const time_point until = steadyNow() + longestWait;
        while (!isFirstReceived && steadyNow() < until) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        if (isReset) {
            peer.reset();
        }
    });
    loop_thread loop;
    for (std::size_t sentBytes = 0; sentBytes < cut.size(); ++sentBytes) {
        CAPTURE(isReset, sentBytes);
        isFirstReceived = false;
        received_frames received;
        const auto link = connectTo(loop, server.address(), received);
        REQUIRE(link);
        REQUIRE(waitFor(received, [&] {
            return !received.frames.empty();
        }));
        isFirstReceived = true;
        CHECK(waitFor(received, [&] {
            return !received.closeReason.empty();
        }));
        CHECK(received.frames == std::vector<std::pair<int, std::string>>{{1, "ok"}});
    }
}

TEST_CASE("connecting to a closed port returns no link")
{
    const refusing_port closed;
    received_frames received;
    loop_thread loop;
    CHECK(connectTo(loop, closed.address(), received) == nullptr);
}

TEST_CASE("a handler that throws closes the link and does not end the process")
{
    raw_server server([](raw_connection &peer, int) {
        peer.send(std::string("\0\0\0\1\1a", 6));
        peer.receiveAll();
    });
    loop_thread loop;
    received_frames received;
    link_handlers handlers;
    handlers.onFrame = [](frame_link &, std::uint8_t, std::string_view) {
        throw std::length_error("too long");
    };
    handlers.onClosed = [&received](frame_link &, std::string_view reason) {
        const std::lock_guard guard(received.mutex);
        received.closeReason = reason;
    };
    const auto link =
        loop.await(connectLink(loop.executor(), server.address(), milliseconds(2000), std::move(handlers)));
    REQUIRE(link);
    CHECK(waitFor(received, [&] {
        return received.closeReason == "too long";
    }));
    loop.stop();
}
