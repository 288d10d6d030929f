#include "Flow/ServiceIndex.h"

#include <atomic>

namespace wisteriadock {

ServiceIndex::ServiceIndex() { publish(std::make_shared<Map>()); }

void ServiceIndex::publish(const std::shared_ptr<const Map>& map)
{
    for (Stripe& stripe : stripes_) {
        const std::lock_guard lock(stripe.mutex);
        stripe.map = map;
    }
}

std::size_t ServiceIndex::stripeOfThisThread()
{
    static std::atomic<std::size_t> nextStripe { 0 };
    thread_local const std::size_t stripe = nextStripe++ % stripeCount;
    return stripe;
}

}
