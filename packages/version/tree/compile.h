// Compiles the tree for one data centre and checks that no route in force refers to something that is missing.
//
//   BOOST_LEAF_AUTO(config, compileConfig(tree, "be-1", version));
//   BOOST_LEAF_CHECK(validateEdits(nextTree, edits)); // `edits` led from a valid tree to `nextTree`
//
// Errors have kind InvalidTree and name the path in the tree and the remedy.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "base/error.h"
#include "version/tree/compiled_config.h"
#include "version/tree/config_tree.h"

namespace pistachioquay {

// compileConfig compiles the tree for one data centre. A data centre that the tree lacks gets an empty configuration.
// Thread safe. Fails with InvalidTree.
result<compiled_config> compileConfig(const config_tree &tree, std::string_view dataCentre, std::uint64_t version);

// validateTree checks that the tree compiles for every data centre. Thread safe. Fails with InvalidTree.
result<void> validateTree(const config_tree &tree);

// validateEdits gives the verdict of `validateTree` on a tree that `edits` produced from a valid tree, but checks only
// the routes that the edits can affect. Thread safe. Fails with InvalidTree.
result<void> validateEdits(const config_tree &tree, std::span<const edit> edits);

} // namespace pistachioquay
