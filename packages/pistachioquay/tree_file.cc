#include "pistachioquay/tree_file.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

#include "version/tree/tree_text.h"

namespace pistachioquay {

namespace {

constexpr std::string_view baseLine = "# base_version = ";

std::optional<std::uint64_t> baseOf(std::string_view text)
{
    const std::size_t start = text.find(baseLine);
    if (start == std::string_view::npos || (start != 0 && text[start - 1] != '\n')) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(start + baseLine.size());
    std::uint64_t base = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), base);
    return status == std::errc{} ? std::optional(base) : std::nullopt;
}

boost::leaf::error_id fileFault(const std::string &name, std::string_view what)
{
    return fail(error_kind::InvalidArgument,
                "`" + name + "` cannot be " + std::string(what),
                "check its name and its access rights");
}

} // namespace

std::string writeTreeFile(const config_tree &tree, std::uint64_t base)
{
    return std::string(baseLine) + std::to_string(base) + "\n\n" + treeToToml(tree);
}

result<tree_file> readTreeFile(std::string_view text)
{
    tree_file file;
    file.base = baseOf(text);
    BOOST_LEAF_ASSIGN(file.tree, treeFromToml(text));
    return file;
}

result<std::string> readWholeFile(const std::string &name)
{
    std::ifstream stream;
    if (name != "-") {
        stream.open(name, std::ios::binary);
        if (!stream) {
            return fileFault(name, "read");
        }
    }
    std::istream &source = name == "-" ? std::cin : stream;
    std::string text{std::istreambuf_iterator<char>(source), std::istreambuf_iterator<char>()};
    if (source.bad()) {
        return fileFault(name, "read");
    }
    return text;
}

result<void> writeWholeFile(const std::string &name, std::string_view text)
{
    std::ofstream stream(name, std::ios::binary | std::ios::trunc);
    stream << text;
    stream.close();
    if (!stream) {
        return fileFault(name, "written");
    }
    return {};
}

} // namespace pistachioquay
