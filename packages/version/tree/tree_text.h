// The TOML form of the tree, in which operators edit and compare it.
//
//   BOOST_LEAF_AUTO(tree, treeFromToml(text));
//   std::cout << treeToToml(tree);
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "version/tree/config_tree.h"

namespace pistachioquay {

// treeFromToml reads a tree. Thread safe. Fails with InvalidTree on TOML syntax (line and column), unknown keys, wrong
// types and values out of range (path and remedy). References between values are not checked; see `validateTree`.
result<config_tree> treeFromToml(std::string_view text);

// treeToToml writes the canonical text: equal trees give equal texts, and reading the text gives an equal tree. Thread
// safe.
std::string treeToToml(const config_tree &tree);

} // namespace pistachioquay
