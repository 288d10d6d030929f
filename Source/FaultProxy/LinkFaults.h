#pragma once

#include "Core/Clock.h"
#include "FaultProxy/FaultSettings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace wisteriadock {

// Seeded by the proxy's --seed. The same seed, units and times give the same faults.
using Random = std::mt19937_64;

// Counters of the units of one direction of a link and of the faults applied to them. A unit is a datagram, or the
// bytes of one read from a stream.
struct FaultCounters {
    std::uint64_t units = 0;
    std::uint64_t bytes = 0;
    std::uint64_t delayed = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
    // Units that arrived during a cut.
    std::uint64_t cut = 0;
    // Units that arrived during a freeze without a cut.
    std::uint64_t frozen = 0;
    // Units dropped because the channel's delay line was full.
    std::uint64_t overflowed = 0;

    std::uint64_t faultsInjected() const { return delayed + lost + duplicated + reordered + cut + frozen; }
};

// The times at which a unit is delivered.
struct FaultDecision {
    // Unset when the unit is dropped.
    std::optional<TimePoint> deliverAt;
    // Set when the unit is duplicated.
    std::optional<TimePoint> duplicateAt;
};

// Draws the faults of each unit of one direction of one session. Does no I/O; Channel delivers the units.
class LinkFaults {
public:
    // The counters belong to the link, are shared by its sessions and must outlive this object.
    LinkFaults(LinkProtocol, FaultCounters&);

    void setSettings(const FaultSettings& settings) { settings_ = settings; }
    const FaultSettings& settings() const { return settings_; }

    // The size is in bytes.
    FaultDecision decide(std::size_t size, TimePoint now, Random&);

    // Whether delivery is suspended: during a freeze and, for a stream, during a cut.
    bool isHolding() const;
    // Whether connections are reset.
    bool isResetting() const { return settings_.cut && settings_.reset; }

    // The additional delay of a reordered datagram, during which later datagrams overtake it.
    static constexpr std::chrono::milliseconds reorderDelay { 5 };

private:
    FaultDecision decideDatagram(TimePoint now, Random&);
    FaultDecision decideBytes(TimePoint now, Random&);
    TimePoint deliveryTime(TimePoint now, Random&);

    LinkProtocol protocol_;
    FaultCounters& counters_;
    FaultSettings settings_;
    // Bytes of a stream are never delivered before earlier ones.
    TimePoint lastDelivery_;
};

}
