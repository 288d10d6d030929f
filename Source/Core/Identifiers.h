#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wisteriadock {

// A number that identifies an object of one kind; identifiers of different kinds are different types.
template <typename Kind> struct Identifier {
    std::uint32_t value = 0;

    auto operator<=>(const Identifier&) const = default;

    template <typename HashState> friend HashState AbslHashValue(HashState state, const Identifier& id)
    {
        return HashState::combine(std::move(state), id.value);
    }
};

// Identifiers are hashes of names, so that all balancers compute the same ones without communication and a name that
// is removed and added again keeps its identifier. The configuration check rejects names whose hashes collide.
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
