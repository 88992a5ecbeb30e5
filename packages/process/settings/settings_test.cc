// Invalid settings must fail at start, not later: each invalid key gives an error that names it.
#include <catch2/catch.hpp>

#include "process/settings/settings.h"

using namespace pistachioquay;

namespace {

const std::string validNodeSettings = R"(
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

std::string withReplaced(std::string_view from, std::string_view to)
{
    std::string text = validNodeSettings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

error readFailure(const std::string &text)
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

TEST_CASE("node settings with all required keys are read, and omitted keys get their defaults")
{
    const auto read = attempt([] {
        return readNodeSettings(validNodeSettings);
    });
    REQUIRE(read);
    CHECK(read->nodeId == "venue-desk@127.0.0.1:8002");
    CHECK(read->slots == 6);
    CHECK(read->seeds.size() == 1);
    CHECK(read->drainTimeout == milliseconds(30'000));
}

TEST_CASE("an invalid setting is rejected with an error that names its key, address or line")
{
    CHECK(readFailure(withReplaced("slots = 6", "slotz = 6")).message.find("upstream.slotz") != std::string::npos);
    CHECK(readFailure(withReplaced("slots = 6", "slots = \"6\"")).message.find("upstream.slots") != std::string::npos);
    CHECK(readFailure(withReplaced("slots = 6", "slots = 0")).message.find("upstream.slots") != std::string::npos);
    CHECK(readFailure(withReplaced("slots = 6", "")).message.find("upstream.slots") != std::string::npos);
    CHECK(readFailure(withReplaced("caller = \"127.0.0.1:8001\"", "")).message.find("listen.caller")
          != std::string::npos);
    CHECK(readFailure(withReplaced("127.0.0.1:8002", "localhost:8002")).message.find("listen.peer")
          != std::string::npos);
    CHECK(readFailure(withReplaced("127.0.0.1:8002", "127.0.0.1:70000")).message.find("listen.peer")
          != std::string::npos);
    CHECK(readFailure(withReplaced("127.0.0.1:8002", "127.0.0.1:8001")).message.find("127.0.0.1:8001")
          != std::string::npos);
    CHECK(readFailure(withReplaced("[\"127.0.0.1:8104\"]", "7")).message.find("seeds.gossip") != std::string::npos);
    CHECK(readFailure("[node").message.find("line 1") != std::string::npos);
}

TEST_CASE("command-line settings require `operator.name` besides the platform log's address")
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
