#include "Core/ListenAddress.h"

#include <fmt/format.h>

#include <string>

namespace wisteriadock {

namespace {

    constexpr std::string_view ephemeralPort = ":0";

}

Result<Endpoint> parseListenAddress(std::string_view text)
{
    if (!text.ends_with(ephemeralPort))
        return Endpoint::parse(text);

    // Endpoint::parse refuses port 0, so the address is parsed with another port.
    const std::string withPort = fmt::format("{}:1", text.substr(0, text.size() - ephemeralPort.size()));
    auto endpoint = Endpoint::parse(withPort);
    if (!endpoint) {
        return Error { ErrorCode::InvalidArgument,
            fmt::format("'{}' is not an endpoint; expected ADDRESS:PORT such as 192.0.2.1:0", text) };
    }
    endpoint.value().port = 0;
    return endpoint;
}

}
