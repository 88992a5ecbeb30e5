// Finds the route of a request, or why there is none. Private to the proxy.
//
//   const route_choice found = chooseRoute(config, "POST", "/orders/7");
//   if (found.matched == nullptr && found.isMethodRefused) respond405();
#pragma once

#include <string>
#include <string_view>

#include "version/tree/compiled_config.h"

namespace pistachioquay::internal {

struct route_choice
{
    const route *matched = nullptr; // lives as long as the configuration
    bool isMethodRefused = false; // routes match the path, but none accepts the method
    std::string allowedMethods; // for the `Allow` header if so
};

// chooseRoute returns the route with the longest matching prefix that accepts the method. Thread safe.
route_choice chooseRoute(const compiled_config &config, std::string_view method, std::string_view path);

} // namespace pistachioquay::internal
