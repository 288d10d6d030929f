#include "Forward/ForwardingConfiguration.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

namespace {

    bool routesTo(const FlowRoute* route, const std::string& service)
    {
        return route && std::ranges::count(route->shares, service, &RouteShare::service) > 0;
    }

}

void RouteTable::replace(const ForwardingConfiguration& configuration)
{
    requirements_.clear();
    const auto former = std::exchange(routes_, {});
    routes_.reserve(configuration.routes.size());
    for (const FlowRoute& route : configuration.routes)
        routes_.insert_or_assign(route.address, route);
    for (const auto& [address, route] : former)
        addFormerServices(route);
}

void RouteTable::apply(ConfigurationChange&& change)
{
    if (change.isWhole)
        return replace({ change.version, std::move(change.routes), change.idleTimeout });
    requirements_.clear();
    for (FlowRoute& route : change.routes) {
        FlowRoute& held = routes_[route.address];
        const FlowRoute former = std::exchange(held, std::move(route));
        addFormerServices(former);
    }
    for (const Endpoint address : change.removed) {
        const auto found = routes_.find(address);
        if (found == routes_.end())
            continue;
        const FlowRoute former = std::move(found->second);
        routes_.erase(found);
        addFormerServices(former);
    }
}

// Open flows stay at the services of a replaced or removed route.
void RouteTable::addFormerServices(const FlowRoute& former)
{
    const FlowRoute* route = find(former.address);
    for (const RouteShare& share : former.shares) {
        if (!routesTo(route, share.service))
            formerServices_[former.address].insert(share.service);
    }
}

bool RouteTable::hasRoutedTo(Endpoint address, const std::string& service) const
{
    const auto former = formerServices_.find(address);
    return routesTo(find(address), service) || (former != formerServices_.end() && former->second.contains(service));
}

const FlowRoute* RouteTable::find(Endpoint address) const
{
    const auto found = routes_.find(address);
    return found == routes_.end() ? nullptr : &found->second;
}

ServiceRequirements RouteTable::requirementsOf(const std::string& service) const
{
    if (requirements_.empty()) {
        for (const auto& [address, route] : routes_) {
            for (const RouteShare& share : route.shares) {
                ServiceRequirements& requirements = requirements_[share.service];
                const auto at = std::ranges::lower_bound(requirements.priorities, route.priority);
                if (at == requirements.priorities.end() || *at != route.priority)
                    requirements.priorities.insert(at, route.priority);
                std::chrono::milliseconds& target = requirements.targetLatency;
                if (route.targetLatency.count() > 0 && (target.count() == 0 || route.targetLatency < target))
                    target = route.targetLatency;
            }
        }
    }
    const auto found = requirements_.find(service);
    return found == requirements_.end() ? ServiceRequirements {} : found->second;
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
