#include "request/proxy/route_choice.h"

#include <algorithm>

namespace pistachioquay::internal {

namespace {

bool isPrefixOf(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

route_choice chooseRoute(const compiled_config &config, std::string_view method, std::string_view path)
{
    route_choice choice;
    for (const route &candidate : config.routes) {
        if (!isPrefixOf(candidate.prefix, path)) {
            continue;
        }
        if (candidate.methods.empty() || std::ranges::find(candidate.methods, method) != candidate.methods.end()) {
            return {&candidate, false, {}};
        }
        choice.isMethodRefused = true;
        for (const std::string &allowed : candidate.methods) {
            choice.allowedMethods += (choice.allowedMethods.empty() ? "" : ", ") + allowed;
        }
    }
    return choice;
}

} // namespace pistachioquay::internal
