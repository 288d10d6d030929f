#pragma once

#include "Core/Endpoint.h"
#include "Flow/FlowTable.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <mutex>
#include <utility>

namespace wisteriadock {

// The flows of one service, as the packet path finds them.
struct ServiceFlows {
    ServiceFlows(
        ServiceId serviceId, std::uint32_t shardCount, std::shared_ptr<FlowTrackingCounters> budget, bool tracks)
        : id(serviceId)
        , table(shardCount, std::move(budget), tracks)
    {
    }

    const ServiceId id;
    FlowTable table;
};

// Finds a service by its address. It is read for every packet and written once per configuration, so each thread reads
// a copy of its own under a lock that only the writer contends for.
class ServiceIndex {
public:
    using Map = absl::flat_hash_map<Endpoint, std::shared_ptr<ServiceFlows>>;

    ServiceIndex();

    void publish(const std::shared_ptr<const Map>&);

    // Calls the function with the service of the address, or null, and returns what it returns.
    template <typename Function> auto withService(Endpoint address, Function function)
    {
        Stripe& stripe = stripes_[stripeOfThisThread()];
        const std::lock_guard lock(stripe.mutex);
        const auto found = stripe.map->find(address);
        return function(found == stripe.map->end() ? nullptr : found->second.get());
    }

private:
    static constexpr std::size_t stripeCount = 32;
    struct alignas(64) Stripe {
        std::mutex mutex;
        std::shared_ptr<const Map> map;
    };

    static std::size_t stripeOfThisThread();

    std::array<Stripe, stripeCount> stripes_;
};

}
