#include "version/tree/config_tree.h"

#include <algorithm>
#include <iterator>

#include "version/tree/key_schema.h"

namespace pistachioquay {

namespace {

// Equality of shared values; equal pointers need no comparison of contents.
template<class T>
bool isSame(const std::shared_ptr<const T> &left, const std::shared_ptr<const T> &right)
{
    return left == right || *left == *right;
}

template<class Map>
bool isSameMap(const Map &left, const Map &right)
{
    return std::ranges::equal(left, right, [](const auto &one, const auto &other) {
        return one.first == other.first && isSame(one.second, other.second);
    });
}

boost::leaf::error_id invalid(const tree_path &path, std::string_view what, std::string_view remedy)
{
    return fail(error_kind::InvalidTree, "`" + toText(path) + "` " + std::string(what), remedy);
}

// Applies edits to a copy of a tree. Each data centre and each place is copied at most once for one list of edits.
class tree_editor
{
public:
    explicit tree_editor(const config_tree &tree)
        : m_tree(tree)
    {
    }

    result<void> apply(const edit &change)
    {
        BOOST_LEAF_CHECK(checkPlace(change.path.where));
        switch (change.kind) {
        case edit_kind::SetValue:
            return set(change);
        case edit_kind::UnsetValue:
            return unset(change.path);
        case edit_kind::AddPlace:
            return add(change.path);
        case edit_kind::RemovePlace:
            return remove(change.path);
        }
        return invalid(change.path, "has an unknown kind of edit", "use set, unset, add place or remove place");
    }

    config_tree take()
    {
        return std::move(m_tree);
    }

private:
    // Returns the editable copy of a data centre; null if the tree lacks it.
    data_centre_tree *editDataCentre(const std::string &name)
    {
        const auto open = m_openDataCentres.find(name);
        if (open != m_openDataCentres.end()) {
            return open->second.get();
        }
        const auto found = m_tree.dataCentres.find(name);
        if (found == m_tree.dataCentres.end()) {
            return nullptr;
        }
        auto copy = std::make_shared<data_centre_tree>(*found->second);
        found->second = copy;
        return m_openDataCentres.emplace(name, std::move(copy)).first->second.get();
    }

    shared_values *slotOf(const place &where)
    {
        if (where.dataCentre.empty()) {
            return &m_tree.values;
        }
        data_centre_tree *dataCentre = editDataCentre(where.dataCentre);
        if (dataCentre == nullptr) {
            return nullptr;
        }
        if (where.service.empty()) {
            return &dataCentre->values;
        }
        const auto service = dataCentre->services.find(where.service);
        return service == dataCentre->services.end() ? nullptr : &service->second;
    }

    // Returns the editable copy of the values of a place; null if the tree lacks the place.
    value_map *editValues(const place &where)
    {
        const auto open = m_openValues.find(where);
        if (open != m_openValues.end()) {
            return open->second.get();
        }
        shared_values *slot = slotOf(where);
        if (slot == nullptr) {
            return nullptr;
        }
        auto copy = std::make_shared<value_map>(**slot);
        *slot = copy;
        return m_openValues.emplace(where, std::move(copy)).first->second.get();
    }

    result<void> set(const edit &change)
    {
        BOOST_LEAF_CHECK(checkValue(change.path, change.value));
        value_map *values = editValues(change.path.where);
        if (values == nullptr) {
            return invalid(change.path, "is set at a place that does not exist", "add the place first");
        }
        values->insert_or_assign(change.path.key, change.value);
        return {};
    }

    result<void> unset(const tree_path &path)
    {
        BOOST_LEAF_CHECK(checkKey(path));
        value_map *values = editValues(path.where);
        if (values == nullptr || values->erase(path.key) == 0) {
            return invalid(path, "is unset but has no value there", "leave out this unset");
        }
        return {};
    }

    result<void> add(const tree_path &path)
    {
        if (!path.isPlace() || hasPlace(m_tree, path.where)) {
            return invalid(path, "is added but exists already", "leave out this place");
        }
        if (path.where.service.empty()) {
            auto created = std::make_shared<data_centre_tree>();
            m_tree.dataCentres[path.where.dataCentre] = created;
            m_openDataCentres[path.where.dataCentre] = std::move(created);
            return {};
        }
        data_centre_tree *dataCentre = editDataCentre(path.where.dataCentre);
        if (dataCentre == nullptr) {
            return invalid(path, "is added in a data centre that does not exist", "add the data centre first");
        }
        dataCentre->services[path.where.service] = noValues();
        return {};
    }

    result<void> remove(const tree_path &path)
    {
        if (!path.isPlace() || path.where.dataCentre.empty() || !hasPlace(m_tree, path.where)) {
            return invalid(path, "is removed but is no place that exists", "leave out this removal");
        }
        if (path.where.service.empty()) {
            m_tree.dataCentres.erase(path.where.dataCentre);
            m_openDataCentres.erase(path.where.dataCentre);
            std::erase_if(m_openValues, [&](const auto &open) {
                return open.first.dataCentre == path.where.dataCentre;
            });
            return {};
        }
        editDataCentre(path.where.dataCentre)->services.erase(path.where.service);
        m_openValues.erase(path.where);
        return {};
    }

    config_tree m_tree;
    std::map<std::string, std::shared_ptr<data_centre_tree>> m_openDataCentres;
    std::map<place, std::shared_ptr<value_map>> m_openValues;
};

void diffValues(const place &where, const value_map &before, const value_map &after, std::vector<edit> &edits)
{
    for (const auto &[key, value] : before) {
        if (!after.contains(key)) {
            edits.push_back(unsetValue({where, key}));
        }
    }
    for (const auto &[key, value] : after) {
        const auto old = before.find(key);
        if (old == before.end() || old->second != value) {
            edits.push_back(setValue({where, key}, value));
        }
    }
}

void diffDataCentre(const std::string &name,
                    const data_centre_tree &before,
                    const data_centre_tree &after,
                    std::vector<edit> &edits)
{
    for (const auto &[service, values] : before.services) {
        if (!after.services.contains(service)) {
            edits.push_back(removePlace({name, service}));
        }
    }
    if (before.values != after.values) {
        diffValues({name, ""}, *before.values, *after.values, edits);
    }
    for (const auto &[service, values] : after.services) {
        const auto old = before.services.find(service);
        if (old == before.services.end()) {
            edits.push_back(addPlace({name, service}));
            diffValues({name, service}, {}, *values, edits);
        } else if (old->second != values) {
            diffValues({name, service}, *old->second, *values, edits);
        }
    }
}

// The places whose values are in force at `where`, from the deployment down.
std::vector<place> levelsOf(const place &where)
{
    std::vector<place> levels = {{}};
    if (!where.dataCentre.empty()) {
        levels.push_back({where.dataCentre, ""});
    }
    if (!where.service.empty()) {
        levels.push_back(where);
    }
    return levels;
}

} // namespace

shared_values noValues()
{
    static const shared_values empty = std::make_shared<const value_map>();
    return empty;
}

bool operator==(const data_centre_tree &left, const data_centre_tree &right)
{
    return isSame(left.values, right.values) && isSameMap(left.services, right.services);
}

bool operator==(const config_tree &left, const config_tree &right)
{
    return isSame(left.values, right.values) && isSameMap(left.dataCentres, right.dataCentres);
}

edit setValue(tree_path path, scalar value)
{
    return {edit_kind::SetValue, std::move(path), std::move(value)};
}

edit unsetValue(tree_path path)
{
    return {edit_kind::UnsetValue, std::move(path), {}};
}

edit addPlace(place where)
{
    return {edit_kind::AddPlace, placePath(std::move(where)), {}};
}

edit removePlace(place where)
{
    return {edit_kind::RemovePlace, placePath(std::move(where)), {}};
}

std::string toText(const edit &change)
{
    switch (change.kind) {
    case edit_kind::SetValue:
        return "set " + toText(change.path) + " = " + toText(change.value);
    case edit_kind::UnsetValue:
        return "unset " + toText(change.path);
    case edit_kind::AddPlace:
        return "add place " + toText(change.path);
    case edit_kind::RemovePlace:
        return "remove place " + toText(change.path);
    }
    return "";
}

bool hasPlace(const config_tree &tree, const place &where)
{
    return valuesAt(tree, where) != nullptr;
}

const value_map *valuesAt(const config_tree &tree, const place &where)
{
    if (where.dataCentre.empty()) {
        return where.service.empty() ? tree.values.get() : nullptr;
    }
    const auto dataCentre = tree.dataCentres.find(where.dataCentre);
    if (dataCentre == tree.dataCentres.end()) {
        return nullptr;
    }
    if (where.service.empty()) {
        return dataCentre->second->values.get();
    }
    const auto service = dataCentre->second->services.find(where.service);
    return service == dataCentre->second->services.end() ? nullptr : service->second.get();
}

std::vector<place> placesOf(const config_tree &tree)
{
    std::vector<place> places;
    for (const auto &[name, dataCentre] : tree.dataCentres) {
        places.push_back({name, ""});
        for (const auto &[service, values] : dataCentre->services) {
            places.push_back({name, service});
        }
    }
    return places;
}

std::size_t countValues(const config_tree &tree)
{
    std::size_t count = tree.values->size();
    for (const auto &[name, dataCentre] : tree.dataCentres) {
        count += dataCentre->values->size();
        for (const auto &[service, values] : dataCentre->services) {
            count += values->size();
        }
    }
    return count;
}

result<config_tree> applyEdits(const config_tree &tree, std::span<const edit> edits)
{
    tree_editor editor(tree);
    for (const edit &change : edits) {
        BOOST_LEAF_CHECK(editor.apply(change));
    }
    return editor.take();
}

std::vector<edit> diffTrees(const config_tree &before, const config_tree &after)
{
    std::vector<edit> edits;
    for (const auto &[name, dataCentre] : before.dataCentres) {
        if (!after.dataCentres.contains(name)) {
            edits.push_back(removePlace({name, ""}));
        }
    }
    diffValues({}, *before.values, *after.values, edits);
    for (const auto &[name, dataCentre] : after.dataCentres) {
        const auto old = before.dataCentres.find(name);
        if (old == before.dataCentres.end()) {
            edits.push_back(addPlace({name, ""}));
            diffDataCentre(name, {}, *dataCentre, edits);
        } else if (old->second != dataCentre) {
            diffDataCentre(name, *old->second, *dataCentre, edits);
        }
    }
    return edits;
}

std::vector<effective_value> effectiveValues(const config_tree &tree, const place &where)
{
    std::vector<effective_value> inForce;
    if (!hasPlace(tree, where)) {
        return inForce;
    }
    std::map<value_key, effective_value> merged;
    for (const place &level : levelsOf(where)) {
        for (const auto &[key, value] : *valuesAt(tree, level)) {
            merged.insert_or_assign(key, effective_value{key, value, level});
        }
    }
    for (auto &[key, value] : merged) {
        inForce.push_back(std::move(value));
    }
    return inForce;
}

std::optional<effective_value> findEffective(const config_tree &tree, const place &where, const value_key_view &key)
{
    std::optional<effective_value> found;
    if (!hasPlace(tree, where)) {
        return found;
    }
    for (const place &level : levelsOf(where)) {
        const value_map *values = valuesAt(tree, level);
        const auto value = values->find(key);
        if (value != values->end()) {
            found = effective_value{value->first, value->second, level};
        }
    }
    return found;
}

} // namespace pistachioquay
