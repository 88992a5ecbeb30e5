// Guards that operators see a blocked fold on every node, not only on the readers that saw the record.
#include <catch2/catch.hpp>

#include <algorithm>

#include "connection/log_client/log_client.h"
#include "testing/harness/json.h"
#include "testing/process/version_checks.h"
#include "version/fold/edit_record.h"

using namespace pistachioquay;

TEST_CASE("a plain node reports that a record with a newer schema blocks it")
{
    mesh running = startMesh({{"be-1", "orders", 5}});
    version_publisher publisher{running};
    const std::uint64_t first = publisher.publish("/one");
    REQUIRE(waitForVersion(running, first, convergenceBound));
    requireValue([&] {
        return appendRecord({running.log.address, milliseconds(5000)},
                            "config",
                            sealEnvelope(recordMagic, recordSchema + 1, "future"));
    });
    for (const worker_node &each : running.nodes) {
        INFO(each.node.settings.nodeId << (isReader(each.node) ? " reads the log" : " is plain"));
        CHECK(waitUntil(
            [&] {
                return flagIn(parseJson(statusOf(each.node)).get(), "schema_blocked", false);
            },
            convergenceBound));
        CHECK(statusNumber(each.node, "version") == static_cast<std::int64_t>(first));
    }
}
