#include "Flow/FlowKey.h"

#include "Core/Hash.h"

namespace wisteriadock {

FlowKey flowKeyOf(ServiceId service, Endpoint client, Endpoint serviceAddress)
{
    const std::uint32_t words[] = { service.value, client.address, serviceAddress.address,
        (std::uint32_t(client.port) << 16) | serviceAddress.port };
    return hashBytes(words, sizeof(words));
}

}
