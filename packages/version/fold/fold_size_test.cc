// Measures the fold at the design size: 8 data centres with 590 services each and about 50,000 values. The figures are
// printed, not checked; run it with the tag: pq_fold_test "[measure]".
#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "base/clock.h"
#include "version/fold/edit_record.h"
#include "version/fold/fold.h"
#include "version/fold/snapshot.h"
#include "version/tree/compile.h"
#include "version/tree/tree_text.h"

using namespace pistachioquay;

namespace {

constexpr int dataCentreCount = 8;
constexpr int serviceCount = 590;

scalar text(std::string value)
{
    return {std::move(value)};
}

scalar number(std::int64_t value)
{
    return {value};
}

void addPolicy(const place &where, const std::string &name, std::vector<edit> &edits)
{
    edits.push_back(setValue({where, {value_kind::Policy, name, "class"}}, text("interactive")));
    edits.push_back(setValue({where, {value_kind::Policy, name, "idempotent"}}, true));
    edits.push_back(setValue({where, {value_kind::Policy, name, "deadline_ms"}}, number(800)));
}

std::vector<edit> largeTree()
{
    std::vector<edit> edits;
    addPolicy({}, "lookup", edits);
    for (int index = 0; index < dataCentreCount; ++index) {
        const std::string dataCentre = "zone-" + std::to_string(index);
        edits.push_back(addPlace({dataCentre, ""}));
        for (int service = 0; service < serviceCount; ++service) {
            const place where{dataCentre, "service-" + std::to_string(service)};
            edits.push_back(addPlace(where));
            for (const std::string method : {"GET", "POST"}) {
                const value_kind kind = value_kind::Route;
                edits.push_back(setValue({where, {kind, method, "prefix"}}, text("/v1/" + where.service)));
                edits.push_back(setValue({where, {kind, method, "methods"}}, text(method)));
                edits.push_back(
                    setValue({where, {kind, method, "policy"}}, text(method == "GET" ? "lookup" : "order")));
            }
            addPolicy(where, "order", edits);
            edits.push_back(setValue({where, {value_kind::Limit, "orders", "concurrency"}}, number(64)));
        }
    }
    return edits;
}

// Folds one record for each data centre, so that each is under the size limit.
fold_state largeState()
{
    const auto edits = largeTree();
    fold_state state;
    auto start = edits.begin();
    while (start != edits.end()) {
        const auto end = std::find_if(std::next(start), edits.end(), [](const edit &change) {
            return change.kind == edit_kind::AddPlace && change.path.where.service.empty();
        });
        const std::uint64_t offset = state.position;
        const edit_record record{{7, offset}, state.version, "awa", {start, end}};
        fold_step step = foldRecord(std::move(state), offset, encodeRecord(record));
        state = std::move(step.state);
        INFO(describe(step.verdict));
        REQUIRE(step.verdict.kind == verdict_kind::Accepted);
        start = end;
    }
    return state;
}

template<class Function>
double millisOf(Function &&function)
{
    const time_point start = steadyNow();
    function();
    return std::chrono::duration<double, std::milli>(steadyNow() - start).count();
}

// Folds 500 records, each made by `makeEdit(index)`, and returns the time.
template<class MakeEdit>
double foldMany(fold_state state, MakeEdit &&makeEdit, std::size_t &accepted)
{
    constexpr std::uint64_t recordCount = 500;
    std::vector<std::string> records;
    for (std::uint64_t index = 0; index < recordCount; ++index) {
        records.push_back(encodeRecord({{8, index}, state.version, "ben", {makeEdit(index)}}));
    }
    accepted = 0;
    return millisOf([&] {
        for (const std::string &record : records) {
            const std::uint64_t offset = state.position;
            fold_step step = foldRecord(std::move(state), offset, record);
            state = std::move(step.state);
            accepted += step.verdict.kind == verdict_kind::Accepted ? 1 : 0;
        }
    });
}

place serviceAt(std::uint64_t index)
{
    return {"zone-" + std::to_string(index % dataCentreCount), "service-" + std::to_string(index % serviceCount)};
}

void printFold(const std::string &name, double millis, std::size_t accepted)
{
    std::cout << "fold of 500 records, " << name << ": " << millis << " ms, accepted " << accepted << '\n';
}

} // namespace

TEST_CASE("figures of the fold at the design size", "[.measure]")
{
    fold_state state = largeState();
    const config_tree &tree = state.tree;
    const place service = serviceAt(0);
    const std::vector<edit> oneEdit = {setValue({service, {value_kind::Route, "GET", "prefix"}}, text("/other"))};
    std::cout << "values " << countValues(tree) << ", marks " << state.changes.size() << '\n';
    std::cout << "validate the whole tree: " << millisOf([&] {
        CHECK(attempt([&] {
            return validateTree(tree);
        }));
    }) << " ms\n";
    std::cout << "validate one edit: " << millisOf([&] {
        CHECK(attempt([&] {
            return validateEdits(tree, oneEdit);
        }));
    }) << " ms\n";
    std::cout << "compile one data centre: " << millisOf([&] {
        CHECK(attempt([&] {
            return compileConfig(tree, "zone-0", 1);
        }));
    }) << " ms\n";

    std::size_t accepted = 0;
    double millis = foldMany(
        state,
        [](std::uint64_t index) {
            return setValue({serviceAt(index), {value_kind::Policy, "order", "deadline_ms"}}, number(1 + index));
        },
        accepted);
    printFold("policy values of services", millis, accepted);
    millis = foldMany(
        state,
        [](std::uint64_t index) {
            return setValue({serviceAt(index), {value_kind::Route, "GET", "prefix"}},
                            text("/w/" + std::to_string(index)));
        },
        accepted);
    printFold("route prefixes of services", millis, accepted);
    millis = foldMany(
        state,
        [](std::uint64_t index) {
            return setValue({{}, {value_kind::Limit, "all-" + std::to_string(index), "concurrency"}}, number(5));
        },
        accepted);
    printFold("values of the deployment", millis, accepted);
    millis = foldMany(
        state,
        [](std::uint64_t) {
            return unsetValue({{}, {value_kind::Policy, "lookup", "class"}});
        },
        accepted);
    printFold("policy of the deployment unset, all rejected", millis, accepted);
    millis = foldMany(
        state,
        [](std::uint64_t index) {
            return addPlace({"zone-" + std::to_string(index % dataCentreCount), "new-" + std::to_string(index)});
        },
        accepted);
    printFold("new services", millis, accepted);

    std::vector<std::string> parts;
    std::cout << "encode a snapshot: " << millisOf([&] {
        parts = encodeSnapshot(state);
    }) << " ms\n";
    snapshot_collector collector;
    std::cout << "decode its " << parts.size() << " parts: " << millisOf([&] {
        std::optional<fold_state> whole;
        for (const std::string &part : parts) {
            whole = addSnapshotPart(collector, part);
        }
        REQUIRE(whole);
        CHECK(*whole == state);
    }) << " ms\n";
    std::string toml;
    std::cout << "write TOML: " << millisOf([&] {
        toml = treeToToml(tree);
    }) << " ms, "
              << toml.size() << " bytes\n";
    std::cout << "read TOML: " << millisOf([&] {
        CHECK(attempt([&] {
            return treeFromToml(toml);
        }));
    }) << " ms\n";
}
