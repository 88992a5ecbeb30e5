#include "version/tree/route_source.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace pistachioquay::internal {

namespace {

// Shortest look-up key of all values of a kind.
value_key_view firstOf(value_kind kind)
{
    return {kind, {}, {}};
}

std::string_view textOf(const scalar &value)
{
    const auto *text = std::get_if<std::string>(&value);
    return text == nullptr ? std::string_view() : std::string_view(*text);
}

void setField(route_source &source, std::string_view key, const scalar &value)
{
    const std::string_view text = textOf(value);
    if (key == "prefix") {
        source.prefix = text;
    } else if (key == "methods") {
        source.methods = text;
    } else if (key == "service") {
        source.service = text;
    } else if (key == "policy") {
        source.policy = text;
    } else if (key == "limit") {
        source.limit = text;
    }
}

// Routes of a data centre outside its services, by name.
using named_routes = std::vector<route_source>;

void mergeValue(const value_map::value_type &value, bool isOwn, named_routes &routes)
{
    if (routes.empty() || routes.back().name != value.first.name) {
        routes.push_back({});
        routes.back().name = value.first.name;
    }
    routes.back().isOwn = routes.back().isOwn || isOwn;
    setField(routes.back(), value.first.key, value.second);
}

// Merges the routes of the deployment with those that a data centre adds or overrides, in the order of both maps.
named_routes mergeRoutes(const value_map &deployment, const value_map &dataCentre)
{
    named_routes routes;
    auto inherited = deployment.lower_bound(firstOf(value_kind::Route));
    auto own = dataCentre.lower_bound(firstOf(value_kind::Route));
    while (inherited != deployment.end() || own != dataCentre.end()) {
        const bool isInheritedNext =
            own == dataCentre.end() || (inherited != deployment.end() && !(own->first < inherited->first));
        if (isInheritedNext) {
            mergeValue(*inherited++, false, routes);
        } else {
            mergeValue(*own++, true, routes);
        }
    }
    return routes;
}

const route_source *findNamed(const named_routes &routes, std::string_view name)
{
    const auto found = std::ranges::lower_bound(routes, name, {}, &route_source::name);
    return found != routes.end() && found->name == name ? &*found : nullptr;
}

// Appends the routes of one service place. A route of the same name in the data centre is the base that it overrides.
void appendServiceRoutes(const std::string &service,
                         const value_map &values,
                         const named_routes &inherited,
                         std::vector<route_source> &sources)
{
    const std::size_t first = sources.size();
    const auto end = values.end();
    for (auto each = values.lower_bound(firstOf(value_kind::Route)); each != end; ++each) {
        if (sources.size() == first || sources.back().name != each->first.name) {
            const route_source *base = findNamed(inherited, each->first.name);
            sources.push_back(base == nullptr ? route_source{} : *base);
            sources.back().name = each->first.name;
            sources.back().container = service;
            if (sources.back().service.empty()) {
                sources.back().service = service;
            }
        }
        setField(sources.back(), each->first.key, each->second);
    }
}

bool isMethodShared(std::string_view left, std::string_view right)
{
    if (left.empty() || right.empty() || left == right) {
        return true;
    }
    const auto methods = methodsFromText(left);
    return std::ranges::any_of(methodsFromText(right), [&](const std::string &method) {
        return std::ranges::find(methods, method) != methods.end();
    });
}

std::string pathOf(std::string_view dataCentre, const route_source &source, std::string_view key)
{
    const bool isInherited = source.container.empty() && !source.isOwn;
    const place where{isInherited ? "" : std::string(dataCentre), std::string(source.container)};
    return "`" + toText(tree_path{where, {value_kind::Route, std::string(source.name), std::string(key)}}) + "`";
}

boost::leaf::error_id invalid(std::string_view dataCentre, const std::string &message, const std::string &remedy)
{
    return fail(error_kind::InvalidTree, message + " in data centre `" + std::string(dataCentre) + "`", remedy);
}

const scalar *findValue(const value_scope &scope, const value_key_view &key)
{
    for (const value_map *values : {scope.service, scope.dataCentre, scope.deployment}) {
        if (values == nullptr) {
            continue;
        }
        const auto found = values->find(key);
        if (found != values->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

std::optional<std::int64_t> findNumber(const value_scope &scope, const value_key_view &key)
{
    const scalar *value = findValue(scope, key);
    const auto *number = value == nullptr ? nullptr : std::get_if<std::int64_t>(value);
    return number == nullptr ? std::nullopt : std::optional(*number);
}

// Reads a policy; gives the name of the first missing key in `missing`.
std::optional<policy> findPolicy(const value_scope &scope, std::string_view name, std::string_view &missing)
{
    const scalar *workClass = findValue(scope, {value_kind::Policy, name, "class"});
    const scalar *idempotent = findValue(scope, {value_kind::Policy, name, "idempotent"});
    const auto deadline = findNumber(scope, {value_kind::Policy, name, "deadline_ms"});
    missing = workClass == nullptr ? "class" : idempotent == nullptr ? "idempotent" : !deadline ? "deadline_ms" : "";
    if (!missing.empty()) {
        return std::nullopt;
    }
    policy read;
    read.workClass = classFromName(textOf(*workClass)).value_or(work_class::Interactive);
    read.isIdempotent = std::get_if<bool>(idempotent) != nullptr && std::get<bool>(*idempotent);
    read.deadline = milliseconds(*deadline);
    read.retries = static_cast<std::uint32_t>(findNumber(scope, {value_kind::Policy, name, "retries"}).value_or(0));
    read.hedgeAfter = milliseconds(findNumber(scope, {value_kind::Policy, name, "hedge_after_ms"}).value_or(0));
    return read;
}

std::optional<limit> findLimit(const value_scope &scope, std::string_view name)
{
    const auto rate = findNumber(scope, {value_kind::Limit, name, "requests_per_s"});
    const auto concurrency = findNumber(scope, {value_kind::Limit, name, "concurrency"});
    if (!rate && !concurrency) {
        return std::nullopt;
    }
    return limit{static_cast<std::uint32_t>(rate.value_or(0)), static_cast<std::uint32_t>(concurrency.value_or(0))};
}

result<void> checkFields(std::string_view name, const route_source &source)
{
    if (source.prefix.empty()) {
        return invalid(name, pathOf(name, source, "prefix") + " is missing", "set the prefix or unset the whole route");
    }
    if (source.service.empty()) {
        return invalid(name,
                       pathOf(name, source, "service") + " is missing for a route outside a service",
                       "set the service or move the route to the place of its service");
    }
    if (source.policy.empty()) {
        return invalid(name, pathOf(name, source, "policy") + " is missing", "set the policy or unset the whole route");
    }
    return {};
}

std::string quoted(std::string_view text)
{
    return "`" + std::string(text) + "`";
}

result<policy> resolvePolicy(std::string_view name, const value_scope &scope, const route_source &source)
{
    std::string_view missing;
    const auto found = findPolicy(scope, source.policy, missing);
    if (!found) {
        return invalid(name,
                       pathOf(name, source, "policy") + " names policy " + quoted(source.policy) + " which lacks "
                           + quoted(missing),
                       "set `policy/" + std::string(source.policy) + "/" + std::string(missing) + "` at "
                           + quoted(toText(place{std::string(name), std::string(source.service)}))
                           + " or above, or name another policy");
    }
    return *found;
}

result<limit> resolveLimit(std::string_view name, const value_scope &scope, const route_source &source)
{
    if (source.limit.empty()) {
        return limit{};
    }
    const auto found = findLimit(scope, source.limit);
    if (!found) {
        return invalid(name,
                       pathOf(name, source, "limit") + " names limit " + quoted(source.limit) + " which does not exist",
                       "set `limit/" + std::string(source.limit) + "/requests_per_s` or `/concurrency` at "
                           + quoted(toText(place{std::string(name), std::string(source.service)}))
                           + " or above, or unset the route's limit");
    }
    return *found;
}

} // namespace

std::vector<std::string> methodsFromText(std::string_view text)
{
    std::vector<std::string> methods;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        methods.emplace_back(text.substr(0, comma));
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return methods;
}

std::vector<route_source> routeSourcesOf(const config_tree &tree, const data_centre_tree &dataCentre)
{
    constexpr std::size_t usualRoutes = 2; // for each service; more cost a reallocation
    const named_routes inherited = mergeRoutes(*tree.values, *dataCentre.values);
    std::vector<route_source> sources;
    sources.reserve(inherited.size() + usualRoutes * dataCentre.services.size());
    sources.assign(inherited.begin(), inherited.end());
    for (const auto &[service, values] : dataCentre.services) {
        appendServiceRoutes(service, *values, inherited, sources);
    }
    return sources;
}

result<void> checkOverlaps(std::string_view dataCentre, const std::vector<route_source> &sources)
{
    std::unordered_multimap<std::string_view, const route_source *> seen;
    seen.reserve(sources.size());
    for (const route_source &source : sources) {
        const auto [first, last] = seen.equal_range(source.prefix);
        const auto clash = std::find_if(first, last, [&](const auto &other) {
            return isMethodShared(other.second->methods, source.methods);
        });
        if (clash != last && !source.prefix.empty()) {
            return invalid(dataCentre,
                           pathOf(dataCentre, source, "prefix") + " and " + pathOf(dataCentre, *clash->second, "prefix")
                               + " have the same prefix " + quoted(source.prefix) + " and overlapping methods",
                           "change the prefix or the methods of one of them, or unset one route");
        }
        seen.emplace(source.prefix, &source);
    }
    return {};
}

result<route> resolveRoute(const config_tree &tree,
                           std::string_view name,
                           const data_centre_tree &dataCentre,
                           const route_source &source)
{
    BOOST_LEAF_CHECK(checkFields(name, source));
    const auto service = dataCentre.services.find(source.service);
    if (service == dataCentre.services.end()) {
        return invalid(name,
                       pathOf(name, source, "service") + " names service " + quoted(source.service)
                           + " which does not exist",
                       "add the place " + quoted(toText(place{std::string(name), std::string(source.service)}))
                           + ", name another service, or unset the route");
    }
    const value_scope scope{tree.values.get(), dataCentre.values.get(), service->second.get()};
    BOOST_LEAF_AUTO(applied, resolvePolicy(name, scope, source));
    BOOST_LEAF_AUTO(bound, resolveLimit(name, scope, source));
    return route{std::string(source.name),
                 std::string(source.prefix),
                 methodsFromText(source.methods),
                 std::string(source.service),
                 std::string(source.policy),
                 applied,
                 std::string(source.limit),
                 bound};
}

} // namespace pistachioquay::internal
