// Guards the way from a failed request's id to its cause: three kinds of failure, from the lines of nodes alone.
#include <catch2/catch.hpp>

#include "base/log_line.h"
#include "pistachioquay/explain/explain.h"

using namespace pistachioquay;

namespace {

std::vector<log_entry> linesOf(std::initializer_list<std::pair<std::string_view, std::string_view>> logs)
{
    std::vector<log_entry> lines;
    for (const auto &[node, log] : logs) {
        appendLogEntries(lines, node, log);
    }
    return lines;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a line of the log writer is read back with its values")
{
    const log_line written =
        log_line("outbound", "ended").add("id", "a.1").add("reason", "not run: \"crowded\"").add("took_ms", 2.5);
    const auto line = parseLine("1796398604169 " + written.text(), "be-1");
    REQUIRE(line);
    CHECK(line->atMs == 1796398604169);
    CHECK(line->node == "be-1");
    CHECK(line->part == "outbound");
    CHECK(line->event == "ended");
    CHECK(valueOf(*line, "reason") == "not run: \"crowded\"");
    CHECK(valueOf(*line, "took_ms") == "2.5");
    CHECK(valueOf(*line, "none").empty());
}

TEST_CASE("a collected line names its node, and other output is skipped")
{
    const auto line = parseLine("  0.25 be-2 1796398604169 [node] started node=be-2", "be-1");
    REQUIRE(line);
    CHECK(line->node == "be-2");
    for (const std::string line : {"", "what happened", "12 [node", "x [node] started", "service [a] b"}) {
        INFO(line);
        CHECK_FALSE(parseLine(line, "be-1"));
    }
}

TEST_CASE("a request that was refused under load names the nodes that refused it and their lines")
{
    const explanation found = explainRequest(
        linesOf(
            {{"be-1",
              "20 [outbound] ended id=r1 route=orders service=orders status=503 outcome=not-run version=3 took_ms=9.0 "
              "nodes=be-2:not-run reason=\"not run: crowded\"\n"},
             {"be-2",
              "15 [inbound] refused id=r1 route=orders reason=crowded expected_wait_ms=18.8 expected_run_ms=38.2 "
              "time_left_ms=158 running=6 waiting=4\n"
              "16 [inbound] refused id=r10 reason=crowded running=5 waiting=1\n"}}),
        "r1");
    CHECK(found.lines.size() == 2);
    CHECK(found.lines.front().node == "be-2");
    CHECK(contains(found.cause, "has not run: crowded"));
    CHECK(contains(found.cause, "Node be-2 refused it (crowded): 6 running, 4 waiting"));
    CHECK_FALSE(contains(found.cause, "5 running"));
}

TEST_CASE("a request whose response was lost tells whether it ran")
{
    const std::string ended = "30 [outbound] ended id=r2 route=sign service=sign status=502 outcome=unknown version=3 "
                              "took_ms=1500.0 nodes=be-2:not-run,be-3:unknown reason=link-lost\n";
    const explanation dead = explainRequest(linesOf({{"be-1", ended}}), "r2");
    CHECK(contains(dead.cause, "response was lost (link-lost), last at node be-3"));
    CHECK(contains(dead.cause, "may have run at a node that died"));
    CHECK(contains(dead.next, "`[node] started` of be-3"));
    const std::string ran = "25 [inbound] ran id=r2 worker=w-3 outcome=response status=200 waited_ms=1 took_ms=90.5 "
                            "expected_ms=80.0\n";
    const explanation cut = explainRequest(linesOf({{"be-1", ended}, {"be-3", ran}}), "r2");
    CHECK(contains(cut.cause, "At be-3 worker w-3 took 90.5 ms"));
    CHECK_FALSE(contains(cut.cause, "died"));
}

TEST_CASE("a request that an old configuration does not know names the version")
{
    const explanation found = explainRequest(
        linesOf({{"be-1", "7 [outbound] ended id=r3 route=- status=404 version=11 path=/new/7 host=shop.example\n"}}),
        "r3");
    CHECK(contains(found.cause, "No route of configuration version 11 matches host shop.example and path /new/7"));
    CHECK(contains(found.next, "`[config] in-force` of be-1"));
}

TEST_CASE("a late response names the run, and a failed call of its worker")
{
    const explanation found = explainRequest(
        linesOf({{"be-1",
                  "90 [outbound] ended id=r4 route=sign service=sign status=500 outcome=response took_ms=812.0 "
                  "target_left_ms=400 nodes=be-2:response\n"},
                 {"be-2",
                  "89 [inbound] ran id=r4 worker=w-2 status=500 waited_ms=10 took_ms=800.0 expected_ms=100.0\n"
                  "80 [outbound] ended id=r4.c1 service=lookup status=504 outcome=unknown took_ms=300.0\n"}}),
        "r4");
    CHECK(found.lines.size() == 3);
    CHECK(contains(found.cause, "later than its target of 400 ms"));
    CHECK(contains(found.cause, "where 100.0 ms was usual"));
    CHECK(contains(found.cause, "call r4.c1 to lookup ended with status 504"));
}

TEST_CASE("a request without its last line, or without any, says what is missing")
{
    const explanation open =
        explainRequest(linesOf({{"be-2", "5 [inbound] ran id=r5 worker=w-2 status=200 took_ms=4.0\n"}}), "r5");
    CHECK(contains(open.cause, "No node has logged how it ended"));
    CHECK(contains(open.next, "the node that the caller used"));
    CHECK(explainRequest({}, "r5").cause.empty());
    CHECK(explainRequest(linesOf({{"be-2", "5 [inbound] ran id= worker=w\n"}}), "").lines.empty());
}
