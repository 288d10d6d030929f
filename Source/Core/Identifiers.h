#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wisteriadock {

// A number that names one thing of one kind; numbers of different kinds do not mix.
template <typename Kind> struct Identifier {
    std::uint32_t value = 0;

    auto operator<=>(const Identifier&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const Identifier& id)
    {
        return HashState::combine(std::move(state), id.value);
    }
};

// Identifiers are derived from names, so that every balancer computes the same ones without asking anybody and a
// name that comes back keeps its number. The configuration check refuses two names with one number.
using BalancerId = Identifier<struct BalancerKind>;
using ServiceId = Identifier<struct ServiceKind>;
using BackendServerId = Identifier<struct BackendServerKind>;

BalancerId balancerIdOf(std::string_view name);
ServiceId serviceIdOf(std::string_view name);
BackendServerId backendServerIdOf(std::string_view name);

}

template <typename Kind> struct std::hash<wisteriadock::Identifier<Kind>> {
    std::size_t operator()(const wisteriadock::Identifier<Kind>& id) const noexcept { return id.value; }
};
