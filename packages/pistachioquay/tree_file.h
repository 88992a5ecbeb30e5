// The file in which operators edit the tree: TOML with the base version in its first line.
//
//   # base_version = 12
//   [policy.lookup]
//   ...
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "version/tree/config_tree.h"

namespace pistachioquay {

struct tree_file
{
    std::optional<std::uint64_t> base; // empty: the file does not state it
    config_tree tree;

    friend bool operator==(const tree_file &, const tree_file &) = default;
};

// writeTreeFile returns the text of an export. Thread safe.
std::string writeTreeFile(const config_tree &tree, std::uint64_t base);

// readTreeFile reads an edited export. Thread safe. Fails with InvalidTree.
result<tree_file> readTreeFile(std::string_view text);

// readWholeFile and writeWholeFile access a file; "-" is standard input or output. Thread safe. Fail with
// InvalidArgument.
result<std::string> readWholeFile(const std::string &name);
result<void> writeWholeFile(const std::string &name, std::string_view text);

} // namespace pistachioquay
