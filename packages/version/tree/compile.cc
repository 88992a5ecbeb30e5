#include "version/tree/compile.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "version/tree/route_source.h"

namespace pistachioquay {

namespace {

using internal::route_source;

bool isBefore(const route &left, const route &right)
{
    if (left.prefix.size() != right.prefix.size()) {
        return left.prefix.size() > right.prefix.size();
    }
    return std::tie(left.prefix, left.name) < std::tie(right.prefix, right.name);
}

void readObjectives(const value_map &values, std::map<std::string, objective> &objectives)
{
    for (const auto &[key, value] : values) {
        if (key.kind != value_kind::Objective) {
            continue;
        }
        objective &target = objectives[key.name];
        if (const auto *number = std::get_if<std::int64_t>(&value)) {
            target.latency = milliseconds(*number);
        } else if (const auto *text = std::get_if<std::string>(&value)) {
            std::from_chars(text->data(), text->data() + text->size(), target.targetPercent);
        }
    }
}

result<void> validateDataCentre(const config_tree &tree, std::string_view name, const data_centre_tree &dataCentre)
{
    const auto sources = internal::routeSourcesOf(tree, dataCentre);
    for (const route_source &source : sources) {
        BOOST_LEAF_CHECK(internal::resolveRoute(tree, name, dataCentre, source));
    }
    return internal::checkOverlaps(name, sources);
}

// What a list of edits can break in one data centre. The texts belong to the edits.
struct affected
{
    bool isAdded = false;
    std::set<std::pair<std::string_view, std::string_view>> routes; // service (empty: all) and name of changed routes
    std::set<std::string_view> services; // removed services
    std::set<std::string_view> policies; // policies that lost a value
    std::set<std::string_view> limits; // limits that lost a value

    bool isNothing() const
    {
        return !isAdded && routes.empty() && services.empty() && policies.empty() && limits.empty();
    }

    bool contains(const route_source &source) const
    {
        return isAdded || routes.contains({source.container, source.name}) || routes.contains({"", source.name})
            || services.contains(source.service) || policies.contains(source.policy) || limits.contains(source.limit);
    }
};

void addAffected(const edit &change, affected &found)
{
    const value_key &key = change.path.key;
    if (change.kind == edit_kind::AddPlace) {
        found.isAdded = found.isAdded || change.path.where.service.empty();
    } else if (change.kind == edit_kind::RemovePlace) {
        found.services.insert(change.path.where.service);
    } else if (key.kind == value_kind::Route) {
        found.routes.emplace(change.path.where.service, key.name);
    } else if (change.kind == edit_kind::UnsetValue && key.kind == value_kind::Policy) {
        found.policies.insert(key.name);
    } else if (change.kind == edit_kind::UnsetValue && key.kind == value_kind::Limit) {
        found.limits.insert(key.name);
    }
}

result<void> validateAffected(const config_tree &tree,
                              std::string_view name,
                              const data_centre_tree &dataCentre,
                              const affected &found)
{
    auto sources = internal::routeSourcesOf(tree, dataCentre);
    std::set<std::string_view> prefixes;
    for (const route_source &source : sources) {
        if (found.contains(source)) {
            BOOST_LEAF_CHECK(internal::resolveRoute(tree, name, dataCentre, source));
            prefixes.insert(source.prefix);
        }
    }
    std::erase_if(sources, [&](const route_source &source) {
        return !prefixes.contains(source.prefix);
    });
    return internal::checkOverlaps(name, sources);
}

bool acceptsMethod(const route &candidate, std::string_view method)
{
    return candidate.methods.empty() || std::ranges::find(candidate.methods, method) != candidate.methods.end();
}

// Finds a route with exactly this prefix that accepts the method; null if there is none.
const route *findExact(const compiled_config &config, std::string_view method, std::string_view prefix)
{
    const auto isEarlier = [](const route &candidate, std::string_view wanted) {
        return candidate.prefix.size() != wanted.size() ? candidate.prefix.size() > wanted.size()
                                                        : candidate.prefix < wanted;
    };
    auto each = std::lower_bound(config.routes.begin(), config.routes.end(), prefix, isEarlier);
    for (; each != config.routes.end() && each->prefix == prefix; ++each) {
        if (acceptsMethod(*each, method)) {
            return &*each;
        }
    }
    return nullptr;
}

} // namespace

result<compiled_config> compileConfig(const config_tree &tree, std::string_view dataCentre, std::uint64_t version)
{
    compiled_config config;
    config.version = version;
    config.dataCentre = dataCentre;
    const auto found = tree.dataCentres.find(dataCentre);
    if (found == tree.dataCentres.end()) {
        return config;
    }
    const auto sources = internal::routeSourcesOf(tree, *found->second);
    BOOST_LEAF_CHECK(internal::checkOverlaps(dataCentre, sources));
    for (const route_source &source : sources) {
        BOOST_LEAF_AUTO(resolved, internal::resolveRoute(tree, dataCentre, *found->second, source));
        config.routes.push_back(std::move(resolved));
    }
    std::ranges::sort(config.routes, isBefore);
    std::map<std::string, objective> inherited;
    readObjectives(*tree.values, inherited);
    readObjectives(*found->second->values, inherited);
    for (const auto &[name, values] : found->second->services) {
        service_config service{name, inherited};
        readObjectives(*values, service.objectives);
        config.services.emplace(name, std::move(service));
    }
    return config;
}

result<void> validateTree(const config_tree &tree)
{
    for (const auto &[name, dataCentre] : tree.dataCentres) {
        BOOST_LEAF_CHECK(validateDataCentre(tree, name, *dataCentre));
    }
    return {};
}

result<void> validateEdits(const config_tree &tree, std::span<const edit> edits)
{
    affected everywhere;
    std::map<std::string_view, affected> byDataCentre;
    for (const edit &change : edits) {
        const std::string &name = change.path.where.dataCentre;
        addAffected(change, name.empty() ? everywhere : byDataCentre[name]);
    }
    for (const auto &[name, dataCentre] : tree.dataCentres) {
        affected found = everywhere;
        const auto own = byDataCentre.find(name);
        if (own != byDataCentre.end()) {
            found.isAdded = own->second.isAdded;
            found.routes.insert(own->second.routes.begin(), own->second.routes.end());
            found.services = own->second.services;
            found.policies.insert(own->second.policies.begin(), own->second.policies.end());
            found.limits.insert(own->second.limits.begin(), own->second.limits.end());
        }
        if (!found.isNothing()) {
            BOOST_LEAF_CHECK(validateAffected(tree, name, *dataCentre, found));
        }
    }
    return {};
}

const route *findRoute(const compiled_config &config, std::string_view method, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    while (path.size() > 1 && path.back() == '/') {
        path.remove_suffix(1);
    }
    while (!path.empty()) {
        if (const route *found = findExact(config, method, path)) {
            return found;
        }
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos || path == "/") {
            return nullptr;
        }
        path = path.substr(0, std::max<std::size_t>(slash, 1));
    }
    return nullptr;
}

} // namespace pistachioquay
