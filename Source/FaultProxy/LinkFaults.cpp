#include "FaultProxy/LinkFaults.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    // Uniformly distributed in [0, 1).
    double draw(Random& random)
    {
        constexpr double unit = 0x1p-53;
        return static_cast<double>(random() >> 11) * unit;
    }

    bool happens(double probability, Random& random) { return probability > 0 && draw(random) < probability; }

}

LinkFaults::LinkFaults(LinkProtocol protocol, FaultCounters& counters)
    : protocol_(protocol)
    , counters_(counters)
{
}

FaultDecision LinkFaults::decide(std::size_t size, TimePoint now, Random& random)
{
    ++counters_.units;
    counters_.bytes += size;
    if (settings_.cut)
        ++counters_.cut;
    else if (settings_.freeze)
        ++counters_.frozen;

    return protocol_ == LinkProtocol::Udp ? decideDatagram(now, random) : decideBytes(now, random);
}

bool LinkFaults::isHolding() const { return settings_.freeze || (settings_.cut && protocol_ == LinkProtocol::Tcp); }

FaultDecision LinkFaults::decideDatagram(TimePoint now, Random& random)
{
    if (settings_.cut)
        return {};
    if (happens(settings_.loss, random)) {
        ++counters_.lost;
        return {};
    }

    FaultDecision decision;
    decision.deliverAt = deliveryTime(now, random);
    if (happens(settings_.reorder, random)) {
        ++counters_.reordered;
        *decision.deliverAt += reorderDelay;
    }
    if (happens(settings_.duplicate, random)) {
        ++counters_.duplicated;
        decision.duplicateAt = deliveryTime(now, random);
    }
    return decision;
}

FaultDecision LinkFaults::decideBytes(TimePoint now, Random& random)
{
    if (isResetting())
        return {};

    lastDelivery_ = std::max(lastDelivery_, deliveryTime(now, random));
    return { lastDelivery_, std::nullopt };
}

TimePoint LinkFaults::deliveryTime(TimePoint now, Random& random)
{
    Duration delay = settings_.delay;
    if (settings_.jitter.count() > 0)
        delay += std::chrono::duration_cast<Duration>(settings_.jitter * draw(random));
    if (delay > Duration::zero())
        ++counters_.delayed;
    return now + delay;
}

}
