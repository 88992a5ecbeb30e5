// Guards operators against untrue reports, lost edits and commands that end without a remedy. The log and the nodes are
// fakes in memory, with a clock that only sleeps move.
#include <catch2/catch.hpp>

#include <map>

#include "pistachioquay/commands.h"
#include "pistachioquay/state_reader.h"
#include "pistachioquay/status.h"
#include "pistachioquay/tree_file.h"
#include "version/fold/edit_record.h"
#include "version/fold/snapshot.h"
#include "version/tree/tree_text.h"

using namespace pistachioquay;

namespace {

const std::string startFile = R"(# base_version = 0

[policy.lookup]
class = "lookup"
deadline_ms = 800
idempotent = true

[data_centre.be-1.service.orders.route.find]
policy = "lookup"
prefix = "/orders"
)";

// One stream whose records below `first` have expired.
struct fake_stream
{
    std::uint64_t first = 1;
    std::vector<log_record> records;

    std::uint64_t next() const
    {
        return records.size() + 1;
    }
};

struct fake_world
{
    std::map<std::string, fake_stream, std::less<>> streams;
    int lostResponses = 0; // appends that take effect without a response
    int lostAppends = 0; // appends that get lost, without a response
    bool isDown = false;
    bool isDownAfterAppend = false;
    time_point now;
    std::map<std::string, std::string> statuses; // by control address
    int appends = 0;

    result<std::uint64_t> append(std::string_view stream, std::string_view data)
    {
        ++appends;
        if (isDown) {
            return fail(error_kind::Unavailable, "the log is down", "wait");
        }
        isDown = isDownAfterAppend;
        if (lostAppends > 0) {
            --lostAppends;
            return fail(error_kind::Timeout, "no response", "search");
        }
        fake_stream &target = streams[std::string(stream)];
        target.records.push_back({target.next(), 1000, std::string(data)});
        if (lostResponses > 0) {
            --lostResponses;
            return fail(error_kind::Io, "connection lost", "search");
        }
        return target.records.back().offset;
    }

    result<log_batch> read(std::string_view stream, std::uint64_t from, std::uint32_t max, milliseconds wait)
    {
        if (isDown) {
            return fail(error_kind::Unavailable, "the log is down", "wait");
        }
        const fake_stream &source = streams[std::string(stream)];
        log_batch batch{source.first, source.next(), {}};
        for (std::uint64_t offset = std::max(from, source.first); offset < source.next(); ++offset) {
            if (batch.records.size() < max) {
                batch.records.push_back(source.records[offset - 1]);
            }
        }
        now += batch.records.empty() ? wait : milliseconds(0);
        return batch;
    }

    void expireBelow(const std::string &stream, std::uint64_t first)
    {
        streams[stream].first = first;
    }
};

cli_access accessTo(fake_world &world, std::uint64_t seed = 1)
{
    cli_access access;
    access.log.append = [&world](std::string_view stream, std::string_view data) {
        return world.append(stream, data);
    };
    access.log.read = [&world](std::string_view stream, std::uint64_t from, std::uint32_t max, milliseconds wait) {
        return world.read(stream, from, max, wait);
    };
    access.log.readLast = [&world](std::string_view stream) {
        const std::uint64_t next = world.streams[std::string(stream)].next();
        return world.read(stream, next > 1 ? next - 1 : 1, 1, milliseconds(0));
    };
    access.fetchStatus = [&world](const endpoint &control) -> result<std::string> {
        if (!world.statuses.contains(toText(control))) {
            return fail(error_kind::Unavailable, "no response", "check the node");
        }
        return world.statuses[toText(control)];
    };
    access.author = "awa";
    access.now = [&world] {
        return world.now;
    };
    access.unixMs = [] {
        return 1000;
    };
    access.sleep = [&world](milliseconds time) {
        world.now += time;
    };
    access.random = random_generator(seed);
    return access;
}

command_report publishText(fake_world &world, const std::string &text, std::uint64_t seed = 1)
{
    cli_access access = accessTo(world, seed);
    return runCommand([&] {
        return publishFile(access, text, {});
    });
}

std::string exported(fake_world &world)
{
    cli_access access = accessTo(world);
    return runCommand([&] {
               return exportTree(access);
           })
        .text;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

command_report setOne(fake_world &world, const std::string &path, const std::string &value, std::uint64_t seed)
{
    cli_access access = accessTo(world, seed);
    const std::vector<path_value> values = {{path, value}};
    return runCommand([&] {
        return setValues(access, values, {});
    });
}

void checkFailure(const command_report &report, exit_code code, const std::string &part)
{
    INFO(report.text);
    CHECK(report.code == code);
    CHECK(report.text.find(part) != std::string::npos);
    CHECK_FALSE(textAt(report.json.get(), "remedy").empty());
}

} // namespace

TEST_CASE("an export is published, edited and published again")
{
    fake_world world;
    CHECK(exported(world) == "# base_version = 0\n\n");
    CHECK(publishText(world, startFile).text == "accepted at version 1\n");
    const std::string file = exported(world);
    CHECK(file.starts_with("# base_version = 1\n"));
    const command_report same = publishText(world, file);
    CHECK(same.code == exit_code::Ok);
    CHECK(textAt(same.json.get(), "outcome") == "unchanged");
    CHECK(publishText(world, replaced(file, "800", "600"), 2).text == "accepted at version 2\n");
    CHECK(exported(world).find("deadline_ms = 600") != std::string::npos);

    cli_access access = accessTo(world);
    const command_report shown = runCommand([&] {
        return showPlace(access, "be-1/orders");
    });
    CHECK(shown.text.find("be-1/orders/policy/lookup/deadline_ms = 600  (-/-)") != std::string::npos);
    CHECK(runCommand([&] {
              return getValue(access, "be-1/orders/policy/lookup/class");
          }).text
          == "be-1/orders/policy/lookup/class = lookup  (-/-)\n");
}

TEST_CASE("two files with one base: disjoint changes both stand, equal paths have one winner")
{
    fake_world world;
    publishText(world, startFile);
    const std::string file = exported(world);
    CHECK(publishText(world, replaced(file, "800", "600"), 2).code == exit_code::Ok);
    CHECK(publishText(world, replaced(file, "\"/orders\"", "\"/find\""), 3).code == exit_code::Ok);
    const command_report lost = publishText(world, replaced(file, "800", "700"), 4);
    checkFailure(lost, exit_code::Rejected, "awa changed in version 2");
    CHECK(numberAt(lost.json.get(), "winner_version") == 2);
    const std::string now = exported(world);
    CHECK(now.find("deadline_ms = 600") != std::string::npos);
    CHECK(now.find("/find") != std::string::npos);
}

TEST_CASE("a lost response is resolved by a search, and the record is not appended twice")
{
    fake_world world;
    world.lostResponses = 1;
    CHECK(publishText(world, startFile).text == "accepted at version 1\n");
    CHECK(world.streams["config"].records.size() == 1);
    world.lostAppends = 1;
    CHECK(setOne(world, "-/-/policy/lookup/deadline_ms", "600", 2).text == "accepted at version 2\n");
}

TEST_CASE("a log that is down before the append gives not published, and after a lost append unknown")
{
    fake_world world;
    publishText(world, startFile);
    world.isDownAfterAppend = true;
    world.lostResponses = 1;
    const command_report unknown = setOne(world, "-/-/policy/lookup/deadline_ms", "600", 2);
    checkFailure(unknown, exit_code::Unknown, "publish id " + textAt(unknown.json.get(), "publish_id"));
    checkFailure(setOne(world, "-/-/policy/lookup/deadline_ms", "700", 3), exit_code::Unavailable, "log is down");
    world.isDown = false;
    CHECK(exported(world).find("deadline_ms = 600") != std::string::npos);
}

TEST_CASE("an append that certainly failed is tried again until the time is up")
{
    fake_world world;
    publishText(world, startFile);
    cli_access access = accessTo(world, 2);
    access.log.append = [](std::string_view, std::string_view) -> result<std::uint64_t> {
        return fail(error_kind::Unavailable, "refused", "wait");
    };
    const std::vector<path_value> values = {{"-/-/policy/lookup/deadline_ms", "600"}};
    checkFailure(runCommand([&] {
                     return setValues(access, values, {});
                 }),
                 exit_code::Unavailable,
                 "nothing was published");
}

TEST_CASE("wrong files, paths and values are refused with a remedy and without an append")
{
    fake_world world;
    publishText(world, startFile);
    const int appends = world.appends;
    checkFailure(publishText(world, "[policy"), exit_code::Rejected, "line 1");
    checkFailure(publishText(world, "[policy.p]\nspeed = 1\n"), exit_code::Rejected, "-/-/policy/p/speed");
    checkFailure(publishText(world, "[policy.p]\nretries = 1\n"), exit_code::Usage, "base version");
    checkFailure(publishText(world, replaced(exported(world), "\"lookup\"\nprefix", "\"none\"\nprefix"), 5),
                 exit_code::Rejected,
                 "be-1/orders/route/find/policy");
    checkFailure(setOne(world, "-/-/policy/lookup/deadline_ms", "soon", 2), exit_code::Rejected, "deadline_ms");
    checkFailure(setOne(world, "policy/lookup", "1", 2), exit_code::Usage, "policy/lookup");
    CHECK(world.appends == appends);
}

TEST_CASE("an earlier version is published again as a new version")
{
    fake_world world;
    publishText(world, startFile);
    setOne(world, "-/-/policy/lookup/deadline_ms", "600", 2);
    cli_access access = accessTo(world, 3);
    CHECK(runCommand([&] {
              return republishVersion(access, 1, {});
          }).text
          == "accepted at version 3\n");
    CHECK(exported(world).find("deadline_ms = 800") != std::string::npos);
    checkFailure(runCommand([&] {
                     return republishVersion(access, 9, {});
                 }),
                 exit_code::Unavailable,
                 "no version 9");
}

TEST_CASE("a state is read from a snapshot after its records expired, and never from a partial range")
{
    fake_world world;
    publishText(world, startFile);
    setOne(world, "-/-/policy/lookup/deadline_ms", "600", 2);
    cli_access access = accessTo(world, 3);
    const auto snapshot = [&](bool isForced) {
        return runCommand([&] {
            return writeSnapshot(access, std::chrono::hours(24), isForced);
        });
    };
    CHECK(textAt(snapshot(false).json.get(), "error").empty());
    CHECK(world.streams["snapshots"].records.empty());
    CHECK(snapshot(true).code == exit_code::Ok);
    setOne(world, "-/-/policy/lookup/deadline_ms", "500", 4);
    world.streams["snapshots"].records.push_back({2, 1000, "garbage"});
    world.expireBelow("config", 3);
    CHECK(exported(world).find("deadline_ms = 500") != std::string::npos);
    CHECK(runCommand([&] {
              return showHistory(access, 10);
          }).text.find("3  accepted")
          != std::string::npos);
    world.expireBelow("config", 4);
    checkFailure(runCommand([&] {
                     return showHistory(access, 10);
                 }),
                 exit_code::Unavailable,
                 "have expired");
}

TEST_CASE("the history tells verdicts, authors and publish ids")
{
    fake_world world;
    publishText(world, startFile);
    world.streams["config"].records.push_back({2, 1000, "garbage"});
    cli_access access = accessTo(world);
    const std::string text = runCommand([&] {
                                 return showHistory(access, 10);
                             }).text;
    CHECK(text.find("2  malformed") < text.find("1  accepted"));
    CHECK(text.find("by awa, base 0, publish id ") != std::string::npos);
    CHECK(text.find("add place be-1/orders") != std::string::npos);
}

TEST_CASE("a record of a newer schema is told and nothing is published after it")
{
    fake_world world;
    publishText(world, startFile);
    world.streams["config"].records.push_back({2, 1000, sealEnvelope(recordMagic, recordSchema + 1, "future")});
    CHECK(exported(world).starts_with("# base_version = 1"));
    checkFailure(setOne(world, "-/-/policy/lookup/deadline_ms", "5", 2), exit_code::Unavailable, "newer schema");
}

TEST_CASE("status and follow use the members that a node lists, and publish warns of old nodes")
{
    fake_world world;
    const endpoint control{"127.0.0.1", 8003};
    const auto statusAt = [](int version) {
        return R"({"node": "n1", "data_centre": "be-1", "service": "orders", "version": 2, "position": 3, "schema": 1,
                   "state": "ready", "members": [{"node": "n2", "data_centre": "be-1", "service": "orders",
                   "control": "127.0.0.1:8013", "version": )"
            + std::to_string(version) + R"(, "position": 3, "schema": 1, "state": "ready"}]})";
    };
    cli_access access = accessTo(world);
    const auto follow = [&] {
        return runCommand([&] {
            return followVersion(access, 2, seconds(1));
        });
    };
    checkFailure(follow(), exit_code::Usage, "name no node");
    access.nodes = {control, {"127.0.0.1", 9}};
    checkFailure(follow(), exit_code::Unavailable, "no node responded");
    world.statuses[toText(control)] = statusAt(1);
    CHECK(follow().code == exit_code::Unavailable);
    CHECK(follow().text.find("1 of 2 nodes") != std::string::npos);
    CHECK(follow().text.find("behind: be-1/orders  n2") != std::string::npos);
    CHECK(follow().warnings.size() == 1);
    world.statuses[toText(control)] = statusAt(2);
    CHECK(follow().code == exit_code::Ok);
    CHECK(schemaWarnings(readFleet(access), 2).size() == 2);
    CHECK(schemaWarnings(readFleet(access), 1).empty());
    const endpoint other{"127.0.0.1", 8013};
    access.nodes = {control, other};
    world.statuses[toText(control)] = statusAt(1);
    world.statuses[toText(other)] = R"({"node": "n2", "data_centre": "be-1", "service": "orders", "version": 2,
                                        "position": 4, "schema": 1, "state": "ready"})";
    CHECK(follow().code == exit_code::Ok);
    access.nodes = {control};
    world.statuses[toText(control)] = "[]";
    checkFailure(follow(), exit_code::Unavailable, "no status of a node");
}
