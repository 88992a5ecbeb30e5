#include "base/endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace pistachioquay {

result<endpoint> parseEndpoint(std::string_view text)
{
    constexpr std::string_view remedy = "write IP:PORT with an IPv4 number and a port from 1 to 65535";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(error_kind::InvalidArgument, "`" + std::string(text) + "`" + " has no port", remedy);
    }
    const std::string ip(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    in_addr parsed{};
    std::uint16_t port = 0;
    const auto [stop, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPort = status == std::errc{} && stop == digits.data() + digits.size() && port != 0;
    if (!isPort || inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
        return fail(error_kind::InvalidArgument, "`" + std::string(text) + "`" + " is not an address", remedy);
    }
    return endpoint{ip, port};
}

std::string toText(const endpoint &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace pistachioquay
