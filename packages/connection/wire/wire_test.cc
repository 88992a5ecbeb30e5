// Guards nodes against garbage from the network: each kind is a typed error, without exceptions or large allocations.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <thread>

#include "base/hash.h"
#include "base/random.h"
#include "connection/wire/codec.h"
#include "connection/wire/socket.h"

using namespace pistachioquay;

namespace {

constexpr std::uint16_t format = 3;

struct sample
{
    std::string text;
    std::vector<std::uint64_t> numbers;
    std::int64_t signedNumber = 0;
    bool isSet = false;
    endpoint address;
    std::map<std::string, std::uint8_t> counts;

    friend bool operator==(const sample &, const sample &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(text, numbers, signedNumber, isSet, address, counts);
    }
};

const sample typical{"orders", {0, 127, 128, UINT64_MAX}, -5, true, {"127.0.0.1", 8001}, {{"a", 255}}};

outcome<sample> decoded(std::string_view bytes, decode_counters &counters)
{
    return attempt([&] {
        return decodeMessage<sample>(bytes, format, counters);
    });
}

template<class Function>
auto must(Function function)
{
    auto done = attempt(function);
    if (!done) {
        FAIL(describe(done.failure()));
    }
    return std::move(*done);
}

std::uint64_t total(const decode_counters &counters)
{
    return counters.truncated + counters.badMagic + counters.badFormat + counters.badChecksum + counters.badContent;
}

} // namespace

TEST_CASE("any message survives the way through its bytes")
{
    decode_counters counters;
    REQUIRE(decoded(encodeMessage(typical, format), counters));
    rc::detail::TestParams params;
    params.seed = 7;
    const auto property = [](const std::string &text, const std::vector<std::uint64_t> &numbers, std::int64_t number) {
        decode_counters none;
        const sample message{text, numbers, number, false, {}, {}};
        const auto read = decoded(encodeMessage(message, format), none);
        RC_ASSERT(read);
        RC_ASSERT(*read == message);
    };
    const auto checked = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    CHECK(checked.template is<rc::detail::SuccessResult>());
}

TEST_CASE("every truncation and every flipped bit of a message is refused and counted")
{
    const std::string bytes = encodeMessage(typical, format);
    decode_counters counters;
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decoded(bytes.substr(0, size), counters));
    }
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string garbled = bytes;
        garbled[bit / 8] = static_cast<char>(garbled[bit / 8] ^ (1 << (bit % 8)));
        CHECK_FALSE(decoded(garbled, counters));
    }
    CHECK(total(counters) == bytes.size() * 9);
}

TEST_CASE("another format is told apart from garbage")
{
    decode_counters counters;
    const auto read = decoded(encodeMessage(typical, format + 1), counters);
    REQUIRE_FALSE(read);
    CHECK(read.failure().kind == error_kind::UnreadableSchema);
    CHECK(counters.badFormat == 1);
}

TEST_CASE("random content inside a correct envelope never throws and never allocates from a false size")
{
    random_generator generator(20);
    decode_counters counters;
    const std::string huge = "\xff\xff\xff\xff\xff\xff\xff\xff\x01";
    CHECK_FALSE(decoded(internal::withEnvelope(huge, format), counters));
    CHECK_FALSE(decoded(internal::withEnvelope(std::string(1, '\0') + huge, format), counters));
    for (int round = 0; round < 20'000; ++round) {
        std::string content(generator() % 64, '\0');
        std::ranges::generate(content, [&] {
            return static_cast<char>(generator());
        });
        decoded(internal::withEnvelope(content, format), counters);
    }
    CHECK(counters.badContent > 19'000);
}

TEST_CASE("a port in use is an error that names the remedy")
{
    const udp_socket first = must([] {
        return bindUdp({"127.0.0.1", 0});
    });
    const auto second = attempt([&] {
        return bindUdp(first.address);
    });
    REQUIRE_FALSE(second);
    CHECK(second.failure().kind == error_kind::Unavailable);
    CHECK(second.failure().message.find(toText(first.address)) != std::string::npos);
    CHECK(second.failure().remedy.find("[listen]") != std::string::npos);
}

TEST_CASE("datagrams arrive whole, and one over the bound is not sent")
{
    const udp_socket left = must([] {
        return bindUdp({"127.0.0.1", 0});
    });
    const udp_socket right = must([] {
        return bindUdp({"127.0.0.1", 0});
    });
    const std::string bytes(maxDatagramBytes, 'x');
    must([&] {
        return sendDatagram(left, right.address, bytes);
    });
    const auto got = must([&] {
        return receiveDatagram(right, seconds(5));
    });
    REQUIRE(got);
    CHECK(got->bytes == bytes);
    CHECK(got->from == left.address);
    CHECK_FALSE(attempt([&] {
        return sendDatagram(left, right.address, bytes + "x");
    }));
    CHECK_FALSE(must([&] {
        return receiveDatagram(right, milliseconds(1));
    }));
}

TEST_CASE("frames arrive whole, and a frame over the bound or a silent or closed peer is a typed error")
{
    const tcp_listener listener = must([] {
        return listenTcp({"127.0.0.1", 0});
    });
    const std::string large(3'000'000, 'y');
    std::jthread server([&] {
        const auto accepted = must([&] {
            return acceptTcp(listener, seconds(5));
        });
        REQUIRE(accepted);
        for (const std::string_view bytes :
             {std::string_view(large), std::string_view(""), std::string_view("12345")}) {
            must([&] {
                return sendFrame(*accepted, bytes, steadyNow() + seconds(5));
            });
        }
    });
    const tcp_stream stream = must([&] {
        return connectTcp(listener.address, steadyNow() + seconds(5));
    });
    const auto next = [&](std::size_t maxBytes, duration wait) {
        return attempt([&] {
            return receiveFrame(stream, maxBytes, steadyNow() + wait);
        });
    };
    CHECK(*next(large.size(), seconds(5)) == large);
    CHECK(next(10, seconds(5))->empty());
    CHECK(next(4, seconds(5)).failure().kind == error_kind::Corrupt);
    server.join();
    CHECK(next(10, seconds(5)).failure().kind == error_kind::Unavailable);
}

TEST_CASE("a peer that stays silent or refuses ends a wait with a typed error")
{
    const tcp_listener listener = must([] {
        return listenTcp({"127.0.0.1", 0});
    });
    const tcp_stream stream = must([&] {
        return connectTcp(listener.address, steadyNow() + seconds(5));
    });
    const auto silent = attempt([&] {
        return receiveFrame(stream, 10, steadyNow() + milliseconds(10));
    });
    CHECK(silent.failure().kind == error_kind::Timeout);
    const endpoint closed = must([] {
                                return listenTcp({"127.0.0.1", 0});
                            }).address;
    const auto refused = attempt([&] {
        return connectTcp(closed, steadyNow() + seconds(5));
    });
    CHECK(refused.failure().kind == error_kind::Unavailable);
}
