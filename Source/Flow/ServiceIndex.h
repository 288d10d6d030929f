#pragma once

#include "Core/Endpoint.h"
#include "Flow/FlowTable.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <mutex>
#include <utility>

namespace wisteriadock {

// The flow table of one service. Packet threads find it by address in the ServiceIndex.
struct ServiceFlows {
    ServiceFlows(
        ServiceId serviceId, std::uint32_t shardCount, std::shared_ptr<FlowTrackingCounters> counters, bool tracks)
        : id(serviceId)
        , table(shardCount, std::move(counters), tracks)
    {
    }

    const ServiceId id;
    FlowTable table;
};

// Maps service addresses to services. It is read for every packet and written once per configuration. Threads are
// spread over stripes with a lock and a map pointer each, so that packet threads rarely contend.
class ServiceIndex {
public:
    using Map = absl::flat_hash_map<Endpoint, std::shared_ptr<ServiceFlows>>;

    ServiceIndex();

    void publish(const std::shared_ptr<const Map>&);

    // Calls the function with the service of the address, or null, under the lock of the calling thread's stripe, and
    // returns its result.
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
