// Guards against a tree that differs from its text or its diff, and against a partial check that misses a fault.
#include <catch2/catch.hpp>

#include <algorithm>

#include "testing/property.h"
#include "version/tree/compile.h"
#include "version/tree/sample_edits_test.h"
#include "version/tree/tree_text.h"

using namespace pistachioquay;

namespace {

constexpr int sequences = 2000;

config_tree startTree()
{
    const auto tree = attempt([] {
        return applyEdits({}, sample::startEdits());
    });
    RC_ASSERT(bool(tree));
    return *tree;
}

std::optional<config_tree> applied(const config_tree &tree, const std::vector<edit> &edits)
{
    auto next = attempt([&] {
        return applyEdits(tree, edits);
    });
    return next ? std::optional(*std::move(next)) : std::nullopt;
}

bool isValid(const config_tree &tree)
{
    return bool(attempt([&] {
        return validateTree(tree);
    }));
}

// Runs `check(before, edits, after)` for each list of edits that applies, and goes on from each valid tree.
template<class Check>
void walk(const std::vector<std::vector<edit>> &sequence, Check &&check)
{
    config_tree tree = startTree();
    for (const auto &edits : sequence) {
        const auto next = applied(tree, edits);
        if (!next) {
            continue;
        }
        check(tree, edits, *next);
        if (isValid(*next)) {
            tree = *next;
        }
    }
}

// The route that a scan over all routes finds.
const route *scanRoutes(const compiled_config &config, const std::string &method, const std::string &path)
{
    for (const route &candidate : config.routes) {
        const bool isMatch =
            candidate.prefix == "/" || path == candidate.prefix || path.starts_with(candidate.prefix + "/");
        const bool isAccepted =
            candidate.methods.empty() || std::ranges::find(candidate.methods, method) != candidate.methods.end();
        if (isMatch && isAccepted) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("the check of edits gives the verdict of the check of the whole tree")
{
    std::size_t valid = 0;
    std::size_t invalid = 0;
    CHECK(holds("the check of edits gives the verdict of the check of the whole tree", sequences, [&] {
        walk(*sample::anySequence(),
             [&](const config_tree &, const std::vector<edit> &edits, const config_tree &after) {
                 const bool isWhole = isValid(after);
                 const bool isPart = bool(attempt([&] {
                     return validateEdits(after, edits);
                 }));
                 RC_ASSERT(isPart == isWhole);
                 ++(isWhole ? valid : invalid);
             });
    }));
    CHECK(valid > 1000);
    CHECK(invalid > 1000);
}

TEST_CASE("a diff leads from one tree to the other, and the text reads back")
{
    CHECK(holds("a diff leads from one tree to the other, and the text reads back", sequences, [] {
        walk(*sample::anySequence(),
             [](const config_tree &before, const std::vector<edit> &, const config_tree &after) {
                 const auto edits = diffTrees(before, after);
                 RC_ASSERT(edits.empty() == (before == after));
                 RC_ASSERT(applied(before, edits) == after);
                 const auto read = attempt([&] {
                     return treeFromToml(treeToToml(after));
                 });
                 RC_ASSERT(bool(read));
                 RC_ASSERT(*read == after);
             });
    }));
}

TEST_CASE("no compiled route lacks its service, and the search finds what a scan finds")
{
    CHECK(holds("no compiled route lacks its service, and the search finds what a scan finds", sequences, [] {
        walk(*sample::anySequence(), [](const config_tree &, const std::vector<edit> &, const config_tree &after) {
            for (const auto &[name, dataCentre] : after.dataCentres) {
                const auto config = attempt([&, &zone = name] {
                    return compileConfig(after, zone, 1);
                });
                if (!config) {
                    continue;
                }
                RC_ASSERT(std::ranges::all_of(config->routes, [&](const route &each) {
                    return config->services.contains(each.service) && each.applied.deadline.count() > 0;
                }));
                for (const std::string path : {"/", "/x", "/x/1", "/xy", "/y/z/1", "/y/zz"}) {
                    for (const std::string method : {"GET", "POST", "DELETE"}) {
                        RC_ASSERT(findRoute(*config, method, path) == scanRoutes(*config, method, path));
                    }
                }
            }
        });
    }));
}
