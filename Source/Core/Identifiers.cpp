#include "Core/Identifiers.h"

#include "Core/Hash.h"

namespace wisteriadock {

namespace {

    // 0 is reserved for "none".
    std::uint32_t identifierOf(std::string_view name, std::uint64_t kindSeed)
    {
        const auto value = static_cast<std::uint32_t>(hashString(name, kindSeed));
        return value == 0 ? 1 : value;
    }

    constexpr std::uint64_t balancerSeed = 1;
    constexpr std::uint64_t serviceSeed = 2;
    constexpr std::uint64_t backendServerSeed = 3;

}

BalancerId balancerIdOf(std::string_view name) { return { identifierOf(name, balancerSeed) }; }

ServiceId serviceIdOf(std::string_view name) { return { identifierOf(name, serviceSeed) }; }

BackendServerId backendServerIdOf(std::string_view name) { return { identifierOf(name, backendServerSeed) }; }

}
