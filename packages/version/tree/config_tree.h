// The tree of one version: places and their values. Immutable by sharing: a copy costs a few pointers, and an edit
// copies only the places that it changes.
//
//   BOOST_LEAF_AUTO(next, applyEdits(current, edits));
//   BOOST_LEAF_CHECK(validateEdits(next, edits));
//   for (const effective_value &each : effectiveValues(next, {"be-1", "orders"})) ...
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "version/tree/path.h"

namespace pistachioquay {

// Values that are set at one place itself.
using value_map = std::map<value_key, scalar, value_key_less>;
using shared_values = std::shared_ptr<const value_map>;

// noValues returns the shared empty map. Thread safe.
shared_values noValues();

// One data centre: its own values and those of its services.
struct data_centre_tree
{
    shared_values values = noValues();
    std::map<std::string, shared_values, std::less<>> services;

    friend bool operator==(const data_centre_tree &left, const data_centre_tree &right);
};

using shared_data_centre = std::shared_ptr<const data_centre_tree>;

// The whole tree. The pointers are never null.
struct config_tree
{
    shared_values values = noValues();
    std::map<std::string, shared_data_centre, std::less<>> dataCentres;

    friend bool operator==(const config_tree &left, const config_tree &right);
};

// What an edit does.
enum class edit_kind : std::uint8_t
{
    SetValue,
    UnsetValue,
    AddPlace,
    RemovePlace, // with everything in and below it
};

// One edit. `path` names a place for AddPlace and RemovePlace; `value` is only used by SetValue.
struct edit
{
    edit_kind kind = edit_kind::SetValue;
    tree_path path;
    scalar value;

    friend bool operator==(const edit &, const edit &) = default;
};

// A value in force at a place and the place at which it is set.
struct effective_value
{
    value_key key;
    scalar value;
    place origin;

    friend bool operator==(const effective_value &, const effective_value &) = default;
};

// setValue, unsetValue, addPlace and removePlace create edits. Thread safe.
edit setValue(tree_path path, scalar value);
edit unsetValue(tree_path path);
edit addPlace(place where);
edit removePlace(place where);

// toText describes an edit in one line, such as "set be-1/-/policy/lookup/deadline_ms = 600". Thread safe.
std::string toText(const edit &change);

// hasPlace tells whether the tree has a place; it always has the deployment. Thread safe.
bool hasPlace(const config_tree &tree, const place &where);

// valuesAt returns the values set at a place itself; null if the tree lacks the place. The pointer lives as long as
// `tree`. Thread safe.
const value_map *valuesAt(const config_tree &tree, const place &where);

// placesOf lists all places but the deployment, in order. Thread safe.
std::vector<place> placesOf(const config_tree &tree);

// countValues returns the number of values in the whole tree. Thread safe.
std::size_t countValues(const config_tree &tree);

// applyEdits returns the tree after `edits`, applied in order. Thread safe. Fails with InvalidTree, naming the path and
// the remedy: improper names and values, values at places that the tree lacks, places added twice, and removals of what
// the tree lacks. Does not check references between values; see `validateEdits`.
result<config_tree> applyEdits(const config_tree &tree, std::span<const edit> edits);

// diffTrees returns the edits that turn `before` into `after`, in a fixed order. Thread safe.
std::vector<edit> diffTrees(const config_tree &before, const config_tree &after);

// effectiveValues lists the values in force at a place, in order, each with the place where it is set; empty if the
// tree lacks the place. Thread safe.
std::vector<effective_value> effectiveValues(const config_tree &tree, const place &where);

// findEffective returns the value in force at a place for one key; empty if there is none. Thread safe.
std::optional<effective_value> findEffective(const config_tree &tree, const place &where, const value_key_view &key);

} // namespace pistachioquay
