// Network address by IP number and port.
//
//   const auto address = attempt([&] { return parseEndpoint("127.0.0.1:8001"); });
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace pistachioquay {

// An IP number and a port.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint &, const endpoint &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ip, port);
    }
};

// parseEndpoint reads "IP:PORT" with an IPv4 number. Thread safe. Fails with InvalidArgument.
result<endpoint> parseEndpoint(std::string_view text);

// toText returns "IP:PORT". Thread safe.
std::string toText(const endpoint &address);

} // namespace pistachioquay
