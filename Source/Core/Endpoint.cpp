#include "Core/Endpoint.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <charconv>

namespace wisteriadock {

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto malformed = [&] {
        return Error { ErrorCode::InvalidArgument,
            fmt::format("'{}' is not an endpoint; expected ADDRESS:PORT such as 192.0.2.1:443", text) };
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();

    in_addr parsedAddress {};
    const std::string addressText(text.substr(0, colon));
    if (inet_pton(AF_INET, addressText.c_str(), &parsedAddress) != 1)
        return malformed();

    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size() || port == 0)
        return malformed();

    return Endpoint { ntohl(parsedAddress.s_addr), port };
}

std::string Endpoint::toString() const
{
    return fmt::format(
        "{}.{}.{}.{}:{}", address >> 24, (address >> 16) & 0xff, (address >> 8) & 0xff, address & 0xff, port);
}

}
