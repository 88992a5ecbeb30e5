#include "version/routes/routes.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace pistachioquay {

std::string normalizeHost(std::string_view host)
{
    host = host.substr(0, host.find(':'));
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    std::string key(host);
    std::ranges::transform(key, key.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return key;
}

const route_config *findRoute(const route_table &table, std::string_view host, std::string_view target)
{
    const auto found = table.hosts.find(normalizeHost(host));
    if (found == table.hosts.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto route = found->second.find(path.substr(0, slash + 1));
        if (route != found->second.end()) {
            return &route->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

std::size_t routeCount(const route_table &table)
{
    return std::accumulate(table.hosts.begin(),
                           table.hosts.end(),
                           std::size_t{0},
                           [](std::size_t sum, const auto &host) {
                               return sum + host.second.size();
                           });
}

const std::string &chooseTarget(traffic_split_state &state, const route_config &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    traffic_split_state::position &position = state.routes[route.name];
    if (position.targets != route.targets) {
        position = {route.targets, std::vector<std::int64_t>(route.targets.size(), 0)};
    }
    std::int64_t total = 0;
    for (std::size_t index = 0; index < route.targets.size(); ++index) {
        position.credit[index] += route.targets[index].weight;
        total += route.targets[index].weight;
    }
    const auto best = std::ranges::max_element(position.credit);
    *best -= total;
    return route.targets[static_cast<std::size_t>(best - position.credit.begin())].service;
}

} // namespace pistachioquay
