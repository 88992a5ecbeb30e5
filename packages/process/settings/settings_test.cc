// Guards start-up against settings that would only fail later: each wrong key gets one error that names it.
#include <catch2/catch.hpp>

#include "process/settings/settings.h"

using namespace pistachioquay;

namespace {

const std::string goodNode = R"(
[node]
data_centre = "dakar-1"
service = "venue-desk"
[listen]
caller = "127.0.0.1:8001"
peer = "127.0.0.1:8002"
control = "127.0.0.1:8003"
gossip = "127.0.0.1:8004"
sync = "127.0.0.1:8005"
[upstream]
address = "127.0.0.1:9000"
slots = 6
[platform]
log = "127.0.0.1:7000"
[seeds]
gossip = ["127.0.0.1:8104"]
)";

std::string with(std::string_view from, std::string_view to)
{
    std::string text = goodNode;
    text.replace(text.find(from), from.size(), to);
    return text;
}

error failureOf(const std::string &text)
{
    const auto read = attempt([&] {
        return readNodeSettings(text);
    });
    REQUIRE_FALSE(read);
    CHECK(read.failure().kind == error_kind::InvalidSettings);
    CHECK_FALSE(read.failure().remedy.empty());
    return read.failure();
}

} // namespace

TEST_CASE("complete node settings are read with their defaults")
{
    const auto read = attempt([] {
        return readNodeSettings(goodNode);
    });
    REQUIRE(read);
    CHECK(read->nodeId == "venue-desk@127.0.0.1:8002");
    CHECK(read->slots == 6);
    CHECK(read->seeds.size() == 1);
    CHECK(read->drainTimeout == milliseconds(30'000));
}

TEST_CASE("each kind of wrong setting is refused with the name of its key")
{
    CHECK(failureOf(with("slots = 6", "slotz = 6")).message.find("upstream.slotz") != std::string::npos);
    CHECK(failureOf(with("slots = 6", "slots = \"6\"")).message.find("upstream.slots") != std::string::npos);
    CHECK(failureOf(with("slots = 6", "slots = 0")).message.find("upstream.slots") != std::string::npos);
    CHECK(failureOf(with("slots = 6", "")).message.find("upstream.slots") != std::string::npos);
    CHECK(failureOf(with("caller = \"127.0.0.1:8001\"", "")).message.find("listen.caller") != std::string::npos);
    CHECK(failureOf(with("127.0.0.1:8002", "localhost:8002")).message.find("listen.peer") != std::string::npos);
    CHECK(failureOf(with("127.0.0.1:8002", "127.0.0.1:70000")).message.find("listen.peer") != std::string::npos);
    CHECK(failureOf(with("127.0.0.1:8002", "127.0.0.1:8001")).message.find("127.0.0.1:8001") != std::string::npos);
    CHECK(failureOf(with("[\"127.0.0.1:8104\"]", "7")).message.find("seeds.gossip") != std::string::npos);
    CHECK(failureOf("[node").message.find("line 1") != std::string::npos);
}

TEST_CASE("command line settings need a platform address and an operator name")
{
    const auto read = attempt([] {
        return readCliSettings("[platform]\nlog = \"127.0.0.1:7000\"\n[operator]\nname = \"awa\"\n");
    });
    REQUIRE(read);
    CHECK(read->author == "awa");
    CHECK_FALSE(attempt([] {
        return readCliSettings("[platform]\nlog = \"127.0.0.1:7000\"\n");
    }));
}
