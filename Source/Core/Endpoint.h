#pragma once

#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriadock {

// An IPv4 address and port, in host byte order.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // Parses "192.0.2.1:443". Fails with InvalidArgument; the detail names the text and the expected form.
    static Result<Endpoint> parse(std::string_view text);

    std::string toString() const;
    bool isSet() const { return port != 0; }

    auto operator<=>(const Endpoint&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const Endpoint& endpoint)
    {
        return HashState::combine(std::move(state), endpoint.address, endpoint.port);
    }
};

}

template <> struct std::hash<wisteriadock::Endpoint> {
    std::size_t operator()(const wisteriadock::Endpoint& endpoint) const noexcept
    {
        return std::hash<std::uint64_t>()((std::uint64_t(endpoint.address) << 16) | endpoint.port);
    }
};
