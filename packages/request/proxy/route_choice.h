// Finds the route of a request, or the reason why none matches. Private to the proxy.
//
//   const route_choice found = chooseRoute(config, "POST", "/orders/7");
//   if (found.matched == nullptr && found.isMethodNotAllowed) respond405();
#pragma once

#include <string>
#include <string_view>

#include "version/tree/compiled_config.h"

namespace pistachioquay::internal {

// Result of `chooseRoute`.
struct route_choice
{
    const route *matched = nullptr; // lives as long as the configuration
    bool isMethodNotAllowed = false; // routes match the path, but none of them accepts the method
    std::string allowedMethods; // comma-separated, for the `Allow` header; empty unless `isMethodNotAllowed`
};

// chooseRoute chooses the route with the longest matching prefix that accepts the method. Thread safe.
route_choice chooseRoute(const compiled_config &config, std::string_view method, std::string_view path);

} // namespace pistachioquay::internal
