#include "request/proxy/route_choice.h"

namespace pistachioquay::internal {

route_choice chooseRoute(const compiled_config &config, std::string_view method, std::string_view path)
{
    route_choice choice;
    choice.matched = findRoute(config, method, path);
    if (choice.matched != nullptr) {
        return choice;
    }
    for (const route &candidate : config.routes) {
        for (const std::string &allowed : candidate.methods) {
            const bool isListed = choice.allowedMethods.find(allowed) != std::string::npos;
            if (!isListed && findRoute(config, allowed, path) != nullptr) {
                choice.isMethodNotAllowed = true;
                choice.allowedMethods += (choice.allowedMethods.empty() ? "" : ", ") + allowed;
            }
        }
    }
    return choice;
}

} // namespace pistachioquay::internal
