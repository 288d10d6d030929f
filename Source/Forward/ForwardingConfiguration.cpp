#include "Forward/ForwardingConfiguration.h"

#include "Core/Hash.h"

namespace wisteriadock {

RouteTable::RouteTable(const ForwardingConfiguration& configuration)
{
    routes_.reserve(configuration.routes.size());
    for (const FlowRoute& route : configuration.routes)
        routes_.insert_or_assign(route.address, route);
}

const FlowRoute* RouteTable::find(Endpoint address) const
{
    const auto found = routes_.find(address);
    return found == routes_.end() ? nullptr : &found->second;
}

const std::string* serviceOf(const FlowRoute& route, const FlowEnds& ends)
{
    std::uint64_t total = 0;
    for (const RouteShare& share : route.shares)
        total += share.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t rest = hashPair(ends.caller.address, ends.caller.port) % total;
    for (const RouteShare& share : route.shares) {
        if (rest < share.weight)
            return &share.service;
        rest -= share.weight;
    }
    return nullptr;
}

}
