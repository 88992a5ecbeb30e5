#include "version/tree/tree_text.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <toml++/toml.h>

#include "version/tree/key_schema.h"

namespace pistachioquay {

namespace {

constexpr std::string_view dataCentreKey = "data_centre";
constexpr std::string_view serviceKey = "service";

boost::leaf::error_id invalid(const std::string &message, std::string_view remedy)
{
    return fail(error_kind::InvalidTree, message, remedy);
}

result<toml::table> parseTable(std::string_view text)
{
    try {
        return toml::parse(text);
    } catch (const std::exception &failure) {
        std::ostringstream where;
        where << failure.what();
        if (const auto *syntax = dynamic_cast<const toml::parse_error *>(&failure)) {
            where << " at " << syntax->source().begin;
        }
        return invalid(where.str(), "correct the TOML syntax there");
    }
}

result<const toml::table *> asTable(const toml::node &node, const std::string &name)
{
    const toml::table *table = node.as_table();
    if (table == nullptr) {
        return invalid("`" + name + "` is not a table", "write it as [" + name + "] with keys below it");
    }
    return table;
}

result<scalar> readScalar(const tree_path &path, const toml::node &node)
{
    const key_rule *rule = findRule(path.key.kind, path.key.key);
    if (const auto *flag = node.as_boolean()) {
        return scalar(flag->get());
    }
    if (const auto *text = node.as_string()) {
        return rule != nullptr && rule->type == key_type::Percent ? valueFromText(path, text->get())
                                                                  : result<scalar>(scalar(text->get()));
    }
    if (rule != nullptr && rule->type == key_type::Percent && node.is_number()) {
        return valueFromText(path, percentText(node.value_or(-1.0)));
    }
    if (const auto *number = node.as_integer()) {
        return scalar(number->get());
    }
    return invalid("`" + toText(path) + "` is neither true, false, a whole number nor a text",
                   "write a single value of the type that the key has");
}

// Collects the edits that build the tree from nothing.
struct tree_reader
{
    std::vector<edit> edits;

    result<void> readKind(const place &where, value_kind kind, const toml::table &names)
    {
        for (const auto &[name, node] : names) {
            tree_path path{where, {kind, std::string(name.str()), ""}};
            BOOST_LEAF_AUTO(keys, asTable(node, std::string(kindText(kind)) + "." + path.key.name));
            for (const auto &[key, value] : *keys) {
                path.key.key = key.str();
                BOOST_LEAF_CHECK(checkKey(path));
                BOOST_LEAF_AUTO(read, readScalar(path, value));
                edits.push_back(setValue(path, std::move(read)));
            }
        }
        return {};
    }

    // Reads the places below `where`, which are listed in `names`.
    result<void> readPlaces(const place &where, const toml::table &names)
    {
        for (const auto &[name, node] : names) {
            place inner = where;
            (where.dataCentre.empty() ? inner.dataCentre : inner.service) = name.str();
            if (!isName(name.str())) {
                return invalid("`" + toText(inner) + "` has an improper name", "use letters, digits, `_` and `-`");
            }
            BOOST_LEAF_AUTO(table, asTable(node, toText(inner)));
            edits.push_back(addPlace(inner));
            BOOST_LEAF_CHECK(readPlace(inner, *table));
        }
        return {};
    }

    result<void> readPlace(const place &where, const toml::table &table)
    {
        const bool isService = !where.service.empty();
        const std::string_view placesKey = isService ? "" : where.dataCentre.empty() ? dataCentreKey : serviceKey;
        for (const auto &[key, node] : table) {
            const value_kind kind = kindFromText(key.str());
            if (key.str() != placesKey && kind == value_kind::None) {
                return invalid("`" + std::string(key.str()) + "` at `" + toText(where) + "` is unknown",
                               "use route, policy, limit, objective"
                                   + (isService ? std::string() : " or " + std::string(placesKey)));
            }
            BOOST_LEAF_AUTO(inner, asTable(node, std::string(key.str())));
            if (kind == value_kind::None) {
                BOOST_LEAF_CHECK(readPlaces(where, *inner));
            } else {
                BOOST_LEAF_CHECK(readKind(where, kind, *inner));
            }
        }
        return {};
    }
};

std::string literalOf(const value_key &key, const scalar &value)
{
    const key_rule *rule = findRule(key.kind, key.key);
    const bool isBare =
        !std::holds_alternative<std::string>(value) || (rule != nullptr && rule->type == key_type::Percent);
    return isBare ? toText(value) : "\"" + toText(value) + "\"";
}

std::string prefixOf(const place &where)
{
    std::string prefix;
    if (!where.dataCentre.empty()) {
        prefix += std::string(dataCentreKey) + "." + where.dataCentre;
    }
    if (!where.service.empty()) {
        prefix += "." + std::string(serviceKey) + "." + where.service;
    }
    return prefix;
}

void startTable(const std::string &name, std::string &text)
{
    text += (text.empty() ? "[" : "\n[") + name + "]\n";
}

void writeValues(const place &where, const value_map &values, std::string &text)
{
    const std::string prefix = prefixOf(where);
    const value_key *table = nullptr;
    for (const auto &[key, value] : values) {
        if (table == nullptr || table->kind != key.kind || table->name != key.name) {
            startTable((prefix.empty() ? "" : prefix + ".") + std::string(kindText(key.kind)) + "." + key.name, text);
            table = &key;
        }
        text += key.key + " = " + literalOf(key, value) + "\n";
    }
}

} // namespace

result<config_tree> treeFromToml(std::string_view text)
{
    BOOST_LEAF_AUTO(table, parseTable(text));
    tree_reader reader;
    BOOST_LEAF_CHECK(reader.readPlace({}, table));
    return applyEdits({}, reader.edits);
}

std::string treeToToml(const config_tree &tree)
{
    std::string text;
    writeValues({}, *tree.values, text);
    for (const place &where : placesOf(tree)) {
        const value_map &values = *valuesAt(tree, where);
        if (values.empty()) {
            startTable(prefixOf(where), text);
        }
        writeValues(where, values, text);
    }
    return text;
}

} // namespace pistachioquay
